package failuredetector

import (
	"time"

	"sableusher/internal/evacuation"
	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// Machine is what a node knows of a machine of its shards.
type Machine struct {
	Name    string
	Zone    string
	Shard   int
	Up      bool   // its record says so
	Session uint64 // of its agent, as last heard

	LastHeard         time.Time // when its last report came, zero if none did
	OwnedSince        time.Time // since when this node could have heard it
	CommandUnanswered bool      // a direct command since it was last heard got no answer

	BoundTasks          int  // how many tasks are bound to it
	CancellationOverdue bool // it holds a task whose cancellation is overdue
	ServiceMovable      bool // a service on it is not bound to its zone and could start elsewhere
	ControllerInZone    bool // a controller stands in its zone, and renews leases while that is cut off
}

// Deletion is a machine that is given up and to be deleted at the cloud.
type Deletion struct {
	Machine string // its name
	Reason  string // for the log
}

// Assessment is what follows from one look at a node's machines.
type Assessment struct {
	Deletions      []Deletion
	ProbeMachines  []string       // to be probed by direct commands
	AskPeersAbout  []string       // to be asked about with the peers; the answer goes to RecordPeerAnswers
	ShardTransfers map[int]string // shards whose agents report to another node, and that node
	// ZoneHeartbeats is what the states of the zones rest on.
	ZoneHeartbeats map[string]zonehealth.HeartbeatCount
	ZoneChanges    []zonehealth.Transition
	// ZoneReturns says of each zone that serves again what became of the machines that stood in it.
	ZoneReturns map[string]zonehealth.ReturnSummary
}

// Detector follows the suspected machines of one node. The zero value with Timing is ready for use. It is not safe
// for concurrent use.
type Detector struct {
	Timing Timing

	zones   zonehealth.Tracker
	rosters zoneRosters
	peers   peerAnswers
	pace    deletionPace
}

// Assess looks at all machines of a node and decides what follows from their silence. tasksOn gives the tasks on
// a machine that is to be given up.
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
	assessment.AskPeersAbout = d.peers.machinesToAskAbout(now, uncertain)
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

// classify gives the suspected machines: those that have been silent for so long that they may be dead. It adds to
// the assessment those to be probed, and the deletion of those that hold a cancelled task: no cap and no answer of
// a peer can keep that beyond its time.
func (d *Detector) classify(now time.Time, machines []Machine, assessment *Assessment) []*Machine {
	var suspected []*Machine
	for i := range machines {
		machine := &machines[i]
		silence := d.silence(machine, now)
		switch {
		case !machine.Up && machine.LastHeard.IsZero():
			// Whether it comes up at all is not a matter of silence.
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

// silence is for how long a machine has been silent. After a partition the agents of its zone find back to this
// node one by one: the first of them must not make the others look dead.
func (d *Detector) silence(machine *Machine, now time.Time) time.Duration {
	since := machine.OwnedSince
	for _, at := range []time.Time{machine.LastHeard, d.zones.ReturningSince(machine.Zone)} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since)
}

// deadAfterProbe is the silence after which a machine that did not answer a probe is dead. Where its zone did
// not serve all the time since it was last heard, links may have been gone for a moment, and it has somewhat
// longer to find back; so it has with a new owner that never heard it.
func (d *Detector) deadAfterProbe(machine *Machine) time.Duration {
	if machine.LastHeard.IsZero() || !d.zones.ServedSince(machine.Zone, machine.LastHeard) {
		return d.Timing.deadAfterProbe(tuning.CommandTimeout)
	}
	return d.Timing.deadAfterProbe(tuning.ProbeTimeout)
}

// nodeIsPartitioned tells whether it is this node that is cut off, not the machines that are dead: most of them are
// suspected at once, and no zone is heard that would show that it is the others that are cut off.
func (d *Detector) nodeIsPartitioned(suspected, up int, heartbeats zonehealth.HeartbeatCount) bool {
	return suspected*2 > up && up > 2 && !d.otherZonesReporting(heartbeats)
}

// otherZonesReporting tells whether, beside the zones that are unavailable, others are heard well.
func (d *Detector) otherZonesReporting(heartbeats zonehealth.HeartbeatCount) bool {
	return len(d.UnavailableZones()) > 0 && heartbeats.Expected >= tuning.PartitionMinMachines &&
		float64(heartbeats.Received) >= tuning.NodeConnectedReportingShare*float64(heartbeats.Expected)
}

// countUp counts the machines that are up by their records.
func countUp(machines []Machine) int {
	up := 0
	for i := range machines {
		if machines[i].Up {
			up++
		}
	}
	return up
}
