package failuredetector

import (
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// Zones returns the states of the zones as of the last assessment.
func (d *Detector) Zones() *zonehealth.Tracker { return &d.zones }

// ZoneUnavailable reports whether a zone was partitioned from this node, or lost, as of the last assessment.
func (d *Detector) ZoneUnavailable(name string) bool { return d.zones.Unavailable(name) }

// ZoneUnstable reports whether a zone is unavailable or returning, so that its agents may still be reconnecting.
func (d *Detector) ZoneUnstable(name string) bool {
	return d.zones.Unavailable(name) || d.zones.State(name) == zonehealth.Returning
}

// UnavailableZones returns the names of the zones that are partitioned or lost.
func (d *Detector) UnavailableZones() []string { return d.zones.UnavailableZones() }

// countHeartbeats counts, in total and by zone, the machines from which heartbeats are expected and those from which a
// report arrived within the last heartbeat interval. Machines of recently acquired shards that have not reported to
// this node yet do not count.
func (d *Detector) countHeartbeats(
	now time.Time, machines []Machine,
) (all zonehealth.HeartbeatCount, byZone map[string]zonehealth.HeartbeatCount) {
	byZone = map[string]zonehealth.HeartbeatCount{}
	minOwned := scaleDuration(d.Timing.HeartbeatInterval, tuning.PartitionMinOwnedIntervals)
	for i := range machines {
		machine := &machines[i]
		if !machine.Up || machine.LastReportAt.IsZero() && now.Sub(machine.OwnedSince) < minOwned {
			continue
		}
		count := byZone[machine.Zone]
		count.Expected++
		all.Expected++
		if now.Sub(machine.LastReportAt) < d.Timing.HeartbeatInterval {
			count.Received++
			all.Received++
		}
		count.ControllerInZone = machine.ControllerInZone
		byZone[machine.Zone] = count
	}
	return all, byZone
}

// updateZones updates the states of the zones from the heartbeat counts.
func (d *Detector) updateZones(
	now time.Time, byZone map[string]zonehealth.HeartbeatCount,
) []zonehealth.Transition {
	d.zones.Timing = zonehealth.Timing{
		LeaseDuration: d.Timing.LeaseDuration, ReconnectTime: d.Timing.deadAfter() + tuning.AgentFailoverTime,
	}
	return d.zones.Observe(now, byZone)
}

// zoneRosters has, for each zone that was partitioned and does not serve again yet, the machines that were in it when
// it was partitioned.
type zoneRosters map[string]zonehealth.Roster

// update records the machines of the zones that were partitioned, and returns for each zone that serves again what
// became of its machines. A zone that is partitioned again before it serves keeps its first roster.
func (r *zoneRosters) update(
	transitions []zonehealth.Transition, machines []Machine,
) map[string]zonehealth.ReturnSummary {
	returns := map[string]zonehealth.ReturnSummary{}
	for _, transition := range transitions {
		zone := transition.Zone
		before, kept := (*r)[zone]
		switch {
		case transition.To == zonehealth.Partitioned && !kept:
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

// rosterOf returns the machines that are up in a zone, with the sessions of their agents.
func rosterOf(zone string, machines []Machine) zonehealth.Roster {
	roster := zonehealth.Roster{}
	for i := range machines {
		if machine := &machines[i]; machine.Zone == zone && machine.Up {
			roster[machine.Name] = machine.Session
		}
	}
	return roster
}
