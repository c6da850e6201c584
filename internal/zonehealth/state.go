package zonehealth

import "fmt"

// State is the health of a zone as one node observes it.
type State int

// The states, in the order in which a zone passes through them during an outage.
const (
	Serving     State = iota // no known problem
	Suspected                // heartbeats are missing from more than half of the machines
	Partitioned              // heartbeats are missing from more than three quarters of the machines
	Lost                     // partitioned for at least its grace period
	Returning                // heartbeats arrive again; the zone is on probation
)

// States lists all states.
var States = []State{Serving, Suspected, Partitioned, Lost, Returning}

// String returns the state's name as used in logs, metric labels and the operators' documentation.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Suspected:
		return "doubted"
	case Partitioned:
		return "cut"
	case Lost:
		return "lost"
	case Returning:
		return "returning"
	default:
		return fmt.Sprintf("State(%d)", int(s))
	}
}
