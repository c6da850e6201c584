package wire

// States of a task on a worker.
const (
	TaskFetchingImage = "pulling"
	TaskAwaitingGang  = "gathering"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "exited"
)

// Causes of an exit.
const (
	ExitCauseDone           = "done"
	ExitCauseStopped        = "halted"
	ExitCauseGangMemberLost = "peers"
	ExitCauseGangIncomplete = "incomplete"
	ExitCauseError          = "error"
	ExitCauseNoCapacity     = "no_room"
	ExitCauseAlreadyRunning = "in_use"
	ExitCauseUnknownTask    = "no_such"
)

// Orders to a worker.
const (
	CommandStart  = "launch"
	CommandStop   = "halt"
	CommandForget = "forget"
)

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	Machine              string       `cbor:"vessel"`
	Address              string       `cbor:"address"`
	MachineType          string       `cbor:"hull"`
	Zone                 string       `cbor:"harbor"`
	Spot                 bool         `cbor:"standby"`
	Session              uint64       `cbor:"watch"`
	Sequence             uint64       `cbor:"tally"`
	FencingToken         uint64       `cbor:"warrant"`
	ReclaimNoticeSeconds *float64     `cbor:"recall_s"`
	Tasks                []TaskStatus `cbor:"hauls"`
}

// TaskStatus is one task on a worker.
type TaskStatus struct {
	Task            string `cbor:"haul"`
	Attempt         uint64 `cbor:"sortie"`
	State           string `cbor:"status"`
	ExitCause       string `cbor:"cause,omitempty"`
	CheckpointSaved bool   `cbor:"saved,omitempty"`
}

// Command is one command.
type Command struct {
	Kind         string   `cbor:"order"`
	Task         string   `cbor:"haul"`
	Attempt      uint64   `cbor:"sortie"`
	GraceSeconds *float64 `cbor:"slack_s,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"warrant"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest go to a worker's address.
type CommandRequest struct {
	FencingToken uint64    `cbor:"warrant"`
	Session      uint64    `cbor:"watch"`
	Commands     []Command `cbor:"orders"`
}

// HeartbeatRedirect sends a worker to another node.
type HeartbeatRedirect struct {
	ControllerAddress string `cbor:"harbormaster,omitempty"`
}
