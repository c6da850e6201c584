// Package zone follows the life of each zone as one node sees it: whether its machines are
// heard, for how long they were not, and how it comes back.
//
// The package is one pure machine: what was heard and the time go in, states come out. It has
// no clock, no network and no records. A state is a view of one node and a hint (safety
// invariant 15): it decides where work goes, in which order and at which pace, never
// whether a task has ended. What leaves a machine does so by the proofs of invariant 4.
//
//	state      from        when
//	serving    (first)     until something is wrong
//	doubted    serving     fewer than half of the machines that should be heard were within
//	                       one report interval, but more than a quarter
//	cut        any         hardly any was heard (a quarter): the links are gone, or the zone is
//	lost       cut         the leases of its workers must have ended, or, where a controller
//	                       inside renews them, for as long as is worth waiting for
//	returning  cut, lost   machines are heard again: until its probation is over
//	serving    doubted     at least half were heard
//	           returning   at least half were heard and the probation is over
//
// A zone that returns again and again is on probation for longer each time, up to a bound;
// it is forgiven one return for each tuning.ProbationForgive that it then serves without a break. Every state
// but serving ends by itself or names what it waits for (Waits).
package zone

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sableusher/internal/tuning"
)

// State is what a zone is to one node.
type State int

// States, in the order in which a loss goes through them.
const (
	Serving State = iota
	Doubted
	Cut
	Lost
	Returning
)

// States lists all.
var States = []State{Serving, Doubted, Cut, Lost, Returning}

// String is the state's word in logs, metrics and pages.
func (s State) String() string {
	return [...]string{"serving", "doubted", "cut", "lost", "returning"}[s]
}

// Tally is what was heard of a zone's machines, of those that this node answers for and that
// had the time to report.
type Tally struct {
	Up     int  // machines that should be heard
	Heard  int  // those that were, within one report interval
	Inside bool // a controller stands in the zone, and renews leases while it is cut off
}

// back tells whether machines of a zone that was out are heard again.
func (t Tally) back() bool { return t.Heard > 0 && float64(t.Heard) >= tuning.CutHeard*float64(t.Up) }

// below tells whether fewer than a share of the machines were heard; too few machines tell nothing.
func (t Tally) below(share float64) bool {
	return t.Up >= tuning.CutMachines && float64(t.Heard) < share*float64(t.Up)
}

// Roll is who stood in a zone: its machines, with their workers' sessions.
type Roll map[string]uint64

// Back tells the machines of a zone that returned apart.
type Back struct {
	Worked    int // went on: same session, their tasks live
	Restarted int // lost their tasks, by lease or power: a newer session
	Gone      int // given up meanwhile, here or by the cloud
	New       int // not there before
}

// Returned compares those who stood in a zone when it was cut off with those who stand there now.
func (r Roll) Returned(now Roll) Back {
	b := Back{New: len(now)}
	for name, session := range r {
		s, there := now[name]
		switch {
		case !there:
			b.Gone++
			continue
		case s > session:
			b.Restarted++
		default:
			b.Worked++
		}
		b.New--
	}
	return b
}

// Rules are the deployment's times.
type Rules struct {
	Lease time.Duration // that an answer to a report renews
	// Back is how long the workers of a zone that is heard again need to find a node.
	Back time.Duration
}

// life is where one zone stands.
type life struct {
	state   State
	since   time.Time // of the state
	returns int       // returns that are not forgiven yet
	good    time.Time // since when it serves, less what was forgiven
}

// Zones follows all zones of a deployment. The zero value with Rules is ready for use;
// callers guard it.
type Zones struct {
	Rules Rules
	lives map[string]*life
}

// Change is a zone's passage from one state to another.
type Change struct {
	Zone     string
	From, To State
	After    time.Duration // in the former state
	Waits    string        // what the new state waits for; empty where it waits for nothing
}

// Look takes in what was heard of the zones and gives what changed, in the order of their
// names. A zone of which nothing is told stays as it is but for time: one whose machines
// are all gone is lost in the end, and serves again when machines there are heard.
func (z *Zones) Look(now time.Time, heard map[string]Tally) []Change {
	if z.lives == nil {
		z.lives = map[string]*life{}
	}
	for name := range heard {
		if z.lives[name] == nil {
			z.lives[name] = &life{since: now, good: now}
		}
	}
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(z.lives)) {
		l := z.lives[name]
		from, since := l.state, l.since
		l.step(now, heard[name], &z.Rules)
		if l.state != from {
			out = append(out, Change{Zone: name, From: from, To: l.state, After: now.Sub(since), Waits: z.Waits(now, name)})
		}
	}
	return out
}

func (l *life) enter(s State, now time.Time) { l.state, l.since = s, now }

// step is the machine's one transition.
func (l *life) step(now time.Time, t Tally, r *Rules) {
	gone := t.below(tuning.CutHeard)
	half := t.below(tuning.DoubtHeard)
	switch l.state {
	case Serving, Doubted, Returning:
		switch {
		case gone:
			l.enter(Cut, now)
		case l.state == Returning:
			if !half && now.Sub(l.since) >= l.probation(r) {
				l.good = now
				l.enter(Serving, now)
			}
		case half != (l.state == Doubted):
			if half {
				l.enter(Doubted, now)
			} else {
				l.enter(Serving, now)
			}
		}
	case Cut, Lost:
		switch {
		case t.back(), t.Up == 0 && l.state == Lost:
			// Heard again; or every machine of it has been given up, and what is rented there
			// next is told of anew.
			l.returns = min(l.returns+1, tuning.ProbationReturns)
			l.enter(Returning, now)
		case l.state == Cut && now.Sub(l.since) >= spared(t, r):
			l.enter(Lost, now)
		}
	}
	if l.state == Serving && l.returns > 0 && now.Sub(l.good) >= tuning.ProbationForgive {
		l.returns, l.good = l.returns-1, l.good.Add(tuning.ProbationForgive)
	}
}

// spared is how long the machines of a zone that is cut off are left alone: while their tasks
// run on. Without a controller inside that is a lease.
func spared(t Tally, r *Rules) time.Duration {
	if t.Inside {
		return tuning.CutInside
	}
	return r.Lease
}

// probation is how long a zone that returned is watched: once the time in which its workers
// find back, twice as long for each earlier return.
func (l *life) probation(r *Rules) time.Duration {
	return r.Back << max(l.returns-1, 0)
}

func (z *Zones) life(name string) *life {
	if l := z.lives[name]; l != nil {
		return l
	}
	return &life{}
}

// State gives a zone's state; one that was never told of serves.
func (z *Zones) State(name string) State { return z.life(name).state }

// Out tells whether a zone is cut off or lost: nothing is placed or rented there.
func (z *Zones) Out(name string) bool {
	s := z.State(name)
	return s == Cut || s == Lost
}

// ServedSince tells whether a zone has served without a doubt since a time.
func (z *Zones) ServedSince(name string, at time.Time) bool {
	l := z.life(name)
	return l.state == Serving && l.since.Before(at)
}

// Outs gives the zones that are out, by name.
func (z *Zones) Outs() []string {
	var out []string
	for name := range z.lives {
		if z.Out(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Trusted tells whether what must not be lost again soon may be placed in a zone: it may not
// in one that is out, and not in one that has returned more than once lately. A zone's
// first return is trusted, since what it holds lives and its room is needed.
func (z *Zones) Trusted(name string) bool {
	l := z.life(name)
	return !z.Out(name) && !(l.state == Returning && l.returns > 1)
}

// Returned is when a zone was last heard again, zero if never or if it is out: its machines'
// silence counts from then on, as they find back one by one.
func (z *Zones) Returned(name string) time.Time {
	if l := z.life(name); l.state == Returning {
		return l.since
	}
	return time.Time{}
}

// Waits says what a zone that does not serve waits for, and until when at the latest.
func (z *Zones) Waits(now time.Time, name string) string {
	l := z.life(name)
	switch l.state {
	case Doubted:
		return "half of its machines to be heard, or fewer than a quarter"
	case Cut:
		return "its machines to be heard; given up with their leases"
	case Lost:
		return "its machines to be heard, or all of them to be returned to the cloud"
	case Returning:
		left := max(l.since.Add(l.probation(&z.Rules)).Sub(now), 0)
		return fmt.Sprintf("its probation to be over in %v", left.Round(time.Second))
	}
	return ""
}
