package wire

// TaskState is the state of a task on a machine, as reported by the agent.
type TaskState string

// States of a task on a machine, in the order in which a task passes through them.
const (
	TaskFetchingImage TaskState = "pulling"
	TaskAwaitingGang  TaskState = "gathering" // waits until all tasks of its gang have started
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving" // saves a checkpoint before it stops
	TaskExited        TaskState = "exited"
)

// String returns the state's name in the protocol.
func (s TaskState) String() string { return string(s) }

// ExitCause is the reason why a task has exited.
type ExitCause string

// Exit causes.
const (
	ExitCauseDone           ExitCause = "done"
	ExitCauseStopped        ExitCause = "halted"     // stopped by a command
	ExitCauseGangMemberLost ExitCause = "peers"      // another task of its gang was lost
	ExitCauseGangIncomplete ExitCause = "incomplete" // not all tasks of its gang started in time
	ExitCauseError          ExitCause = "error"      // the task itself failed
	ExitCauseNoCapacity     ExitCause = "no_room"
	ExitCauseAlreadyRunning ExitCause = "in_use" // another attempt of the task is running on the machine
	ExitCauseUnknownTask    ExitCause = "no_such"
)

// String returns the cause's name in the protocol.
func (c ExitCause) String() string { return string(c) }

// CommandKind is the action that a command requests from an agent.
type CommandKind string

// Kinds of commands.
const (
	CommandStart  CommandKind = "launch"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "forget" // discard the status of an attempt that has exited
)

// String returns the kind's name in the protocol.
func (k CommandKind) String() string { return string(k) }

// Heartbeat is the report that an agent regularly sends about its machine.
type Heartbeat struct {
	Machine     string `cbor:"vessel"`
	Address     string `cbor:"address"`
	MachineType string `cbor:"hull"`
	Zone        string `cbor:"harbor"`
	Spot        bool   `cbor:"standby"`
	// Session identifies the agent process. Sequence counts the heartbeats within the session.
	Session  uint64 `cbor:"watch"`
	Sequence uint64 `cbor:"tally"`
	// FencingToken is the highest fencing token that the agent has seen. It ignores commands with a lower one.
	FencingToken uint64 `cbor:"warrant"`
	// ReclaimNoticeSeconds is the time until the cloud reclaims the spot machine; nil if no reclaim is announced.
	ReclaimNoticeSeconds *float64     `cbor:"recall_s"`
	Tasks                []TaskStatus `cbor:"hauls"`
}

// TaskStatus is the state of one attempt of a task on a machine.
type TaskStatus struct {
	Task            string    `cbor:"haul"`
	Attempt         uint64    `cbor:"sortie"`
	State           TaskState `cbor:"status"`
	ExitCause       ExitCause `cbor:"cause,omitempty"`
	CheckpointSaved bool      `cbor:"saved,omitempty"` // the task saved a checkpoint before it stopped
}

// Command tells an agent what to do with one attempt of a task.
type Command struct {
	Kind         CommandKind `cbor:"order"`
	Task         string      `cbor:"haul"`
	Attempt      uint64      `cbor:"sortie"`
	GraceSeconds *float64    `cbor:"slack_s,omitempty"` // time to save a checkpoint before a stop; nil: none
}

// HeartbeatResponse is the response to a heartbeat. It renews the leases of the machine's tasks.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"warrant"`
	Commands     []Command `cbor:"orders"`
}

// CommandRequest sends commands to an agent between its heartbeats. The agent refuses the request if FencingToken is
// lower than the highest one that it has seen, or if Session is not its own.
type CommandRequest struct {
	FencingToken uint64    `cbor:"warrant"`
	Session      uint64    `cbor:"watch"`
	Commands     []Command `cbor:"orders"`
}

// HeartbeatRedirect refers an agent to the node that owns its machine.
type HeartbeatRedirect struct {
	ControllerAddress string `cbor:"harbormaster,omitempty"`
}
