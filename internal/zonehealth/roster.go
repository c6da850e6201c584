package zonehealth

// Roster maps the name of each machine in a zone to the session of its agent.
type Roster map[string]uint64

// ReturnSummary counts the machines of a zone by what happened to them while the zone was partitioned.
type ReturnSummary struct {
	// Continued is the number of machines with the same session: their tasks kept running.
	Continued int
	// Restarted is the number of machines with a newer session: their tasks ended when the lease
	// expired or when the machine restarted.
	Restarted int
	// Deleted is the number of machines that were deleted by this deployment or by the cloud.
	Deleted int
	// Added is the number of machines that were not in the zone before.
	Added int
}

// CompareAfterReturn compares the roster from before the zone was partitioned with its present roster.
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
