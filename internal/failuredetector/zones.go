package failuredetector

import (
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// Zones gives the states of the zones as of the last assessment.
func (d *Detector) Zones() *zonehealth.Tracker { return &d.zones }

// ZoneUnavailable tells whether a zone is cut off from this node, or lost, as of the last assessment.
func (d *Detector) ZoneUnavailable(name string) bool { return d.zones.Unavailable(name) }

// ZoneUnstable tells whether a zone is unavailable, or was so lately that its agents may be on their way back.
func (d *Detector) ZoneUnstable(name string) bool {
	return d.zones.Unavailable(name) || d.zones.State(name) == zonehealth.Returning
}

// UnavailableZones gives the zones that are cut off or lost.
func (d *Detector) UnavailableZones() []string { return d.zones.UnavailableZones() }

// countHeartbeats counts, in all and by zone, the machines that should be heard and those that are. Machines that
// this node took over a moment ago could not be heard yet and do not count.
func (d *Detector) countHeartbeats(
	now time.Time, machines []Machine,
) (all zonehealth.HeartbeatCount, byZone map[string]zonehealth.HeartbeatCount) {
	byZone = map[string]zonehealth.HeartbeatCount{}
	ownedLately := scaleDuration(d.Timing.HeartbeatInterval, tuning.PartitionMinOwnedIntervals)
	for i := range machines {
		machine := &machines[i]
		if !machine.Up || machine.LastHeard.IsZero() && now.Sub(machine.OwnedSince) < ownedLately {
			continue
		}
		count := byZone[machine.Zone]
		count.Expected++
		all.Expected++
		if now.Sub(machine.LastHeard) < d.Timing.HeartbeatInterval {
			count.Received++
			all.Received++
		}
		count.ControllerInZone = machine.ControllerInZone
		byZone[machine.Zone] = count
	}
	return all, byZone
}

// updateZones brings the zones' states up to date with what was heard of them.
func (d *Detector) updateZones(
	now time.Time, byZone map[string]zonehealth.HeartbeatCount,
) []zonehealth.Transition {
	d.zones.Timing = zonehealth.Timing{
		LeaseDuration: d.Timing.LeaseDuration, ReconnectTime: d.Timing.deadAfter() + tuning.AgentFailoverTime,
	}
	return d.zones.Observe(now, byZone)
}

// zoneRosters has the machines that stood in a zone when it was cut off, for each zone that does not serve again
// yet.
type zoneRosters map[string]zonehealth.Roster

// update notes the machines of zones that were cut off, and says of those that serve again what became of
// them. A zone that is cut off again before it serves keeps its first roster.
func (r *zoneRosters) update(
	transitions []zonehealth.Transition, machines []Machine,
) map[string]zonehealth.ReturnSummary {
	returns := map[string]zonehealth.ReturnSummary{}
	for _, transition := range transitions {
		zone := transition.Zone
		before, kept := (*r)[zone]
		switch {
		case transition.To == zonehealth.Cut && !kept:
			if *r == nil {
				*r = zoneRosters{}
			}
			(*r)[zone] = rosterOf(zone, machines)
		case transition.To == zonehealth.Serving && kept:
			returns[zone] = before.CompareAfterReturn(rosterOf(zone, machines))
			delete(*r, zone)
		}
	}
	return returns
}

// rosterOf gives the machines that are up in a zone, with their agents' sessions.
func rosterOf(zone string, machines []Machine) zonehealth.Roster {
	roster := zonehealth.Roster{}
	for i := range machines {
		if machine := &machines[i]; machine.Zone == zone && machine.Up {
			roster[machine.Name] = machine.Session
		}
	}
	return roster
}
