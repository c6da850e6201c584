package failuredetector

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/evacuation"
	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// minDeletions is the number of machines that may be deleted per tuning.DeletionCapWindow regardless of how few
// machines there are.
const minDeletions = 2

// deletionCandidate is a suspected machine that may be deleted, with its step in the evacuation plan.
type deletionCandidate struct {
	machine *Machine
	step    evacuation.Step
}

// deletionCandidates returns the suspected machines that may be deleted, in the order of the evacuation plan. A
// machine is a candidate only if the peers were queried about it and none of them has received a report from it either.
func (d *Detector) deletionCandidates(
	now time.Time, suspected []*Machine, tasksOn func(*Machine) []evacuation.Task,
) []deletionCandidate {
	var lost []evacuation.Machine
	byName := map[string]*Machine{}
	movable := map[string]int{} // number of machines with movable services, by unavailable zone
	for _, machine := range suspected {
		if !d.peers.reportsToNoPeer(machine.Name) {
			continue
		}
		if d.ZoneUnavailable(machine.Zone) {
			if d.silence(machine, now) < d.unavailableZoneGracePeriod(machine) {
				continue
			}
			if machine.ServiceMovable {
				movable[machine.Zone]++
			}
		}
		byName[machine.Name] = machine
		lost = append(lost, evacuation.Machine{Name: machine.Name, Tasks: tasksOn(machine)})
	}
	d.pace.planZones(movable, d.ZoneUnavailable)
	steps := evacuation.Plan(lost)
	candidates := make([]deletionCandidate, len(steps))
	for i, step := range steps {
		candidates[i] = deletionCandidate{byName[step.Machine], step}
	}
	return candidates
}

// unavailableZoneGracePeriod returns how long a machine of an unavailable zone may be silent before it can be
// deleted. Such a machine runs its tasks until its lease expires; a controller in the zone, if there is one, keeps
// renewing the lease. After that, its tasks have to start again elsewhere. If a service on it can start elsewhere and
// no controller renews the lease, it may be deleted earlier, after tuning.PartitionServiceLeaseShare of the lease. An
// empty machine has nothing to restart, so it is kept for as long as one with a controller in its zone.
func (d *Detector) unavailableZoneGracePeriod(machine *Machine) time.Duration {
	switch {
	case machine.ControllerInZone || machine.BoundTasks == 0:
		return tuning.PartitionedZoneControllerGrace
	case machine.ServiceMovable:
		return scaleDuration(d.Timing.LeaseDuration, tuning.PartitionServiceLeaseShare)
	default:
		return d.Timing.LeaseDuration
	}
}

// mayDelete reports whether a machine may be deleted now, and counts the deletion if so.
//
// The cap does not apply to a machine of an unavailable zone with a service that can start elsewhere, because the
// service is certain to benefit. Such machines are deleted one by one until the end of their leases, so that their
// services do not all restart at the same time. If the zone becomes available before that, the remaining machines are
// kept. All other deletions within tuning.DeletionCapWindow are capped at a share of the machines that are up. The cap
// is lower for a zone that is not serving, where either machines or links may have failed.
func (d *Detector) mayDelete(machine *Machine, up int, now time.Time) bool {
	if machine.ServiceMovable && d.ZoneUnavailable(machine.Zone) {
		return d.pace.zones[machine.Zone].allow(d.silence(machine, now), d.Timing.LeaseDuration)
	}
	share := tuning.DeletionCapShare
	if d.zones.State(machine.Zone) == zonehealth.Serving {
		share = tuning.DeletionCapShareServingZone
	}
	return d.pace.allow(max(minDeletions, int(share*float64(up))), now)
}

// deletionReason returns a short description of why a machine is deleted and of its place in the order.
func (d *Detector) deletionReason(now time.Time, candidate deletionCandidate) string {
	reason := fmt.Sprintf("silent for %v", d.silence(candidate.machine, now).Round(time.Second))
	if d.ZoneUnavailable(candidate.machine.Zone) {
		reason += " in a zone that is cut off"
	}
	return reason + ", " + candidate.step.Reason()
}

// deletionPace limits how fast machines are deleted.
type deletionPace struct {
	recent []time.Time // times of the capped deletions within tuning.DeletionCapWindow
	// zones has, by unavailable zone, the evacuation of its machines with movable services.
	zones map[string]*zoneEvacuation
}

// prune removes the deletions that are too old to count against the cap.
func (p *deletionPace) prune(now time.Time) {
	p.recent = slices.DeleteFunc(p.recent, func(at time.Time) bool { return now.Sub(at) > tuning.DeletionCapWindow })
}

// allow reports whether one more machine may be deleted under the cap, and counts the deletion if so.
func (p *deletionPace) allow(limit int, now time.Time) bool {
	if len(p.recent) >= limit {
		return false
	}
	p.recent = append(p.recent, now)
	return true
}

// planZones updates the number of machines with movable services that are to be evacuated from each unavailable zone,
// and removes the zones that are available again.
func (p *deletionPace) planZones(movable map[string]int, unavailable func(zone string) bool) {
	if p.zones == nil {
		p.zones = map[string]*zoneEvacuation{}
	}
	for zone, left := range movable {
		if planned := p.zones[zone]; planned == nil {
			p.zones[zone] = &zoneEvacuation{total: left}
		} else {
			planned.total = max(planned.total, planned.deleted+left)
		}
	}
	maps.DeleteFunc(p.zones, func(zone string, _ *zoneEvacuation) bool { return !unavailable(zone) })
}

// zoneEvacuation counts the machines with movable services of an unavailable zone, and how many of them were deleted.
type zoneEvacuation struct{ total, deleted int }

// allow reports whether one more machine may be deleted now, and counts the deletion if so.
func (e *zoneEvacuation) allow(silence, lease time.Duration) bool {
	if e.deleted >= e.allowance(silence, lease) {
		return false
	}
	e.deleted++
	return true
}

// allowance returns how many machines may have been deleted in total, given the silence of the next machine. It
// rises from the first machine, after tuning.PartitionServiceLeaseShare of the lease, to all of them at the end of the
// lease.
func (e *zoneEvacuation) allowance(silence, lease time.Duration) int {
	start := scaleDuration(lease, tuning.PartitionServiceLeaseShare)
	share := min(1, float64(silence-start)/float64(lease-start))
	return int(math.Ceil(float64(e.total) * share))
}
