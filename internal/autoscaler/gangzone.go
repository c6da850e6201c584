package autoscaler

import (
	"slices"
	"time"

	"sableusher/internal/scheduler"
)

// rentalTarget is the zone in which machines are rented for a job, and the number of its tasks that they
// are rented for.
type rentalTarget struct {
	zone  string // empty for any zone
	tasks int
}

// chooseSingleZone chooses where machines are rented for a job whose tasks must all run in one zone, usually
// a gang; below, the gang is any such job. The first rule that applies decides:
//   - If part of the gang fits in group.Zone and more machines can be rented there, machines are rented
//     for the remaining tasks in that zone.
//   - If some kind of machine is not known to be too scarce for a whole gang, machines are rented for the
//     whole gang in the zone of the cheapest such kind, or in any zone if it is the cheapest kind of all.
//   - If part of the gang fits in group.Zone and the zone is available, nothing is rented until the
//     refusal of that zone expires.
//   - Otherwise machines are rented for the remaining tasks in any zone.
//
// The third rule prevents requests to one zone after another: each would yield a few machines, which
// would be deleted as idle, and no zone would ever hold a whole gang.
func (a *Autoscaler) chooseSingleZone(
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
	gangQuery := query
	gangQuery.allowed = func(kind machineKind) bool { return a.rentals.mayFitGang(kind, now) }
	if kind, ok := a.cheapestKind(gangQuery); ok {
		if cheapest, _ := a.cheapestKind(query); cheapest == kind {
			// The zone is left open as for other jobs, so that the gang can share machines planned for them.
			return rentalTarget{tasks: spec.TaskCount}
		}
		return rentalTarget{zone: kind.zone, tasks: spec.TaskCount}
	}
	if group.Zone != "" && !slices.Contains(a.unavailableZones, group.Zone) {
		return rentalTarget{} // the rest is requested in group.Zone once the refusal expires
	}
	return rentalTarget{tasks: group.Count}
}
