package federation

import "fmt"

// Standing is what one cell is to another.
type Standing int

// Standings, as they are stored in a cell's record.
const (
	StandingUnknown   Standing = iota // named in the operators' list, never heard
	StandingJoined                    // heard, inventories exchanged: jobs are offered to it
	StandingSuspected                 // not heard lately: no new jobs are offered, what it holds stays there
	StandingLost                      // not heard for long: as suspected, and its operators may forget it
	StandingDraining                  // its operators drain it: it accepts no jobs and returns those not started
	StandingReturning                 // heard again, or under a new epoch: exchanges inventories, then probation
	StandingRemoved                   // no longer named, or forgotten: its messages are ignored
)

// AllStandings lists all standings.
var AllStandings = []Standing{
	StandingUnknown, StandingJoined, StandingSuspected, StandingLost,
	StandingDraining, StandingReturning, StandingRemoved,
}

// standingNames are also values of a label of the metric sableusher_cell_standing, and therefore fixed.
var standingNames = [...]string{
	StandingUnknown:   "unknown",
	StandingJoined:    "joined",
	StandingSuspected: "doubted",
	StandingLost:      "lost",
	StandingDraining:  "draining",
	StandingReturning: "returning",
	StandingRemoved:   "left",
}

// String returns the name of the standing in logs, metrics and documents.
func (s Standing) String() string { return enumName(standingNames[:], int(s)) }

// enumName returns the name of a value of an enumeration, or its number if it has none.
func enumName(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("unknown value %d", value)
	}
	return names[value]
}
