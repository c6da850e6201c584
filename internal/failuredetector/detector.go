package failuredetector

import (
	"time"

	"sableusher/internal/evacuation"
	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// Machine is a node's view of a machine of its shards.
type Machine struct {
	Name    string
	Zone    string
	Shard   int
	Up      bool   // whether it is up according to its record
	Session uint64 // of its agent, as last reported

	LastReportAt      time.Time // when its last report arrived; zero if there was none
	OwnedSince        time.Time // when this node became the owner of its shard
	CommandUnanswered bool      // a direct command has failed since its last report

	BoundTasks          int  // number of tasks that are bound to it
	CancellationOverdue bool // it has a task whose cancellation is overdue
	ServiceMovable      bool // a service on it is not restricted to its zone and could start elsewhere
	ControllerInZone    bool // a controller runs in its zone and renews leases there during a partition
}

// Deletion is a machine that counts as dead and is to be deleted in the cloud.
type Deletion struct {
	Machine string // name of the machine
	Reason  string // for the log
}

// Assessment is the result of one evaluation of a node's machines.
type Assessment struct {
	Deletions       []Deletion
	ProbeMachines   []string       // machines to probe with direct commands
	QueryPeersAbout []string       // machines to query the peers about; pass their responses to RecordPeerResponses
	ShardTransfers  map[int]string // shards whose agents report to another node, with its name
	// ZoneHeartbeats has the heartbeat counts that the states of the zones are derived from.
	ZoneHeartbeats map[string]zonehealth.HeartbeatCount
	ZoneChanges    []zonehealth.Transition
	// ZoneReturns describes, for each zone that serves again, what became of the machines that were in it when it was
	// partitioned.
	ZoneReturns map[string]zonehealth.ReturnSummary
}

// Detector tracks the suspected machines of one node. The zero value with Timing set is ready to use. It is not safe
// for concurrent use.
type Detector struct {
	Timing Timing

	zones   zonehealth.Tracker
	rosters zoneRosters
	peers   peerResponses
	pace    deletionPace
}

// Assess evaluates all machines of a node and returns the consequences of their silence. tasksOn returns the tasks on
// a machine that may be deleted.
func (d *Detector) Assess(
	now time.Time, machines []Machine, tasksOn func(*Machine) []evacuation.Task,
) Assessment {
	var assessment Assessment
	heartbeats, byZone := d.countHeartbeats(now, machines)
	assessment.ZoneHeartbeats = byZone
	transitions := d.updateZones(now, byZone)
	assessment.ZoneChanges = transitions
	assessment.ZoneReturns = d.rosters.update(transitions, machines)

	suspected := d.classify(now, machines, &assessment)
	uncertain := uncertainMachines(suspected, assessment.ProbeMachines)
	d.peers.prune(now, uncertain)
	assessment.QueryPeersAbout = d.peers.machinesToQuery(now, uncertain)
	assessment.ShardTransfers = d.peers.shardTransfers(now, machines)

	d.pace.prune(now)
	up := countUp(machines)
	if d.nodeIsPartitioned(len(suspected), up, heartbeats) {
		return assessment
	}
	for _, candidate := range d.deletionCandidates(now, suspected, tasksOn) {
		if d.mayDelete(candidate.machine, up, now) {
			deletion := Deletion{candidate.machine.Name, d.deletionReason(now, candidate)}
			assessment.Deletions = append(assessment.Deletions, deletion)
		}
	}
	return assessment
}

// classify returns the suspected machines, which have been silent for so long that they may be dead. It adds the
// machines to be probed to the assessment. It also adds the deletion of silent machines that have a task whose
// cancellation is overdue: neither the cap on deletions nor a peer's response may delay these.
func (d *Detector) classify(now time.Time, machines []Machine, assessment *Assessment) []*Machine {
	var suspected []*Machine
	for i := range machines {
		machine := &machines[i]
		silence := d.silence(machine, now)
		switch {
		case !machine.Up && machine.LastReportAt.IsZero():
			// A machine that is not up and has never reported to this node may still be booting: its silence proves
			// nothing.
		case silence > d.Timing.probeAfter() && machine.CancellationOverdue:
			deletion := Deletion{machine.Name, "silent with a cancelled task"}
			assessment.Deletions = append(assessment.Deletions, deletion)
		case silence > d.Timing.deadAfter(), machine.CommandUnanswered && silence > d.deadAfterProbe(machine):
			suspected = append(suspected, machine)
		case silence > d.Timing.probeAfter():
			assessment.ProbeMachines = append(assessment.ProbeMachines, machine.Name)
		}
	}
	return suspected
}

// silence returns for how long a machine has been silent. The time starts at the latest of its last report, the start
// of this node's ownership of its shard, and the return of its zone: after a partition the agents of a zone reconnect
// one by one, and the first to do so must not make the others look dead.
func (d *Detector) silence(machine *Machine, now time.Time) time.Duration {
	since := machine.OwnedSince
	for _, at := range []time.Time{machine.LastReportAt, d.zones.ReturningSince(machine.Zone)} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since)
}

// deadAfterProbe returns the silence after which a machine that did not answer a probe counts as dead. It is somewhat
// longer if the zone has not served without interruption since the machine's last report, because links may have
// failed briefly and the agent needs time to reconnect. The same holds for a new owner that has never received a
// report from the machine.
func (d *Detector) deadAfterProbe(machine *Machine) time.Duration {
	if machine.LastReportAt.IsZero() || !d.zones.ServedSince(machine.Zone, machine.LastReportAt) {
		return d.Timing.deadAfterProbe(tuning.CommandTimeout)
	}
	return d.Timing.deadAfterProbe(tuning.ProbeTimeout)
}

// nodeIsPartitioned reports whether the silence seems to be caused by a partition of this node and not by dead
// machines: most machines are suspected at the same time, and no other zones report, which would show that only the
// silent zones are partitioned.
func (d *Detector) nodeIsPartitioned(suspected, up int, heartbeats zonehealth.HeartbeatCount) bool {
	return suspected*2 > up && up > 2 && !d.otherZonesReporting(heartbeats)
}

// otherZonesReporting reports whether some zones are unavailable while enough machines still send heartbeats that the
// node itself must be connected.
func (d *Detector) otherZonesReporting(heartbeats zonehealth.HeartbeatCount) bool {
	return len(d.UnavailableZones()) > 0 && heartbeats.Expected >= tuning.PartitionMinMachines &&
		float64(heartbeats.Received) >= tuning.NodeConnectedReportingShare*float64(heartbeats.Expected)
}

// countUp returns the number of machines that are up according to their records.
func countUp(machines []Machine) int {
	up := 0
	for i := range machines {
		if machines[i].Up {
			up++
		}
	}
	return up
}
