package autoscaler

import (
	"slices"
	"time"

	"sableusher/internal/scheduler"
)

// rentalTarget says in which zone machines are rented for a job, and for how many of its tasks.
type rentalTarget struct {
	zone  string // empty for any
	tasks int
}

// chooseGangZone chooses where machines are rented for a gang that must be in one zone: for its
// remaining tasks where some of them fit; for all of them elsewhere while that zone refuses, if
// another is not known to have less than the whole. No task is planned if every zone has too little:
// asking one after the other would get a machine here and one there, return each as idle, and never
// make up a gang.
func (a *Autoscaler) chooseGangZone(
	group scheduler.UnplacedGroup, machinesInZone map[string]int, now time.Time,
) rentalTarget {
	spec := group.Spec
	query := kindQuery{spec: spec, machinesInZone: machinesInZone, now: now, allowed: anyKind}
	if group.Zone != "" {
		query.zone = group.Zone
		if _, ok := a.cheapestKind(query); ok {
			return rentalTarget{zone: group.Zone, tasks: group.Count}
		}
		query.zone = ""
	}
	ample := query
	ample.allowed = func(kind machineKind) bool { return a.rentals.isAmple(kind, now) }
	if kind, ok := a.cheapestKind(ample); ok {
		if cheapest, _ := a.cheapestKind(query); cheapest == kind {
			// Any zone, as for any job, so that machines rented for others are shared.
			return rentalTarget{tasks: spec.TaskCount}
		}
		return rentalTarget{zone: kind.zone, tasks: spec.TaskCount}
	}
	if group.Zone != "" && !slices.Contains(a.unavailableZones, group.Zone) {
		return rentalTarget{} // more is asked for in its zone once the refusal ends
	}
	return rentalTarget{tasks: group.Count}
}
