// Package zonehealth follows the life of each zone as one node sees it: whether its machines are
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
package zonehealth

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

// HeartbeatCount is what was heard of a zone's machines, of those that this node answers for and that
// had the time to report.
type HeartbeatCount struct {
	Expected         int  // machines that should be heard
	Received         int  // those that were, within one report interval
	ControllerInZone bool // a controller stands in the zone, and renews leases while it is cut off
}

// recovered tells whether machines of a zone that was out are heard again.
func (c HeartbeatCount) recovered() bool {
	return c.Received > 0 && float64(c.Received) >= tuning.CutHeard*float64(c.Expected)
}

// below tells whether fewer than a share of the machines were heard; too few machines tell nothing.
func (c HeartbeatCount) below(share float64) bool {
	return c.Expected >= tuning.CutMachines && float64(c.Received) < share*float64(c.Expected)
}

// Roster is who stood in a zone: its machines, with their workers' sessions.
type Roster map[string]uint64

// ReturnSummary tells the machines of a zone that returned apart.
type ReturnSummary struct {
	Continued int // went on: same session, their tasks live
	Restarted int // lost their tasks, by lease or power: a newer session
	Deleted   int // given up meanwhile, here or by the cloud
	Added     int // not there before
}

// CompareAfterReturn compares those who stood in a zone when it was cut off with those who stand there now.
func (before Roster) CompareAfterReturn(now Roster) ReturnSummary {
	summary := ReturnSummary{Added: len(now)}
	for name, session := range before {
		s, there := now[name]
		switch {
		case !there:
			summary.Deleted++
			continue
		case s > session:
			summary.Restarted++
		default:
			summary.Continued++
		}
		summary.Added--
	}
	return summary
}

// Timing are the deployment's times.
type Timing struct {
	LeaseDuration time.Duration // that an answer to a report renews
	// ReconnectTime is how long the workers of a zone that is heard again need to find a node.
	ReconnectTime time.Duration
}

// history is where one zone stands.
type history struct {
	state             State
	stateSince        time.Time // of the state
	unforgivenReturns int       // returns that are not forgiven yet
	servingSince      time.Time // since when it serves, less what was forgiven
}

// Tracker follows all zones of a deployment. The zero value with Rules is ready for use;
// callers guard it.
type Tracker struct {
	Timing    Timing
	histories map[string]*history
}

// Transition is a zone's passage from one state to another.
type Transition struct {
	Zone              string
	From, To          State
	TimeInFormerState time.Duration // in the former state
	WaitingFor        string        // what the new state waits for; empty where it waits for nothing
}

// Observe takes in what was heard of the zones and gives what changed, in the order of their
// names. A zone of which nothing is told stays as it is but for time: one whose machines
// are all gone is lost in the end, and serves again when machines there are heard.
func (t *Tracker) Observe(now time.Time, counts map[string]HeartbeatCount) []Transition {
	if t.histories == nil {
		t.histories = map[string]*history{}
	}
	for name := range counts {
		if t.histories[name] == nil {
			t.histories[name] = &history{stateSince: now, servingSince: now}
		}
	}
	var out []Transition
	for _, name := range slices.Sorted(maps.Keys(t.histories)) {
		h := t.histories[name]
		from, since := h.state, h.stateSince
		h.advance(now, counts[name], &t.Timing)
		if h.state != from {
			out = append(out, Transition{Zone: name, From: from, To: h.state, TimeInFormerState: now.Sub(since), WaitingFor: t.WaitingFor(now, name)})
		}
	}
	return out
}

func (h *history) enter(s State, now time.Time) { h.state, h.stateSince = s, now }

// advance is the machine's one transition.
func (h *history) advance(now time.Time, count HeartbeatCount, timing *Timing) {
	unreachable := count.below(tuning.CutHeard)
	doubtful := count.below(tuning.DoubtHeard)
	switch h.state {
	case Serving, Doubted, Returning:
		switch {
		case unreachable:
			h.enter(Cut, now)
		case h.state == Returning:
			if !doubtful && now.Sub(h.stateSince) >= h.probationPeriod(timing) {
				h.servingSince = now
				h.enter(Serving, now)
			}
		case doubtful != (h.state == Doubted):
			if doubtful {
				h.enter(Doubted, now)
			} else {
				h.enter(Serving, now)
			}
		}
	case Cut, Lost:
		switch {
		case count.recovered(), count.Expected == 0 && h.state == Lost:
			// Heard again; or every machine of it has been given up, and what is rented there
			// next is told of anew.
			h.unforgivenReturns = min(h.unforgivenReturns+1, tuning.ProbationReturns)
			h.enter(Returning, now)
		case h.state == Cut && now.Sub(h.stateSince) >= gracePeriod(count, timing):
			h.enter(Lost, now)
		}
	}
	if h.state == Serving && h.unforgivenReturns > 0 && now.Sub(h.servingSince) >= tuning.ProbationForgive {
		h.unforgivenReturns, h.servingSince = h.unforgivenReturns-1, h.servingSince.Add(tuning.ProbationForgive)
	}
}

// gracePeriod is how long the machines of a zone that is cut off are left alone: while their tasks
// run on. Without a controller inside that is a lease.
func gracePeriod(count HeartbeatCount, timing *Timing) time.Duration {
	if count.ControllerInZone {
		return tuning.CutInside
	}
	return timing.LeaseDuration
}

// probationPeriod is how long a zone that returned is watched: once the time in which its workers
// find back, twice as long for each earlier return.
func (h *history) probationPeriod(timing *Timing) time.Duration {
	return timing.ReconnectTime << max(h.unforgivenReturns-1, 0)
}

func (t *Tracker) history(name string) *history {
	if h := t.histories[name]; h != nil {
		return h
	}
	return &history{}
}

// State gives a zone's state; one that was never told of serves.
func (t *Tracker) State(name string) State { return t.history(name).state }

// Unavailable tells whether a zone is cut off or lost: nothing is placed or rented there.
func (t *Tracker) Unavailable(name string) bool {
	s := t.State(name)
	return s == Cut || s == Lost
}

// ServedSince tells whether a zone has served without a doubt since a time.
func (t *Tracker) ServedSince(name string, at time.Time) bool {
	h := t.history(name)
	return h.state == Serving && h.stateSince.Before(at)
}

// UnavailableZones gives the zones that are out, by name.
func (t *Tracker) UnavailableZones() []string {
	var out []string
	for name := range t.histories {
		if t.Unavailable(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Trusted tells whether what must not be lost again soon may be placed in a zone: it may not
// in one that is out, and not in one that has returned more than once lately. A zone's
// first return is trusted, since what it holds lives and its room is needed.
func (t *Tracker) Trusted(name string) bool {
	h := t.history(name)
	return !t.Unavailable(name) && !(h.state == Returning && h.unforgivenReturns > 1)
}

// ReturningSince is when a zone was last heard again, zero if never or if it is out: its machines'
// silence counts from then on, as they find back one by one.
func (t *Tracker) ReturningSince(name string) time.Time {
	if h := t.history(name); h.state == Returning {
		return h.stateSince
	}
	return time.Time{}
}

// WaitingFor says what a zone that does not serve waits for, and until when at the latest.
func (t *Tracker) WaitingFor(now time.Time, name string) string {
	h := t.history(name)
	switch h.state {
	case Doubted:
		return "half of its machines to be heard, or fewer than a quarter"
	case Cut:
		return "its machines to be heard; given up with their leases"
	case Lost:
		return "its machines to be heard, or all of them to be returned to the cloud"
	case Returning:
		left := max(h.stateSince.Add(h.probationPeriod(&t.Timing)).Sub(now), 0)
		return fmt.Sprintf("its probation to be over in %v", left.Round(time.Second))
	}
	return ""
}
