package zonehealth

import (
	"time"

	"sableusher/internal/tuning"
)

// Timing holds the durations of a deployment that the transitions depend on.
type Timing struct {
	// LeaseDuration is how long an agent keeps its tasks running without contact to a controller.
	LeaseDuration time.Duration
	// ReconnectTime is how long the agents of a returning zone need to connect to a controller.
	ReconnectTime time.Duration
}

// history is the state of one zone and the part of its past that decides its next transitions.
type history struct {
	state             State
	stateSince        time.Time
	unforgivenReturns int       // returns that still lengthen the probation
	servingSince      time.Time // moved forward by tuning.ProbationForgiveAfter per forgiven return
}

// advance makes the zone's next transition, if one is due. The package comment lists the
// transitions.
func (h *history) advance(now time.Time, count HeartbeatCount, timing *Timing) {
	switch h.state {
	case Serving, Suspected, Returning:
		h.advanceConnected(now, count, timing)
	case Partitioned, Lost:
		h.advanceDisconnected(now, count, timing)
	}
	if h.state == Serving {
		h.forgive(now)
	}
}

// advanceConnected makes the transitions of a zone that is neither partitioned nor lost.
func (h *history) advanceConnected(now time.Time, count HeartbeatCount, timing *Timing) {
	isSuspected := count.isBelow(tuning.ZoneSuspectedReportingShare)
	switch {
	case count.isBelow(tuning.PartitionReportingShare):
		h.enter(Partitioned, now)
	case h.state == Returning:
		if !isSuspected && now.Sub(h.stateSince) >= h.probation(timing) {
			h.servingSince = now
			h.enter(Serving, now)
		}
	case h.state == Serving && isSuspected:
		h.enter(Suspected, now)
	case h.state == Suspected && !isSuspected:
		h.enter(Serving, now)
	}
}

// advanceDisconnected makes the transitions of a zone that is partitioned or lost. A lost zone returns
// also when all its machines have been deleted, so that new machines can be rented there.
func (h *history) advanceDisconnected(now time.Time, count HeartbeatCount, timing *Timing) {
	isEmptied := h.state == Lost && count.Expected == 0
	switch {
	case count.hasRecovered() || isEmptied:
		h.unforgivenReturns = min(h.unforgivenReturns+1, tuning.ProbationMaxReturns)
		h.enter(Returning, now)
	case h.state == Partitioned && now.Sub(h.stateSince) >= gracePeriod(count, timing):
		h.enter(Lost, now)
	}
}

// forgive removes one return from the count if the zone has served for long enough.
func (h *history) forgive(now time.Time) {
	if h.unforgivenReturns > 0 && now.Sub(h.servingSince) >= tuning.ProbationForgiveAfter {
		h.unforgivenReturns--
		h.servingSince = h.servingSince.Add(tuning.ProbationForgiveAfter)
	}
}

func (h *history) enter(state State, now time.Time) {
	h.state, h.stateSince = state, now
}

// probation returns how long a zone stays in the state Returning before it serves: the time that its
// agents need to reconnect, doubled for each earlier return that is not forgiven.
func (h *history) probation(timing *Timing) time.Duration {
	return timing.ReconnectTime << max(h.unforgivenReturns-1, 0)
}

// gracePeriod returns how long a zone may be partitioned before it is lost. Without a controller in the
// zone, which would renew the leases, its tasks keep running for the duration of one lease.
func gracePeriod(count HeartbeatCount, timing *Timing) time.Duration {
	if count.ControllerInZone {
		return tuning.PartitionedZoneControllerGrace
	}
	return timing.LeaseDuration
}
