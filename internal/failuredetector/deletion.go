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

// minDeletions is how many machines may be deleted in tuning.DeletionCapWindow however few there are.
const minDeletions = 2

// deletionCandidate is a suspected machine that is due to be given up, with its step in the evacuation plan.
type deletionCandidate struct {
	machine *Machine
	step    evacuation.Step
}

// deletionCandidates gives the suspected machines that are due to be given up, in the order of the evacuation plan.
// Only what no other node hears either is dead.
func (d *Detector) deletionCandidates(
	now time.Time, suspected []*Machine, tasksOn func(*Machine) []evacuation.Task,
) []deletionCandidate {
	var lost []evacuation.Machine
	byName := map[string]*Machine{}
	movable := map[string]int{} // machines with movable services, by zones that are unavailable
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

// unavailableZoneGracePeriod is the silence up to which a machine of a zone that is unavailable is left alone: it runs
// its tasks until its lease expires, which a controller in the zone renews. After that, what it held must start
// again; an empty machine is waited for as long as one with a controller.
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

// mayDelete tells whether a machine may be deleted now, and counts it if so. A service that starts elsewhere out
// of a zone that is unavailable is certain to gain: the machines of these go one after the other over the time
// that their leases leave, so that the services do not all start again at once, and not at all if the zone is
// heard before. All others are capped, by a smaller share where it is in doubt whether machines die or links go.
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

// deletionReason says in a few words why a machine is given up, and why in this place.
func (d *Detector) deletionReason(now time.Time, candidate deletionCandidate) string {
	reason := fmt.Sprintf("silent for %v", d.silence(candidate.machine, now).Round(time.Second))
	if d.ZoneUnavailable(candidate.machine.Zone) {
		reason += " in a zone that is cut off"
	}
	return reason + ", " + candidate.step.Reason()
}

// deletionPace bounds how fast machines are given up.
type deletionPace struct {
	recent []time.Time // of the deletions within tuning.DeletionCapWindow that are capped
	// zones has the evacuations of zones that are unavailable, of their machines with movable services.
	zones map[string]*zoneEvacuation
}

// prune forgets the deletions that the cap does not count any more.
func (p *deletionPace) prune(now time.Time) {
	p.recent = slices.DeleteFunc(p.recent, func(at time.Time) bool { return now.Sub(at) > tuning.DeletionCapWindow })
}

// allow tells whether one more machine may be deleted under the cap, and counts it if so.
func (p *deletionPace) allow(limit int, now time.Time) bool {
	if len(p.recent) >= limit {
		return false
	}
	p.recent = append(p.recent, now)
	return true
}

// planZones notes how many machines with movable services are to be evacuated from each unavailable zone, and
// forgets the zones that are available again.
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

// zoneEvacuation is how far the machines with movable services of an unavailable zone are given up.
type zoneEvacuation struct{ total, deleted int }

// allow tells whether one more machine may be deleted now, and counts it if so.
func (e *zoneEvacuation) allow(silence, lease time.Duration) bool {
	if e.deleted >= e.allowance(silence, lease) {
		return false
	}
	e.deleted++
	return true
}

// allowance is how many machines may have been given up once their zone has been silent for so long: all of them
// by the end of the lease, the first once tuning.PartitionServiceLeaseShare of it have passed.
func (e *zoneEvacuation) allowance(silence, lease time.Duration) int {
	start := scaleDuration(lease, tuning.PartitionServiceLeaseShare)
	share := min(1, float64(silence-start)/float64(lease-start))
	return int(math.Ceil(float64(e.total) * share))
}
