package zonehealth

import (
	"time"

	"sableusher/internal/tuning"
)

// Timing holds the times of a deployment that the states depend on.
type Timing struct {
	// LeaseDuration is how long the tasks of a machine without contact run on.
	LeaseDuration time.Duration
	// ReconnectTime is how long the agents of a zone that returns need to find a controller.
	ReconnectTime time.Duration
}

// history is the state of one zone and what of its past decides the next one.
type history struct {
	state             State
	stateSince        time.Time
	unforgivenReturns int
	servingSince      time.Time // moved forward by each return that was forgiven
}

// advance makes the zone's next transition, if any; the package comment has the table.
func (h *history) advance(now time.Time, count HeartbeatCount, timing *Timing) {
	switch h.state {
	case Serving, Doubted, Returning:
		h.advanceConnected(now, count, timing)
	case Cut, Lost:
		h.advanceDisconnected(now, count, timing)
	}
	if h.state == Serving {
		h.forgive(now)
	}
}

// advanceConnected makes the transitions of a zone from which heartbeats arrive.
func (h *history) advanceConnected(now time.Time, count HeartbeatCount, timing *Timing) {
	isDoubtful := count.isBelow(tuning.ZoneSuspectedHeardShare)
	switch {
	case count.isBelow(tuning.PartitionHeardShare):
		h.enter(Cut, now)
	case h.state == Returning:
		if !isDoubtful && now.Sub(h.stateSince) >= h.probation(timing) {
			h.servingSince = now
			h.enter(Serving, now)
		}
	case h.state == Serving && isDoubtful:
		h.enter(Doubted, now)
	case h.state == Doubted && !isDoubtful:
		h.enter(Serving, now)
	}
}

// advanceDisconnected makes the transitions of a zone that is cut off or lost. A lost zone of which
// every machine has been given up returns as well: what is rented there next is observed afresh.
func (h *history) advanceDisconnected(now time.Time, count HeartbeatCount, timing *Timing) {
	isEmptied := h.state == Lost && count.Expected == 0
	switch {
	case count.hasRecovered() || isEmptied:
		h.unforgivenReturns = min(h.unforgivenReturns+1, tuning.ZoneProbationMaxDoublings)
		h.enter(Returning, now)
	case h.state == Cut && now.Sub(h.stateSince) >= gracePeriod(count, timing):
		h.enter(Lost, now)
	}
}

// forgive takes one return back once the zone has served for long enough.
func (h *history) forgive(now time.Time) {
	if h.unforgivenReturns > 0 && now.Sub(h.servingSince) >= tuning.ZoneProbationForgiveAfter {
		h.unforgivenReturns--
		h.servingSince = h.servingSince.Add(tuning.ZoneProbationForgiveAfter)
	}
}

func (h *history) enter(state State, now time.Time) {
	h.state, h.stateSince = state, now
}

// probation is how long a zone must return before it serves: the time in which its agents
// reconnect, doubled for each earlier return that is not forgiven.
func (h *history) probation(timing *Timing) time.Duration {
	return timing.ReconnectTime << max(h.unforgivenReturns-1, 0)
}

// gracePeriod is how long a zone may be cut off before it is lost: while its tasks run on. Without
// a controller in the zone that is one lease.
func gracePeriod(count HeartbeatCount, timing *Timing) time.Duration {
	if count.ControllerInZone {
		return tuning.PartitionedZoneControllerGrace
	}
	return timing.LeaseDuration
}
