package zonehealth

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Tracker follows all zones of a deployment. The zero value with Timing set is ready for use; it is
// not safe for concurrent use.
type Tracker struct {
	Timing    Timing
	histories map[string]*history // by zone
}

// Transition is a zone's change from one state to another.
type Transition struct {
	Zone string
	From State
	To   State
	// TimeInFormerState is how long the zone was in the state From.
	TimeInFormerState time.Duration
	// WaitingFor says what the new state waits for; empty if it waits for nothing.
	WaitingFor string
}

// Observe takes in the heartbeats of the zones at a time and returns the transitions, ordered by
// zone. In a zone without a count only time passes: one whose machines are all deleted is lost in
// the end, and serves again when heartbeats arrive from there.
func (t *Tracker) Observe(now time.Time, counts map[string]HeartbeatCount) []Transition {
	if t.histories == nil {
		t.histories = map[string]*history{}
	}
	for zone := range counts {
		if t.histories[zone] == nil {
			t.histories[zone] = &history{stateSince: now, servingSince: now}
		}
	}
	var transitions []Transition
	for _, zone := range slices.Sorted(maps.Keys(t.histories)) {
		h := t.histories[zone]
		former, since := h.state, h.stateSince
		h.advance(now, counts[zone], &t.Timing)
		if h.state == former {
			continue
		}
		transitions = append(transitions, Transition{
			Zone:              zone,
			From:              former,
			To:                h.state,
			TimeInFormerState: now.Sub(since),
			WaitingFor:        t.WaitingFor(now, zone),
		})
	}
	return transitions
}

// history returns a zone's history; an unknown zone has the zero one.
func (t *Tracker) history(zone string) *history {
	if h := t.histories[zone]; h != nil {
		return h
	}
	return &history{}
}

// State returns a zone's state; an unknown zone is serving.
func (t *Tracker) State(zone string) State { return t.history(zone).state }

// Unavailable reports whether a zone is cut off or lost: nothing is placed or rented there.
func (t *Tracker) Unavailable(zone string) bool {
	state := t.State(zone)
	return state == Cut || state == Lost
}

// UnavailableZones returns the zones that are cut off or lost, sorted.
func (t *Tracker) UnavailableZones() []string {
	var zones []string
	for zone := range t.histories {
		if t.Unavailable(zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// ServedSince reports whether a zone has been serving without a break since before a time.
func (t *Tracker) ServedSince(zone string, since time.Time) bool {
	h := t.history(zone)
	return h.state == Serving && h.stateSince.Before(since)
}

// Trusted reports whether work that must not be lost again soon may be placed in a zone. It may not
// in one that is unavailable or has returned more than once lately; a zone's first return is
// trusted, since its tasks live on and its capacity is needed.
func (t *Tracker) Trusted(zone string) bool {
	h := t.history(zone)
	returnsRepeatedly := h.state == Returning && h.unforgivenReturns > 1
	return !t.Unavailable(zone) && !returnsRepeatedly
}

// ReturningSince returns when heartbeats began to arrive again from a returning zone, and the zero
// time for a zone in another state. The silence of its machines counts from then on, as they
// reconnect one by one.
func (t *Tracker) ReturningSince(zone string) time.Time {
	if h := t.history(zone); h.state == Returning {
		return h.stateSince
	}
	return time.Time{}
}

// WaitingFor says what a zone that is not serving waits for, and until when at the latest. It is
// empty for a serving zone.
func (t *Tracker) WaitingFor(now time.Time, zone string) string {
	h := t.history(zone)
	switch h.state {
	case Doubted:
		return "heartbeats from half of its machines, or from fewer than a quarter"
	case Cut:
		return "heartbeats; its machines are given up as their leases expire"
	case Lost:
		return "heartbeats, or the return of all its machines to the cloud"
	case Returning:
		left := max(h.stateSince.Add(h.probation(&t.Timing)).Sub(now), 0)
		return fmt.Sprintf("the end of its probation in %v", left.Round(time.Second))
	default:
		return ""
	}
}
