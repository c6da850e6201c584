package zonehealth

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Tracker tracks the states of all zones of a deployment. A Tracker with Timing set is ready for
// use. It is not safe for concurrent use.
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
	// WaitingFor describes what the new state waits for. It is empty for Serving.
	WaitingFor string
}

// Observe applies the heartbeat counts of the zones at the time now and returns the transitions,
// ordered by zone. A known zone without a count is treated as one with no expected machines: a
// suspected zone serves again, and one that is partitioned becomes lost, then returning, and then serves
// again.
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

// history returns a zone's history. It returns a new, empty one for an unknown zone.
func (t *Tracker) history(zone string) *history {
	if h := t.histories[zone]; h != nil {
		return h
	}
	return &history{}
}

// State returns a zone's state. It returns Serving for an unknown zone.
func (t *Tracker) State(zone string) State { return t.history(zone).state }

// Unavailable reports whether a zone is partitioned or lost. No tasks are placed and no machines are
// rented in such a zone.
func (t *Tracker) Unavailable(zone string) bool {
	state := t.State(zone)
	return state == Partitioned || state == Lost
}

// UnavailableZones returns the zones that are partitioned or lost, sorted.
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

// ServedSince reports whether a zone has been serving without interruption since before a time.
func (t *Tracker) ServedSince(zone string, since time.Time) bool {
	h := t.history(zone)
	return h.state == Serving && h.stateSince.Before(since)
}

// Trusted reports whether work that must not be interrupted again soon may be placed in a zone. It
// is false for a zone that is unavailable, and for one that is returning and has returned before
// without being forgiven. A zone on its first return is trusted, since its tasks may still run and
// its capacity is needed.
func (t *Tracker) Trusted(zone string) bool {
	h := t.history(zone)
	returnsRepeatedly := h.state == Returning && h.unforgivenReturns > 1
	return !t.Unavailable(zone) && !returnsRepeatedly
}

// ReturningSince returns when heartbeats began to arrive again from a returning zone, and the zero
// time for a zone in another state. The failure detector measures the silence of the zone's machines
// from that time at the earliest, as they reconnect one by one.
func (t *Tracker) ReturningSince(zone string) time.Time {
	if h := t.history(zone); h.state == Returning {
		return h.stateSince
	}
	return time.Time{}
}

// WaitingFor describes what a zone that is not serving waits for, and how long at most if that is
// bounded. It returns "" for a serving zone.
func (t *Tracker) WaitingFor(now time.Time, zone string) string {
	h := t.history(zone)
	switch h.state {
	case Suspected:
		return "heartbeats from half of its machines, or from fewer than a quarter"
	case Partitioned:
		return "heartbeats; its machines are deleted as their leases expire"
	case Lost:
		return "heartbeats, or the deletion of all its machines"
	case Returning:
		left := max(h.stateSince.Add(h.probation(&t.Timing)).Sub(now), 0)
		return fmt.Sprintf("the end of its probation in %v", left.Round(time.Second))
	default:
		return ""
	}
}
