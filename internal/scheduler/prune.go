package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// pruneState drops what is kept of jobs that are over, and what has expired.
func (c *cycle) pruneState() {
	jobs := c.cluster.Jobs
	isOver := func(id string) bool { return jobs[id] == nil }
	c.learning.prune(jobs)
	c.ownerWaits.prune(jobs)
	c.demand.prune(jobs)
	maps.DeleteFunc(c.jobBackoffs, func(id string, _ jobBackoff) bool { return isOver(id) })
	maps.DeleteFunc(c.lastLoggedReason, func(id string, _ time.Time) bool { return isOver(id) })
	maps.DeleteFunc(c.gangFormingSince, func(id string, _ time.Time) bool { return isOver(id) })
	c.changes.pruneRejected(c.now)
	maps.DeleteFunc(c.tombstones, func(_ string, at time.Time) bool { return c.now.Sub(at) > tuning.BuriedFor })
	c.reservations.prune(c.now)
}
