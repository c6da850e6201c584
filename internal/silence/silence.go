// Package silence decides which machines that are not heard from are given up. A
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
package silence

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/evacuate"
	"sableusher/internal/tuning"
	"sableusher/internal/zone"
)

// Rules are the deployment's times.
type Rules struct {
	Report time.Duration // between a worker's reports
	Lease  time.Duration // that an answer to a report renews
}

// probeAfter is the silence after which a machine is asked directly, deadAfter the
// one after which it is given up if it could not be asked, askedAfter if it could.
func (r Rules) probeAfter() time.Duration { return times(tuning.ProbeAfter, r.Report) }
func (r Rules) deadAfter() time.Duration  { return times(tuning.DeadAfter, r.Report) }
func (r Rules) askedAfter(asking time.Duration) time.Duration {
	return min(r.deadAfter(), r.probeAfter()+asking+tuning.SweepEvery)
}

func times(n float64, d time.Duration) time.Duration { return time.Duration(n * float64(d)) }

// Machine is what a node knows of a machine of its parts.
type Machine struct {
	Name string
	Zone string
	Part int
	Up   bool
	// Session is its worker's, as last heard.
	Session uint64
	// Heard is when it was last heard, zero if never; Owned since when this node
	// could have heard it.
	Heard, Owned time.Time
	Unanswered   bool // a direct question since then got no answer
	Late         bool // holds a task whose cancellation is overdue
	Bound        int  // tasks
	// Inside: a controller stands in its zone, and renews leases while that is cut off.
	Inside bool
	// Moves: a service on it is not bound to its zone and could start elsewhere.
	Moves bool
}

// since is from when on a machine's silence counts. After a cut its zone's workers find
// back to us one by one: the first of them must not make the others look dead.
func (w *Watch) since(m *Machine) time.Time {
	at := m.Owned
	for _, t := range []time.Time{m.Heard, w.zones.Returned(m.Zone)} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// askedAfter is the silence after which a machine that did not answer is given up. Where its
// zone was in doubt since it was last heard, links may have been gone for a moment, and it has
// somewhat longer to find back: so it has with a new owner who never heard it.
func (w *Watch) askedAfter(m *Machine) time.Duration {
	if m.Heard.IsZero() || !w.zones.ServedSince(m.Zone, m.Heard) {
		return w.Rules.askedAfter(tuning.OrderTimeout)
	}
	return w.Rules.askedAfter(tuning.ProbeTimeout)
}

// Victim is a machine to be deleted.
type Victim struct{ Name, Why string }

// Judgement is what follows from one look at a node's machines.
type Judgement struct {
	Delete []Victim
	Probe  []string             // to be asked directly
	Ask    []string             // to be asked for with the peers; the answer goes to Told
	Give   map[int]string       // parts whose workers report to another node
	Zones  []zone.Change        // zones whose state changed
	Back   map[string]zone.Back // of those that serve again, what became of their machines
}

// word is what the peers said of a silent machine; no node: none has heard it.
type word struct {
	at   time.Time
	node string
}

// Watch follows the silent machines of one node. The zero value with Rules is ready
// for use; callers guard it.
type Watch struct {
	Rules  Rules
	deaths []time.Time
	words  map[string]word
	asked  time.Time
	zones  zone.Zones
	leaves map[string]*leave
	rolls  map[string]zone.Roll // of zones that were cut off and do not serve again yet
}

// leave is how far the machines of a zone that is cut off, whose services move, are given up.
type leave struct{ all, gone int }

// Zones are the states of the zones as of the last judgement.
func (w *Watch) Zones() *zone.Zones { return &w.zones }

// Cut tells whether a zone is cut off from this node, or lost, as of the last judgement.
func (w *Watch) Cut(name string) bool { return w.zones.Out(name) }

// Troubled tells whether a zone is cut off, or was so lately that its workers may be on
// their way back.
func (w *Watch) Troubled(name string) bool {
	return w.zones.Out(name) || w.zones.State(name) == zone.Returning
}

// Cuts gives the zones that are cut off or lost.
func (w *Watch) Cuts() []string { return w.zones.Outs() }

// Told takes in which node has heard which of the machines that were asked for.
func (w *Watch) Told(now time.Time, asked []string, heard map[string]string) {
	for _, n := range asked {
		w.words[n] = word{now, heard[n]}
	}
}

// look counts, by zone, the machines that should be heard and those that are, and takes the
// zones' states from it. Machines that this node took over a moment ago could not be heard
// yet and say nothing.
func (w *Watch) look(now time.Time, list []Machine) (whole zone.Tally, changed []zone.Change) {
	heard := map[string]zone.Tally{}
	for i := range list {
		m := &list[i]
		if !m.Up || m.Heard.IsZero() && now.Sub(m.Owned) < times(tuning.CutOwned, w.Rules.Report) {
			continue
		}
		t := heard[m.Zone]
		t.Up++
		whole.Up++
		if now.Sub(m.Heard) < w.Rules.Report {
			t.Heard++
			whole.Heard++
		}
		t.Inside = m.Inside
		heard[m.Zone] = t
	}
	w.zones.Rules = zone.Rules{Lease: w.Rules.Lease, Back: w.Rules.deadAfter() + tuning.FindNode}
	return whole, w.zones.Look(now, heard)
}

// back keeps who stood in a zone when it was cut off, and tells them apart when it serves again.
func (w *Watch) back(changed []zone.Change, list []Machine) map[string]zone.Back {
	out := map[string]zone.Back{}
	for _, c := range changed {
		_, kept := w.rolls[c.Zone]
		if c.To != zone.Serving && (c.To != zone.Cut || kept) {
			continue
		}
		now := zone.Roll{}
		for i := range list {
			if m := &list[i]; m.Zone == c.Zone && m.Up {
				now[m.Name] = m.Session
			}
		}
		if c.To == zone.Cut {
			w.rolls[c.Zone] = now
		} else if kept {
			out[c.Zone] = w.rolls[c.Zone].Returned(now)
			delete(w.rolls, c.Zone)
		}
	}
	return out
}

// Judge looks at all machines of a node. holds tells what one that is to be given up holds.
func (w *Watch) Judge(now time.Time, list []Machine, holds func(*Machine) []evacuate.Task) Judgement {
	var j Judgement
	if w.words == nil {
		w.words, w.leaves, w.rolls = map[string]word{}, map[string]*leave{}, map[string]zone.Roll{}
	}
	whole, changed := w.look(now, list)
	j.Zones, j.Back = changed, w.back(changed, list)
	var silent []*Machine
	for i := range list {
		m := &list[i]
		age := now.Sub(w.since(m))
		switch {
		case !m.Up && m.Heard.IsZero():
			// Whether it comes up at all is not a matter of silence.
		case age > w.Rules.probeAfter() && m.Late:
			// No cap and no vote can keep a cancelled task beyond its time.
			j.Delete = append(j.Delete, Victim{m.Name, "silent with a cancelled task"})
		case age > w.Rules.deadAfter() || m.Unanswered && age > w.askedAfter(m):
			silent = append(silent, m)
		case age > w.Rules.probeAfter():
			j.Probe = append(j.Probe, m.Name)
		}
	}
	w.ask(now, &j, list, silent)
	w.deaths = slices.DeleteFunc(w.deaths, func(t time.Time) bool { return now.Sub(t) > tuning.DeadWindow })
	up := 0
	for i := range list {
		if list[i].Up {
			up++
		}
	}
	// Most machines silent at once means that we are cut off, not they; unless a zone
	// that is heard tells that it is the others that are cut.
	if len(silent)*2 > up && up > 2 && !w.hears(whole) {
		return j
	}
	due, steps := w.order(now, silent, holds)
	for i, m := range due {
		if !w.pays(m, up, now) {
			continue
		}
		j.Delete = append(j.Delete, Victim{m.Name, w.why(now, m) + ", " + steps[i].Why()})
	}
	return j
}

// pays tells whether a machine may be given up now, and counts it if so. A service that
// starts elsewhere out of a zone that is cut off is certain to gain: these go one after the
// other over the time that their leases leave, so that they don't all start again at
// once, and not at all if the zone is heard before. All others are capped, where it is in
// doubt whether machines die or their links go by a smaller share.
func (w *Watch) pays(m *Machine, up int, now time.Time) bool {
	if m.Moves && w.Cut(m.Zone) {
		l := w.leaves[m.Zone]
		if l.gone >= l.most(now.Sub(w.since(m)), w.Rules.Lease) {
			return false
		}
		l.gone++
		return true
	}
	share := tuning.DeadCap
	if w.zones.State(m.Zone) == zone.Serving {
		share = tuning.DeadCapServing
	}
	if len(w.deaths) >= max(2, int(share*float64(up))) {
		return false
	}
	w.deaths = append(w.deaths, now)
	return true
}

// most is how many may have been given up once their zone has been silent for so long.
func (l *leave) most(age, lease time.Duration) int {
	from := times(tuning.CutServices, lease)
	return int(math.Ceil(float64(l.all) * min(1, float64(age-from)/float64(lease-from))))
}

func (w *Watch) why(now time.Time, m *Machine) string {
	why := fmt.Sprintf("silent for %v", now.Sub(w.since(m)).Round(time.Second))
	if w.Cut(m.Zone) {
		why += " in a zone that is cut off"
	}
	return why
}

// hears tells whether, beside the zones that are cut, others are heard well.
func (w *Watch) hears(whole zone.Tally) bool {
	return len(w.Cuts()) > 0 && whole.Up >= tuning.CutMachines && float64(whole.Heard) >= tuning.CutElsewhere*float64(whole.Up)
}

// order gives the silent machines that are due to be given up, in the order of the plan
// of their evacuation, with its steps. Only what no other node hears either is dead. In a
// zone that is cut off a machine runs its tasks until its lease ends, which a controller in
// the zone renews: until then it is left alone. After it, what it held must start again; an
// empty one is waited for as long as one with a controller.
func (w *Watch) order(now time.Time, silent []*Machine, holds func(*Machine) []evacuate.Task) ([]*Machine, []evacuate.Step) {
	var lost []evacuate.Machine
	byName := map[string]*Machine{}
	moving := map[string]int{}
	for _, m := range silent {
		if v, ok := w.words[m.Name]; !ok || v.node != "" {
			continue
		}
		if w.Cut(m.Zone) {
			age, lease := now.Sub(w.since(m)), w.Rules.Lease
			switch {
			case m.Inside || m.Bound == 0:
				if age < tuning.CutInside {
					continue
				}
			case m.Moves:
				if age < times(tuning.CutServices, lease) {
					continue
				}
			case age < lease:
				continue
			}
			if m.Moves {
				moving[m.Zone]++
			}
		}
		byName[m.Name] = m
		lost = append(lost, evacuate.Machine{Name: m.Name, Tasks: holds(m)})
	}
	for name, n := range moving {
		if l := w.leaves[name]; l == nil {
			w.leaves[name] = &leave{all: n}
		} else {
			l.all = max(l.all, l.gone+n)
		}
	}
	maps.DeleteFunc(w.leaves, func(name string, _ *leave) bool { return !w.Cut(name) })
	steps := evacuate.Plan(lost)
	due := make([]*Machine, len(steps))
	for i, s := range steps {
		due[i] = byName[s.Machine]
	}
	return due, steps
}

// ask decides whether the peers are asked now; their answers count for a while. Where
// most of a part's machines report to one other node, the part goes there.
func (w *Watch) ask(now time.Time, j *Judgement, list []Machine, silent []*Machine) {
	names := make(map[string]bool, len(silent)+len(j.Probe))
	for _, m := range silent {
		names[m.Name] = true
	}
	for _, n := range j.Probe {
		names[n] = true // so that their word is here by the time it is needed
	}
	maps.DeleteFunc(w.words, func(n string, v word) bool { return !names[n] || now.Sub(v.at) > 2*tuning.AskEvery })
	if len(names) > 0 && now.Sub(w.asked) >= tuning.AskEvery {
		w.asked = now
		j.Ask = slices.Sorted(maps.Keys(names))
	}
	machines, heard := map[int]int{}, map[int]map[string]int{}
	for i := range list {
		m := &list[i]
		if m.Up {
			machines[m.Part]++
		}
		if v, ok := w.words[m.Name]; ok && v.node != "" {
			if heard[m.Part] == nil {
				heard[m.Part] = map[string]int{}
			}
			heard[m.Part][v.node]++
		}
	}
	for p, nodes := range heard {
		for node, n := range nodes {
			if 2*n > machines[p] {
				if j.Give == nil {
					j.Give = map[int]string{}
				}
				j.Give[p] = node
			}
		}
	}
}
