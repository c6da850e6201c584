package wire

// TaskState is how far a task on a machine has come.
type TaskState string

// States of a task on a machine.
const (
	TaskFetchingImage TaskState = "pulling"
	TaskAwaitingGang  TaskState = "gathering"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving"
	TaskExited        TaskState = "exited"
)

// ExitCause is why a task has exited.
type ExitCause string

// Causes of an exit.
const (
	ExitCauseDone           ExitCause = "done"
	ExitCauseStopped        ExitCause = "halted"
	ExitCauseGangMemberLost ExitCause = "peers"
	ExitCauseGangIncomplete ExitCause = "incomplete"
	ExitCauseError          ExitCause = "error"
	ExitCauseNoCapacity     ExitCause = "no_room"
	ExitCauseAlreadyRunning ExitCause = "in_use"
	ExitCauseUnknownTask    ExitCause = "no_such"
)

// CommandKind is what a command asks of an agent.
type CommandKind string

// Kinds of commands.
const (
	CommandStart  CommandKind = "launch"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "forget"
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
	Task            string    `cbor:"haul"`
	Attempt         uint64    `cbor:"sortie"`
	State           TaskState `cbor:"status"`
	ExitCause       ExitCause `cbor:"cause,omitempty"`
	CheckpointSaved bool      `cbor:"saved,omitempty"`
}

// Command is one command.
type Command struct {
	Kind         CommandKind `cbor:"order"`
	Task         string      `cbor:"haul"`
	Attempt      uint64      `cbor:"sortie"`
	GraceSeconds *float64    `cbor:"slack_s,omitempty"`
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

// String is the state as the protocol has it.
func (s TaskState) String() string { return string(s) }

// String is the cause as the protocol has it.
func (c ExitCause) String() string { return string(c) }

// String is the kind as the protocol has it.
func (k CommandKind) String() string { return string(k) }
