// Package failuredetector decides which machines that are not heard from are given up. A
// machine that died has to be replaced soon; one that is only cut off from us runs
// its tasks on, and deleting it loses them. So silence is judged by what the silent
// have in common: where a whole zone falls silent at once, the zone is cut off, and
// its machines are left alone until their leases have run out.
//
// The package owns what the peers said of silent machines and the pace of deletions; what
// becomes of zones is told by package zone from what it counts. It only judges: no clock, no network, no records. What it gives
// up leaves a machine by the cloud's deletion and nothing else (safety invariant 4), so a
// wrong judgement costs time or work and never breaks a rule; a machine that holds a
// task whose cancellation is overdue is given up whatever else speaks for waiting
// (invariant 5).
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

// Timing are the deployment's times.
type Timing struct {
	HeartbeatInterval time.Duration // between a worker's reports
	LeaseDuration     time.Duration // that an answer to a report renews
}

// probeAfter is the silence after which a machine is asked directly, deadAfter the
// one after which it is given up if it could not be asked, askedAfter if it could.
func (r Timing) probeAfter() time.Duration {
	return scaleDuration(tuning.ProbeAfter, r.HeartbeatInterval)
}
func (r Timing) deadAfter() time.Duration {
	return scaleDuration(tuning.DeadAfter, r.HeartbeatInterval)
}
func (r Timing) deadAfterProbe(asking time.Duration) time.Duration {
	return min(r.deadAfter(), r.probeAfter()+asking+tuning.SweepEvery)
}

func scaleDuration(n float64, d time.Duration) time.Duration { return time.Duration(n * float64(d)) }

// Machine is what a node knows of a machine of its parts.
type Machine struct {
	Name  string
	Zone  string
	Shard int
	Up    bool
	// Session is its worker's, as last heard.
	Session uint64
	// LastHeard is when it was last heard, zero if never; Owned since when this node
	// could have heard it.
	LastHeard, OwnedSince time.Time
	CommandUnanswered     bool // a direct question since then got no answer
	CancellationOverdue   bool // holds a task whose cancellation is overdue
	BoundTasks            int  // tasks
	// Inside: a controller stands in its zone, and renews leases while that is cut off.
	ControllerInZone bool
	// Moves: a service on it is not bound to its zone and could start elsewhere.
	ServiceMovable bool
}

// silentSince is from when on a machine's silence counts. After a cut its zone's workers find
// back to us one by one: the first of them must not make the others look dead.
func (w *Detector) silentSince(m *Machine) time.Time {
	at := m.OwnedSince
	for _, t := range []time.Time{m.LastHeard, w.zones.ReturningSince(m.Zone)} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// deadAfterProbe is the silence after which a machine that did not answer is given up. Where its
// zone was in doubt since it was last heard, links may have been gone for a moment, and it has
// somewhat longer to find back: so it has with a new owner who never heard it.
func (w *Detector) deadAfterProbe(m *Machine) time.Duration {
	if m.LastHeard.IsZero() || !w.zones.ServedSince(m.Zone, m.LastHeard) {
		return w.Timing.deadAfterProbe(tuning.OrderTimeout)
	}
	return w.Timing.deadAfterProbe(tuning.ProbeTimeout)
}

// Deletion is a machine to be deleted.
type Deletion struct{ Machine, Reason string }

// Assessment is what follows from one look at a node's machines.
type Assessment struct {
	Deletions      []Deletion
	ProbeMachines  []string                            // to be asked directly
	AskPeersAbout  []string                            // to be asked for with the peers; the answer goes to Told
	ShardTransfers map[int]string                      // parts whose workers report to another node
	ZoneChanges    []zonehealth.Transition             // zones whose state changed
	ZoneReturns    map[string]zonehealth.ReturnSummary // of those that serve again, what became of their machines
}

// peerAnswer is what the peers said of a silent machine; no node: none has heard it.
type peerAnswer struct {
	receivedAt time.Time
	node       string
}

// Detector follows the silent machines of one node. The zero value with Rules is ready
// for use; callers guard it.
type Detector struct {
	Timing          Timing
	recentDeletions []time.Time
	peerAnswers     map[string]peerAnswer
	peersAskedAt    time.Time
	zones           zonehealth.Tracker
	zoneEvacuations map[string]*zoneEvacuation
	zoneRosters     map[string]zonehealth.Roster // of zones that were cut off and do not serve again yet
}

// zoneEvacuation is how far the machines of a zone that is cut off, whose services move, are given up.
type zoneEvacuation struct{ total, deleted int }

// Zones are the states of the zones as of the last judgement.
func (w *Detector) Zones() *zonehealth.Tracker { return &w.zones }

// ZoneUnavailable tells whether a zone is cut off from this node, or lost, as of the last judgement.
func (w *Detector) ZoneUnavailable(name string) bool { return w.zones.Unavailable(name) }

// ZoneUnstable tells whether a zone is cut off, or was so lately that its workers may be on
// their way back.
func (w *Detector) ZoneUnstable(name string) bool {
	return w.zones.Unavailable(name) || w.zones.State(name) == zonehealth.Returning
}

// UnavailableZones gives the zones that are cut off or lost.
func (w *Detector) UnavailableZones() []string { return w.zones.UnavailableZones() }

// RecordPeerAnswers takes in which node has heard which of the machines that were asked for.
func (w *Detector) RecordPeerAnswers(now time.Time, asked []string, heard map[string]string) {
	for _, n := range asked {
		w.peerAnswers[n] = peerAnswer{now, heard[n]}
	}
}

// updateZones counts, by zone, the machines that should be heard and those that are, and takes the
// zones' states from it. Machines that this node took over a moment ago could not be heard
// yet and say nothing.
func (w *Detector) updateZones(now time.Time, list []Machine) (whole zonehealth.HeartbeatCount, changed []zonehealth.Transition) {
	heard := map[string]zonehealth.HeartbeatCount{}
	for i := range list {
		m := &list[i]
		if !m.Up || m.LastHeard.IsZero() && now.Sub(m.OwnedSince) < scaleDuration(tuning.CutOwned, w.Timing.HeartbeatInterval) {
			continue
		}
		t := heard[m.Zone]
		t.Expected++
		whole.Expected++
		if now.Sub(m.LastHeard) < w.Timing.HeartbeatInterval {
			t.Received++
			whole.Received++
		}
		t.ControllerInZone = m.ControllerInZone
		heard[m.Zone] = t
	}
	w.zones.Timing = zonehealth.Timing{LeaseDuration: w.Timing.LeaseDuration, ReconnectTime: w.Timing.deadAfter() + tuning.FindNode}
	return whole, w.zones.Observe(now, heard)
}

// updateRosters keeps who stood in a zone when it was cut off, and tells them apart when it serves again.
func (w *Detector) updateRosters(changed []zonehealth.Transition, list []Machine) map[string]zonehealth.ReturnSummary {
	out := map[string]zonehealth.ReturnSummary{}
	for _, c := range changed {
		_, kept := w.zoneRosters[c.Zone]
		if c.To != zonehealth.Serving && (c.To != zonehealth.Cut || kept) {
			continue
		}
		now := zonehealth.Roster{}
		for i := range list {
			if m := &list[i]; m.Zone == c.Zone && m.Up {
				now[m.Name] = m.Session
			}
		}
		if c.To == zonehealth.Cut {
			w.zoneRosters[c.Zone] = now
		} else if kept {
			out[c.Zone] = w.zoneRosters[c.Zone].CompareAfterReturn(now)
			delete(w.zoneRosters, c.Zone)
		}
	}
	return out
}

// Assess looks at all machines of a node. holds tells what one that is to be given up holds.
func (w *Detector) Assess(now time.Time, list []Machine, holds func(*Machine) []evacuation.Task) Assessment {
	var j Assessment
	if w.peerAnswers == nil {
		w.peerAnswers, w.zoneEvacuations, w.zoneRosters = map[string]peerAnswer{}, map[string]*zoneEvacuation{}, map[string]zonehealth.Roster{}
	}
	whole, changed := w.updateZones(now, list)
	j.ZoneChanges, j.ZoneReturns = changed, w.updateRosters(changed, list)
	var silent []*Machine
	for i := range list {
		m := &list[i]
		age := now.Sub(w.silentSince(m))
		switch {
		case !m.Up && m.LastHeard.IsZero():
			// Whether it comes up at all is not a matter of silence.
		case age > w.Timing.probeAfter() && m.CancellationOverdue:
			// No cap and no vote can keep a cancelled task beyond its time.
			j.Deletions = append(j.Deletions, Deletion{m.Name, "silent with a cancelled task"})
		case age > w.Timing.deadAfter() || m.CommandUnanswered && age > w.deadAfterProbe(m):
			silent = append(silent, m)
		case age > w.Timing.probeAfter():
			j.ProbeMachines = append(j.ProbeMachines, m.Name)
		}
	}
	w.consultPeers(now, &j, list, silent)
	w.recentDeletions = slices.DeleteFunc(w.recentDeletions, func(t time.Time) bool { return now.Sub(t) > tuning.DeadWindow })
	up := 0
	for i := range list {
		if list[i].Up {
			up++
		}
	}
	// Most machines silent at once means that we are cut off, not they; unless a zone
	// that is heard tells that it is the others that are cut.
	if len(silent)*2 > up && up > 2 && !w.otherZonesHeard(whole) {
		return j
	}
	due, steps := w.deletionOrder(now, silent, holds)
	for i, m := range due {
		if !w.allowDeletion(m, up, now) {
			continue
		}
		j.Deletions = append(j.Deletions, Deletion{m.Name, w.deletionReason(now, m) + ", " + steps[i].Reason()})
	}
	return j
}

// allowDeletion tells whether a machine may be given up now, and counts it if so. A service that
// starts elsewhere out of a zone that is cut off is certain to gain: these go one after the
// other over the time that their leases leave, so that they don't all start again at
// once, and not at all if the zone is heard before. All others are capped, where it is in
// doubt whether machines die or their links go by a smaller share.
func (w *Detector) allowDeletion(m *Machine, up int, now time.Time) bool {
	if m.ServiceMovable && w.ZoneUnavailable(m.Zone) {
		l := w.zoneEvacuations[m.Zone]
		if l.deleted >= l.allowance(now.Sub(w.silentSince(m)), w.Timing.LeaseDuration) {
			return false
		}
		l.deleted++
		return true
	}
	share := tuning.DeadCap
	if w.zones.State(m.Zone) == zonehealth.Serving {
		share = tuning.DeadCapServing
	}
	if len(w.recentDeletions) >= max(2, int(share*float64(up))) {
		return false
	}
	w.recentDeletions = append(w.recentDeletions, now)
	return true
}

// allowance is how many may have been given up once their zone has been silent for so long.
func (l *zoneEvacuation) allowance(age, lease time.Duration) int {
	from := scaleDuration(tuning.CutServices, lease)
	return int(math.Ceil(float64(l.total) * min(1, float64(age-from)/float64(lease-from))))
}

func (w *Detector) deletionReason(now time.Time, m *Machine) string {
	why := fmt.Sprintf("silent for %v", now.Sub(w.silentSince(m)).Round(time.Second))
	if w.ZoneUnavailable(m.Zone) {
		why += " in a zone that is cut off"
	}
	return why
}

// otherZonesHeard tells whether, beside the zones that are cut, others are heard well.
func (w *Detector) otherZonesHeard(whole zonehealth.HeartbeatCount) bool {
	return len(w.UnavailableZones()) > 0 && whole.Expected >= tuning.CutMachines && float64(whole.Received) >= tuning.CutElsewhere*float64(whole.Expected)
}

// deletionOrder gives the silent machines that are due to be given up, in the order of the plan
// of their evacuation, with its steps. Only what no other node hears either is dead. In a
// zone that is cut off a machine runs its tasks until its lease ends, which a controller in
// the zone renews: until then it is left alone. After it, what it held must start again; an
// empty one is waited for as long as one with a controller.
func (w *Detector) deletionOrder(now time.Time, silent []*Machine, holds func(*Machine) []evacuation.Task) ([]*Machine, []evacuation.Step) {
	var lost []evacuation.Machine
	byName := map[string]*Machine{}
	moving := map[string]int{}
	for _, m := range silent {
		if v, ok := w.peerAnswers[m.Name]; !ok || v.node != "" {
			continue
		}
		if w.ZoneUnavailable(m.Zone) {
			age, lease := now.Sub(w.silentSince(m)), w.Timing.LeaseDuration
			switch {
			case m.ControllerInZone || m.BoundTasks == 0:
				if age < tuning.CutInside {
					continue
				}
			case m.ServiceMovable:
				if age < scaleDuration(tuning.CutServices, lease) {
					continue
				}
			case age < lease:
				continue
			}
			if m.ServiceMovable {
				moving[m.Zone]++
			}
		}
		byName[m.Name] = m
		lost = append(lost, evacuation.Machine{Name: m.Name, Tasks: holds(m)})
	}
	for name, n := range moving {
		if l := w.zoneEvacuations[name]; l == nil {
			w.zoneEvacuations[name] = &zoneEvacuation{total: n}
		} else {
			l.total = max(l.total, l.deleted+n)
		}
	}
	maps.DeleteFunc(w.zoneEvacuations, func(name string, _ *zoneEvacuation) bool { return !w.ZoneUnavailable(name) })
	steps := evacuation.Plan(lost)
	due := make([]*Machine, len(steps))
	for i, s := range steps {
		due[i] = byName[s.Machine]
	}
	return due, steps
}

// consultPeers decides whether the peers are asked now; their answers count for a while. Where
// most of a part's machines report to one other node, the part goes there.
func (w *Detector) consultPeers(now time.Time, j *Assessment, list []Machine, silent []*Machine) {
	names := make(map[string]bool, len(silent)+len(j.ProbeMachines))
	for _, m := range silent {
		names[m.Name] = true
	}
	for _, n := range j.ProbeMachines {
		names[n] = true // so that their word is here by the time it is needed
	}
	maps.DeleteFunc(w.peerAnswers, func(n string, v peerAnswer) bool { return !names[n] || now.Sub(v.receivedAt) > 2*tuning.AskEvery })
	if len(names) > 0 && now.Sub(w.peersAskedAt) >= tuning.AskEvery {
		w.peersAskedAt = now
		j.AskPeersAbout = slices.Sorted(maps.Keys(names))
	}
	machines, heard := map[int]int{}, map[int]map[string]int{}
	for i := range list {
		m := &list[i]
		if m.Up {
			machines[m.Shard]++
		}
		if v, ok := w.peerAnswers[m.Name]; ok && v.node != "" {
			if heard[m.Shard] == nil {
				heard[m.Shard] = map[string]int{}
			}
			heard[m.Shard][v.node]++
		}
	}
	for p, nodes := range heard {
		for node, n := range nodes {
			if 2*n > machines[p] {
				if j.ShardTransfers == nil {
					j.ShardTransfers = map[int]string{}
				}
				j.ShardTransfers[p] = node
			}
		}
	}
}
