package wire

// States of a task on a worker.
const (
	TaskFetching = "pulling"
	TaskWaiting  = "gathering"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Causes of an exit.
const (
	CauseDone    = "done"
	CauseStopped = "halted"
	CausePeers   = "peers"
	CauseAlone   = "incomplete"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "in_use"
	CauseUnknown = "no_such"
)

// Orders to a worker.
const (
	OpStart  = "launch"
	OpStop   = "halt"
	OpForget = "forget"
)

// Report is what a worker tells of itself.
type Report struct {
	Machine string       `cbor:"vessel"`
	Address string       `cbor:"address"`
	Type    string       `cbor:"hull"`
	Zone    string       `cbor:"harbor"`
	Spot    bool         `cbor:"standby"`
	Session uint64       `cbor:"watch"`
	Seq     uint64       `cbor:"tally"`
	Token   uint64       `cbor:"warrant"`
	NoticeS *float64     `cbor:"recall_s"`
	Tasks   []TaskReport `cbor:"hauls"`
}

// TaskReport is one task on a worker.
type TaskReport struct {
	Task    string `cbor:"haul"`
	Attempt uint64 `cbor:"sortie"`
	State   string `cbor:"status"`
	Cause   string `cbor:"cause,omitempty"`
	Saved   bool   `cbor:"saved,omitempty"`
}

// Order is one command.
type Order struct {
	Op      string   `cbor:"order"`
	Task    string   `cbor:"haul"`
	Attempt uint64   `cbor:"sortie"`
	GraceS  *float64 `cbor:"slack_s,omitempty"`
}

// Orders answers a report.
type Orders struct {
	Token  uint64  `cbor:"warrant"`
	Orders []Order `cbor:"orders"`
}

// DirectOrders go to a worker's address.
type DirectOrders struct {
	Token   uint64  `cbor:"warrant"`
	Session uint64  `cbor:"watch"`
	Orders  []Order `cbor:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo string `cbor:"harbormaster,omitempty"`
}
