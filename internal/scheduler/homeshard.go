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

// placementPace is what spaces placements out over time and over nodes.
type placementPace struct {
	ownerWaits     ownerWaits
	lastArrayStart time.Time // when arrays were last placed
}

// ownerWait is since when a job waits, with so many tasks, for the owner of its home shard.
type ownerWait struct {
	since    time.Time
	lastSeen time.Time
	pending  int
}

// ownerWaits are the jobs that wait though another shard's machines have capacity for them, by id.
type ownerWaits map[string]ownerWait

// note notes that a job waits and gives since when it does, with no task placed and without a break.
func (w ownerWaits) note(now time.Time, job *clusterstate.Job) time.Time {
	id, pending := job.Spec.ID, job.PendingCount()
	waiting, ok := w[id]
	if !ok || waiting.pending != pending || now.Sub(waiting.lastSeen) > tuning.HomeShardHold {
		waiting = ownerWait{since: now, pending: pending}
	}
	waiting.lastSeen = now
	w[id] = waiting
	return waiting.since
}

// prune drops the jobs that are over.
func (w ownerWaits) prune(isOver func(job string) bool) {
	maps.DeleteFunc(w, func(job string, _ ownerWait) bool { return isOver(job) })
}

// homeShard is the shard whose owner places a job: where its tasks already are, else the first in an
// order of its own that has capacity for all of them. All nodes find the same without messages; where
// their views differ, the conditions on the records decide. anywhere tells whether there is capacity for
// a task of it in any shard.
func (c *cycle) homeShard(queued *queuedJob) (home int, anywhere bool) {
	first := c.firstLiveShard(queued.job)
	underShortage := c.isArrayUnderShortage(queued)
	home = c.shardOfMostTasks(queued, underShortage)
	switch {
	case underShortage:
		// Its shard has capacity again before long, as all shards have a little at any time. In one shard
		// all of its tasks have one writer: spread over five, their ends would fail each other's conditions
		// and take a transaction for each.
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

// shardOfMostTasks is the shard with most of a job's tasks of those that can take more of them, and
// while capacity is short of those whose owner lives; unknownShard if there is none.
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

// isArrayUnderShortage reports whether a job is an array of a priority whose waiting arrays can't all meet their
// objectives.
func (c *cycle) isArrayUnderShortage(queued *queuedJob) bool {
	return c.order.objectives.capacityShort[queued.rank] && queued.job.Spec.Kind == wire.KindArray
}

// firstLiveShard is the first shard in a job's own order whose owner lives.
func (c *cycle) firstLiveShard(job *clusterstate.Job) int {
	hashed := record.ShardOf(job.Spec.ID, c.cluster.ShardCount)
	for offset := range c.cluster.ShardCount {
		if shard := (hashed + offset) % c.cluster.ShardCount; c.shards.live[shard] {
			return shard
		}
	}
	return hashed
}

// homeOwnerTimedOut reports whether the owner of a job's home shard has had time to place it and it is this
// node's turn to do so instead. The shards take turns: at once, all but one would fail for the
// condition on the record.
func (c *cycle) homeOwnerTimedOut(queued *queuedJob) bool {
	since := c.pace.ownerWaits.note(c.now, queued.job)
	turn := int(c.now.UnixMilli()/tuning.HomeShardHold.Milliseconds()) + c.firstLiveShard(queued.job)
	hold := tuning.HomeShardHold
	if c.isArrayUnderShortage(queued) {
		hold = tuning.HomeShardHoldUnderShortage
	}
	return c.shards.owns(turn%c.cluster.ShardCount) && c.now.Sub(since) > hold
}
