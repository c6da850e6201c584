package federation

import "fmt"

// Standing is the state of another cell as this cell sees it.
type Standing int

// Standings, as they are stored in a cell's record.
const (
	StandingUnknown   Standing = iota // configured, but no message has arrived yet
	StandingJoined                    // reachable, its inventory received: jobs are offered to it
	StandingSuspected                 // silent: no new jobs are offered, and it keeps the jobs that it holds
	StandingLost                      // silent for long: as suspected, and operators may forget it
	StandingDraining                  // its operators drain it: it accepts no jobs and returns those not started
	StandingReturning                 // reachable again, or under a new epoch: lacks its inventory or is on probation
	StandingRemoved                   // no longer configured, or forgotten: its messages are ignored
)

// AllStandings lists all standings.
var AllStandings = []Standing{
	StandingUnknown, StandingJoined, StandingSuspected, StandingLost,
	StandingDraining, StandingReturning, StandingRemoved,
}

// standingNames are also label values of the metric sableusher_cell_standing and must not change.
var standingNames = [...]string{
	StandingUnknown:   "unknown",
	StandingJoined:    "joined",
	StandingSuspected: "doubted",
	StandingLost:      "lost",
	StandingDraining:  "draining",
	StandingReturning: "returning",
	StandingRemoved:   "left",
}

// String returns the name of the standing as used in logs, metrics and documentation.
func (s Standing) String() string { return enumName(standingNames[:], int(s)) }

// enumName returns the name of an enumeration value, or a text with its number if it has no name.
func enumName(names []string, value int) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("unknown value %d", value)
	}
	return names[value]
}
