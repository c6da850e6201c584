package wire

// TaskState is how far a task on a machine has come.
type TaskState string

// States of a task on a machine, in the order in which a task passes through them.
const (
	TaskFetchingImage TaskState = "pulling"
	TaskAwaitingGang  TaskState = "gathering" // until all tasks of its gang have started
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving" // saves its progress before it stops
	TaskExited        TaskState = "exited"
)

// String gives the state as the protocol names it.
func (s TaskState) String() string { return string(s) }

// ExitCause is why a task has exited.
type ExitCause string

// Causes of an exit.
const (
	ExitCauseDone           ExitCause = "done"
	ExitCauseStopped        ExitCause = "halted" // by a command
	ExitCauseGangMemberLost ExitCause = "peers"
	ExitCauseGangIncomplete ExitCause = "incomplete" // its gang was not complete in time
	ExitCauseError          ExitCause = "error"      // it failed by itself
	ExitCauseNoCapacity     ExitCause = "no_room"
	ExitCauseAlreadyRunning ExitCause = "in_use" // another attempt of the task is on the machine
	ExitCauseUnknownTask    ExitCause = "no_such"
)

// String gives the cause as the protocol names it.
func (c ExitCause) String() string { return string(c) }

// CommandKind is what a command asks of an agent.
type CommandKind string

// Kinds of commands.
const (
	CommandStart  CommandKind = "launch"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "forget" // drop the status of an attempt that has exited
)

// String gives the kind as the protocol names it.
func (k CommandKind) String() string { return string(k) }

// Heartbeat is what an agent regularly reports of its machine.
type Heartbeat struct {
	Machine     string `cbor:"vessel"`
	Address     string `cbor:"address"`
	MachineType string `cbor:"hull"`
	Zone        string `cbor:"harbor"`
	Spot        bool   `cbor:"standby"`
	// Session identifies the agent's process; Sequence counts the heartbeats within it.
	Session  uint64 `cbor:"watch"`
	Sequence uint64 `cbor:"tally"`
	// FencingToken is the highest that the agent has seen; it obeys no lower one.
	FencingToken uint64 `cbor:"warrant"`
	// ReclaimNoticeSeconds is how long until the cloud reclaims a spot machine; nil without notice.
	ReclaimNoticeSeconds *float64     `cbor:"recall_s"`
	Tasks                []TaskStatus `cbor:"hauls"`
}

// TaskStatus is the state of one attempt of a task on a machine.
type TaskStatus struct {
	Task            string    `cbor:"haul"`
	Attempt         uint64    `cbor:"sortie"`
	State           TaskState `cbor:"status"`
	ExitCause       ExitCause `cbor:"cause,omitempty"`
	CheckpointSaved bool      `cbor:"saved,omitempty"` // a stopped task has saved its progress
}

// Command instructs an agent what to do with one attempt of a task.
type Command struct {
	Kind         CommandKind `cbor:"order"`
	Task         string      `cbor:"haul"`
	Attempt      uint64      `cbor:"sortie"`
	GraceSeconds *float64    `cbor:"slack_s,omitempty"` // time to save progress before a stop; nil: none given
}

// HeartbeatResponse answers a heartbeat and renews the leases of the machine's tasks.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"warrant"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest sends commands to an agent between its heartbeats. The agent refuses it with a lower
// fencing token than it has seen, or with another session than its own.
type CommandRequest struct {
	FencingToken uint64    `cbor:"warrant"`
	Session      uint64    `cbor:"watch"`
	Commands     []Command `cbor:"orders"`
}

// HeartbeatRedirect sends an agent to the controller that owns its machine.
type HeartbeatRedirect struct {
	ControllerAddress string `cbor:"harbormaster,omitempty"`
}
