package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// pruneState forgets what is kept of jobs that are over.
func (c *cycle) pruneState() {
	maps.DeleteFunc(c.rejectedUntil, func(_ string, until time.Time) bool { return c.now.After(until) })
	isOver := func(id string) bool { return c.cluster.Jobs[id] == nil }
	c.learning.prune(c.cluster.Jobs)
	maps.DeleteFunc(c.jobBackoffs, func(id string, _ jobBackoff) bool { return isOver(id) })
	c.ownerWaits.prune(c.cluster.Jobs)
	c.demand.prune(c.cluster.Jobs)
	maps.DeleteFunc(c.lastLoggedReason, func(id string, _ time.Time) bool { return isOver(id) })
	maps.DeleteFunc(c.gangFormingSince, func(id string, _ time.Time) bool { return isOver(id) })
	maps.DeleteFunc(c.tombstones, func(_ string, at time.Time) bool { return c.now.Sub(at) > tuning.BuriedFor })
	maps.DeleteFunc(c.reservations, func(_ string, reservation reservation) bool { return c.now.After(reservation.expiresAt) })
}
