package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// placementPace holds the state that spreads placements over time and over nodes.
type placementPace struct {
	ownerWaits      ownerWaits
	lastUnthrottled time.Time // time of the last cycle without bindingsThrottled
}

// ownerWait describes a job's wait for the owner of its home shard to place its tasks.
type ownerWait struct {
	since    time.Time
	lastSeen time.Time // last cycle in which the job was still waiting
	pending  int       // number of pending tasks; the wait starts again when it changes
}

// ownerWaits holds, by job ID, the jobs that wait for another node to place them: the owner of their home shard,
// whose machines have capacity for them.
type ownerWaits map[string]ownerWait

// observe records that a job is waiting at the given time, and returns the time since which it has been waiting. The
// wait starts again when the job's number of pending tasks changes, or when the job has not been observed for more
// than tuning.HomeShardGracePeriod.
func (w ownerWaits) observe(now time.Time, job *clusterstate.Job) time.Time {
	id, pending := job.Spec.ID, job.PendingCount()
	waiting, ok := w[id]
	if !ok || waiting.pending != pending || now.Sub(waiting.lastSeen) > tuning.HomeShardGracePeriod {
		waiting = ownerWait{since: now, pending: pending}
	}
	waiting.lastSeen = now
	w[id] = waiting
	return waiting.since
}

// prune drops the entries of jobs that have ended.
func (w ownerWaits) prune(hasEnded func(job string) bool) {
	maps.DeleteFunc(w, func(job string, _ ownerWait) bool { return hasEnded(job) })
}

// homeShard returns the shard whose owner places a job. Among the shards with capacity for another task of the job, it
// is the one with most of the job's bound tasks. If no such shard has bound tasks, it is the first shard in which
// machines with the job's image have capacity for all tasks that are still to be placed, or else the first shard with
// capacity for all of them, or else the first shard whose owner is alive. For arrays under a shortage of capacity, it
// is the shard with most bound tasks or else the first shard whose owner is alive, regardless of capacity. The order of
// the shards depends on the job's ID. All nodes compute the same shard without messages; if their views differ, the
// conditions on the records decide. fitsAny reports whether any shard has capacity for at least one task of the job.
func (c *cycle) homeShard(queued *queuedJob) (home int, fitsAny bool) {
	first := c.firstLiveShard(queued.job)
	underShortage := c.isArrayUnderShortage(queued)
	home = c.shardOfMostTasks(queued, underShortage)
	switch {
	case underShortage:
		// While capacity is short, tasks end in each shard several times a second, so the home shard will soon have
		// capacity again. Keeping all tasks in one shard gives the job's record a single writer. With tasks in several
		// shards, for example five, the changes that end them fail each other's conditions and need a transaction each.
		if home == unknownShard {
			home = first
		}
		fit := c.inventory.FindShard(&queued.Request, binpack.ShardSearch{First: home})
		return home, fit.FitsAny
	case home != unknownShard:
		return home, true
	}
	withImage := c.inventory.FindShard(&queued.Request, binpack.ShardSearch{First: first, OnlyWithImage: true})
	if withImage.FitsAll {
		return withImage.Shard, true
	}
	fit := c.inventory.FindShard(&queued.Request, binpack.ShardSearch{First: first})
	return fit.Shard, fit.FitsAny
}

// shardOfMostTasks returns the shard with most of a job's bound tasks among the shards with capacity for another one.
// Under a shortage of capacity, shards whose owner is alive are considered too. It returns unknownShard if there is
// none.
func (c *cycle) shardOfMostTasks(queued *queuedJob, underShortage bool) int {
	best := unknownShard
	for shard, bound := range queued.job.BoundByShard {
		if bound == 0 || best != unknownShard && bound <= queued.job.BoundByShard[best] {
			continue
		}
		if underShortage && c.shards.live[shard] || c.inventory.ShardFits(&queued.Request, shard) {
			best = shard
		}
	}
	return best
}

// isArrayUnderShortage reports whether a job is an array at a priority at which the waiting arrays can't all meet
// their objectives.
func (c *cycle) isArrayUnderShortage(queued *queuedJob) bool {
	return c.order.objectives.capacityShort[queued.rank] && queued.job.Spec.Kind == wire.KindArray
}

// firstLiveShard returns the first shard whose owner is alive, in an order that depends on the job's ID. If no owner is
// alive, it returns the first shard in that order.
func (c *cycle) firstLiveShard(job *clusterstate.Job) int {
	hashed := record.ShardOf(job.Spec.ID, c.cluster.ShardCount)
	for offset := range c.cluster.ShardCount {
		if shard := (hashed + offset) % c.cluster.ShardCount; c.shards.live[shard] {
			return shard
		}
	}
	return hashed
}

// homeOwnerTimedOut reports whether the owner of a job's home shard has had enough time to place the job, and this
// node may place it now instead. Only the owner of one shard may do so at a time, and the shard changes every
// tuning.HomeShardGracePeriod: if several nodes tried at once, all but one would fail the condition on the record.
func (c *cycle) homeOwnerTimedOut(queued *queuedJob) bool {
	since := c.pace.ownerWaits.observe(c.now, queued.job)
	rotation := int(c.now.UnixMilli()/tuning.HomeShardGracePeriod.Milliseconds()) + c.firstLiveShard(queued.job)
	gracePeriod := tuning.HomeShardGracePeriod
	if c.isArrayUnderShortage(queued) {
		gracePeriod = tuning.HomeShardGracePeriodUnderShortage
	}
	return c.shards.owns(rotation%c.cluster.ShardCount) && c.now.Sub(since) > gracePeriod
}
