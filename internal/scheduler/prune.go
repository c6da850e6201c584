package scheduler

// pruneState drops the state of jobs that have ended, and state that has expired.
func (c *cycle) pruneState() {
	jobs := c.cluster.Jobs
	hasEnded := func(id string) bool { return jobs[id] == nil }
	c.learning.prune(hasEnded)
	c.pace.ownerWaits.prune(hasEnded)
	c.demand.prune(jobs)
	c.backoffs.prune(hasEnded)
	c.waitLog.prune(hasEnded)
	c.narrowings.prune(c.now, hasEnded)
	c.reportFullChunks()
	c.gangFormation.prune(hasEnded)
	c.changes.pruneRejected(c.now)
	c.deletedMachines.pruneTombstones(c.now)
	c.reservations.prune(c.now)
}
