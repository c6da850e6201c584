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

// queueOrder is the state, kept between cycles, that determines the order of the waiting jobs.
type queueOrder struct {
	guarantees guarantees
	objectives objectives
	waiting    waitingJobs
}

// waitingJobs keeps the waiting jobs in scheduling order between cycles.
type waitingJobs struct {
	queue *jobqueue.Queue[*clusterstate.Job]
	// validUntil holds, by job ID, when a job's key changes if nothing but time passes.
	validUntil map[string]time.Time
	// lastFullReorder is when the keys of all jobs were last computed.
	lastFullReorder time.Time
	// buffer is the list of the previous cycle. Its memory is reused.
	buffer []queuedJob
}

func newWaitingJobs() waitingJobs {
	return waitingJobs{queue: jobqueue.New[*clusterstate.Job](), validUntil: map[string]time.Time{}}
}

// remove removes a job from the queue.
func (w *waitingJobs) remove(id string) {
	w.queue.Delete(id)
	delete(w.validUntil, id)
}

// put inserts a job with its key or moves it. The key is valid until validUntil if nothing but time passes.
func (w *waitingJobs) put(key jobqueue.Key, job *clusterstate.Job, validUntil time.Time) {
	w.validUntil[key.JobID] = validUntil
	w.queue.Put(key, job)
}

// queuedJob is a waiting job in one scheduling cycle. Its request counts the tasks that are still to be placed.
type queuedJob struct {
	binpack.Request
	job             *clusterstate.Job
	rank            int
	withinGuarantee bool // the job lies within its team's guarantee
	nearDeadline    bool // its deadline can still be met, but little slack is left
	key             jobqueue.Key
	value           float64 // learned value; set only for the first jobs of the queue
	homeShard       int     // the shard whose owner usually binds its tasks; unknownShard before it is chosen
	deferred        bool    // no task of the job is bound in this cycle, unless the job is a gang

	zones *binpack.ZoneConstraint // see zonesLeft; nil before it is computed
}

// unknownShard is the home shard of a job for which none has been chosen yet.
const unknownShard = -1

// buildQueue returns the waiting jobs that are not in backoff, in scheduling order. The order is kept between cycles.
// In each cycle a job's position is computed again if the job has changed or if its key has become outdated with time
// or with its team's guarantee. Every tuning.QueueReorderInterval all positions are computed again, because run time
// estimates change too.
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

// findReorderedJobs updates guarantees and objectives, and adds the waiting jobs whose key has become outdated to
// changed. Every tuning.QueueReorderInterval it adds all waiting jobs.
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

// keyOutdated reports whether a waiting job's key is no longer valid.
func (c *cycle) keyOutdated(key jobqueue.Key, job *clusterstate.Job) bool {
	return key.WithinGuarantee != c.order.guarantees.jobs[key.JobID] ||
		key.Underserved != c.inUnderservedSlot(job) ||
		key.MissesObjectives != c.missesObjectives(job) ||
		key.SizeClass != c.sizeClass(job) ||
		c.now.After(c.order.waiting.validUntil[key.JobID])
}

// updateQueueEntry inserts a job into the queue, moves it to its current position or removes it.
func (c *cycle) updateQueueEntry(id string) {
	job := c.cluster.Jobs[id]
	if job == nil || !job.CanStart() || !c.cellMayStart(job) || job.PendingCount() == 0 {
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
		ReadySinceMs:     job.ReadySinceMs(),
		JobID:            id,
	}, job, deadline.validUntil)
}

// newQueuedJob returns a waiting job as an entry of this cycle's queue.
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

// startObjectiveS returns the time in seconds within which a replica should start according to its class's objectives,
// or 0 if there is none.
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
