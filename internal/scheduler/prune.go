package scheduler

// pruneState drops the state of jobs that have ended, and state that has expired.
func (c *cycle) pruneState() {
	jobs := c.cluster.Jobs
	isOver := func(id string) bool { return jobs[id] == nil }
	c.learning.prune(isOver)
	c.pace.ownerWaits.prune(isOver)
	c.demand.prune(jobs)
	c.backoffs.prune(isOver)
	c.waitLog.prune(isOver)
	c.gangFormation.prune(isOver)
	c.changes.pruneRejected(c.now)
	c.deletedMachines.pruneTombstones(c.now)
	c.reservations.prune(c.now)
}
