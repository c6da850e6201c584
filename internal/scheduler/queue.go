package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/jobqueue"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// queuedJob is a job in the order of placement.
type queuedJob struct {
	binpack.Request
	job             *clusterstate.Job
	rank            int
	withinGuarantee bool // within its team's guarantee
	nearDeadline    bool // its deadline can still be met, but not for long
	key             jobqueue.Key
	value           float64
	homeShard       int  // the part it is dealt to
	deferred        bool // nothing of it is bound in this round
}

// buildQueue gives the jobs that wait, in the order of placement. The line is kept: jobs of
// which something changed are put where they belong, those that time or their team's
// guarantee moves when it does, and all of them now and then, as estimates move too.
func (c *cycle) buildQueue(hasCapacity bool) []queuedJob {
	changed := c.changeFeed.TakeJobs()
	if c.now.Sub(c.guarantees.updatedAt) >= tuning.AssuredEvery && (c.waitingJobs.Len() > 0 || len(changed) > 0) {
		if c.now.Sub(c.objectives.assessedAt) >= tuning.InTimeEvery {
			c.assessObjectives()
		}
		c.updateGuarantees()
		rebuild := c.now.Sub(c.lastFullReorder) >= tuning.TurnEvery
		if rebuild {
			c.lastFullReorder = c.now
		}
		c.waitingJobs.Each(func(key jobqueue.Key, job *clusterstate.Job) bool {
			if rebuild || key.WithinGuarantee != c.guarantees.jobs[key.JobID] || key.Underserved != c.hasUnderservedTurn(job) || key.MissesObjectives != c.missesObjectives(job) || key.SizeClass != c.sizeClass(job) || c.now.After(c.nextReorder[key.JobID]) {
				changed[key.JobID] = struct{}{}
			}
			return true
		})
	}
	for id := range changed {
		c.updateQueueEntry(id)
	}
	queue := c.queueBuffer[:0]
	c.waitingJobs.Each(func(key jobqueue.Key, job *clusterstate.Job) bool {
		if backoff, ok := c.jobBackoffs[key.JobID]; !ok || !c.now.Before(backoff.until) {
			queue = append(queue, queuedJob{Request: binpack.Request{Spec: &job.Spec, Need: clusterstate.TaskResources(&job.Spec), StartWithinS: c.startObjectiveS(&job.Spec)}, job: job, withinGuarantee: key.WithinGuarantee, rank: key.PriorityRank, nearDeadline: key.NearDeadline, key: key, homeShard: -1})
		}
		return true
	})
	c.queueBuffer = queue
	c.orderByValue(queue, hasCapacity)
	return queue
}

// updateQueueEntry puts a job in line, where it belongs now, or takes it out.
func (c *cycle) updateQueueEntry(id string) {
	job := c.cluster.Jobs[id]
	if job == nil || !job.CanStart() || !c.holdsStartRight(job) || job.PendingCount() == 0 {
		c.waitingJobs.Delete(id)
		delete(c.nextReorder, id)
		return
	}
	deadline, nearDeadline, validUntil := c.effectiveDeadline(job)
	c.nextReorder[id] = validUntil
	c.waitingJobs.Put(jobqueue.Key{PriorityRank: c.effectiveRank(job), WithinGuarantee: c.guarantees.jobs[id], Underserved: c.hasUnderservedTurn(job), MissesObjectives: c.missesObjectives(job), SizeClass: c.sizeClass(job), NearDeadline: nearDeadline, DeadlineNs: deadline.UnixNano(), EligibleSinceMs: job.ReadySinceMs(), JobID: id}, job)
}

// startObjectiveS is the time in seconds in which a replica should start by its class's aims; 0: none says.
func (c *cycle) startObjectiveS(spec *wire.JobSpec) float64 {
	within := 0.0
	if spec.Kind != wire.KindService {
		return within // asked for each waiting job in each round
	}
	for _, objective := range c.settings.Deployment.Objectives {
		if objective.Class == spec.Class && objective.Kind == "wait" && (within == 0 || objective.WithinS < within) {
			within = objective.WithinS
		}
	}
	return within
}
