package zonehealth

import "fmt"

// State is the health of a zone as one controller sees it.
type State int

// The states, in the order in which a loss passes through them.
const (
	Serving State = iota
	Doubted
	Cut
	Lost
	Returning
)

// States lists all states.
var States = []State{Serving, Doubted, Cut, Lost, Returning}

// String returns the state's name in logs, metric labels and the operators' pages.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Doubted:
		return "doubted"
	case Cut:
		return "cut"
	case Lost:
		return "lost"
	case Returning:
		return "returning"
	default:
		return fmt.Sprintf("State(%d)", int(s))
	}
}
