package zonehealth

// Roster is the agent session of each machine in a zone, by the machine's name.
type Roster map[string]uint64

// ReturnSummary counts what became of a zone's machines while it was cut off.
type ReturnSummary struct {
	// Continued is the number of machines with the same session: their tasks live on.
	Continued int
	// Restarted is the number of machines with a newer session: their tasks ended with their lease
	// or with the machine's power.
	Restarted int
	// Deleted is the number of machines that were given up meanwhile, here or by the cloud.
	Deleted int
	// Added is the number of machines that were not there before.
	Added int
}

// CompareAfterReturn compares the roster of a zone that was cut off with its present one.
func (r Roster) CompareAfterReturn(present Roster) ReturnSummary {
	summary := ReturnSummary{Added: len(present)}
	for machine, session := range r {
		presentSession, isPresent := present[machine]
		if !isPresent {
			summary.Deleted++
			continue
		}
		summary.Added--
		if presentSession > session {
			summary.Restarted++
		} else {
			summary.Continued++
		}
	}
	return summary
}
