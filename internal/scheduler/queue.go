package scheduler

import (
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// queueOrder is what decides the order of the waiting jobs, with the jobs in it, from cycle to cycle.
type queueOrder struct {
	guarantees guarantees
	objectives objectives
	waiting    waitingJobs
}

// waitingJobs keeps the jobs that wait in scheduling order from cycle to cycle.
type waitingJobs struct {
	queue *jobqueue.Queue[*clusterstate.Job]
	// nextReorder is when a job's key next changes if nothing but time moves.
	nextReorder map[string]time.Time
	// lastFullReorder is when the keys of all jobs were last computed anew.
	lastFullReorder time.Time
	// buffer is the list of the previous cycle, whose memory is used again.
	buffer []queuedJob
}

func newWaitingJobs() waitingJobs {
	return waitingJobs{queue: jobqueue.New[*clusterstate.Job](), nextReorder: map[string]time.Time{}}
}

// remove takes a job out of the queue.
func (w *waitingJobs) remove(id string) {
	w.queue.Delete(id)
	delete(w.nextReorder, id)
}

// put places a job by its key, which holds until a time if nothing but time moves.
func (w *waitingJobs) put(key jobqueue.Key, job *clusterstate.Job, validUntil time.Time) {
	w.nextReorder[key.JobID] = validUntil
	w.queue.Put(key, job)
}

// queuedJob is a waiting job in a scheduling cycle; its request counts the tasks still to be placed.
type queuedJob struct {
	binpack.Request
	job             *clusterstate.Job
	rank            int
	withinGuarantee bool // within its team's guarantee
	nearDeadline    bool // its deadline can still be met, but not for long
	key             jobqueue.Key
	value           float64 // learned; orders the first of the queue
	homeShard       int     // the shard whose owner binds its tasks as a rule; unknownShard before it is chosen
	deferred        bool    // nothing of it is bound in this cycle
}

// unknownShard is the home shard of a job for which none was chosen yet.
const unknownShard = -1

// buildQueue returns the jobs that wait, in scheduling order. The order is kept between cycles: jobs of
// which something changed are moved to where they belong, those that time or their team's guarantee
// moves when it does, and all of them now and then, as estimates move too.
func (c *cycle) buildQueue(hasCapacity bool) []queuedJob {
	changed := c.changeFeed.TakeJobs()
	outdated := c.now.Sub(c.order.guarantees.updatedAt) >= tuning.GuaranteeInterval
	if outdated && (c.order.waiting.queue.Len() > 0 || len(changed) > 0) {
		c.findReorderedJobs(changed)
	}
	for id := range changed {
		c.updateQueueEntry(id)
	}
	queue := c.order.waiting.buffer[:0]
	c.order.waiting.queue.Each(func(key jobqueue.Key, job *clusterstate.Job) bool {
		if !c.backoffs.active(key.JobID, c.now) {
			queue = append(queue, c.newQueuedJob(key, job))
		}
		return true
	})
	c.order.waiting.buffer = queue
	c.orderByValue(queue, hasCapacity)
	return queue
}

// findReorderedJobs brings guarantees and objectives up to date and adds the waiting jobs that they or
// time have moved to those that changed.
func (c *cycle) findReorderedJobs(changed map[string]struct{}) {
	if c.now.Sub(c.order.objectives.assessedAt) >= tuning.ObjectiveInterval {
		c.assessObjectives()
	}
	c.updateGuarantees()
	all := c.now.Sub(c.order.waiting.lastFullReorder) >= tuning.QueueReorderInterval
	if all {
		c.order.waiting.lastFullReorder = c.now
	}
	c.order.waiting.queue.Each(func(key jobqueue.Key, job *clusterstate.Job) bool {
		if all || c.keyOutdated(key, job) {
			changed[key.JobID] = struct{}{}
		}
		return true
	})
}

// keyOutdated reports whether what a waiting job's key says no longer holds.
func (c *cycle) keyOutdated(key jobqueue.Key, job *clusterstate.Job) bool {
	return key.WithinGuarantee != c.order.guarantees.jobs[key.JobID] ||
		key.Underserved != c.inUnderservedSlot(job) ||
		key.MissesObjectives != c.missesObjectives(job) ||
		key.SizeClass != c.sizeClass(job) ||
		c.now.After(c.order.waiting.nextReorder[key.JobID])
}

// updateQueueEntry puts a job into the queue, where it belongs now, or takes it out.
func (c *cycle) updateQueueEntry(id string) {
	job := c.cluster.Jobs[id]
	if job == nil || !job.CanStart() || !c.holdsStartRight(job) || job.PendingCount() == 0 {
		c.order.waiting.remove(id)
		return
	}
	deadline := c.effectiveDeadline(job)
	c.order.waiting.put(jobqueue.Key{
		PriorityRank:     c.effectiveRank(job),
		WithinGuarantee:  c.order.guarantees.jobs[id],
		Underserved:      c.inUnderservedSlot(job),
		MissesObjectives: c.missesObjectives(job),
		SizeClass:        c.sizeClass(job),
		NearDeadline:     deadline.near,
		DeadlineNs:       deadline.at.UnixNano(),
		EligibleSinceMs:  job.ReadySinceMs(),
		JobID:            id,
	}, job, deadline.validUntil)
}

// newQueuedJob returns a waiting job as one cycle sees it.
func (c *cycle) newQueuedJob(key jobqueue.Key, job *clusterstate.Job) queuedJob {
	return queuedJob{
		Request: binpack.Request{
			Spec: &job.Spec, Need: record.TaskResources(&job.Spec), StartWithinS: c.startObjectiveS(&job.Spec),
		},
		job:             job,
		rank:            key.PriorityRank,
		withinGuarantee: key.WithinGuarantee,
		nearDeadline:    key.NearDeadline,
		key:             key,
		homeShard:       unknownShard,
	}
}

// startObjectiveS is the time in seconds within which a replica should start by its class's objectives;
// 0 if there is none. It is asked for each waiting job in each cycle.
func (c *cycle) startObjectiveS(spec *wire.JobSpec) float64 {
	if spec.Kind != wire.KindService {
		return 0
	}
	within := 0.0
	for _, objective := range c.settings.Deployment.Objectives {
		if objective.Class != spec.Class || objective.Kind != objectiveWait {
			continue
		}
		if within == 0 || objective.WithinS < within {
			within = objective.WithinS
		}
	}
	return within
}
