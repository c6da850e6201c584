package scheduler

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// homeShard is the part that a job is dealt to: where its tasks already are, else
// the first in an order of its own that has room for all of them. All nodes
// find the same without a word; where views differ, the records' guards decide. any
// tells whether there is room for a task of it anywhere.
func (c *cycle) homeShard(queued *queuedJob) (home int, anywhere bool) {
	inventory, best, first := c.inventory, -1, c.firstLiveShard(queued.job)
	underShortage := c.isArrayUnderShortage(queued)
	for shard, bound := range queued.job.BoundByShard {
		if bound > 0 && (best < 0 || bound > queued.job.BoundByShard[best]) && (underShortage && c.liveShards[shard] || inventory.ShardFits(&queued.Request, shard)) {
			best = shard
		}
	}
	if underShortage {
		// Its part has room again before long, as all parts have a little at any time. In one
		// part all of its tasks have one writer: spread over five, their ends would fail
		// each other's guards and take a change for each.
		if best < 0 {
			best = first
		}
		_, _, anywhere := inventory.FindShard(&queued.Request, false, best)
		return best, anywhere
	}
	if best >= 0 {
		return best, true
	}
	if shard, ok, _ := inventory.FindShard(&queued.Request, true, first); ok {
		return shard, true
	}
	shard, _, anywhere := inventory.FindShard(&queued.Request, false, first)
	return shard, anywhere
}

// isArrayUnderShortage tells whether a job is an array of a priority whose waiting arrays can't all be in time.
func (c *cycle) isArrayUnderShortage(queued *queuedJob) bool {
	return c.objectives.capacityShort[queued.rank] && queued.job.Spec.Kind == wire.KindArray
}

// firstLiveShard is the first part in a job's own order whose owner lives.
func (c *cycle) firstLiveShard(job *clusterstate.Job) int {
	home := clusterstate.ShardOf(job.Spec.ID, c.cluster.ShardCount)
	for i := range c.cluster.ShardCount {
		if shard := (home + i) % c.cluster.ShardCount; c.liveShards[shard] {
			return shard
		}
	}
	return home
}

// ownerWait is since when a job waits, with so many tasks, for another part's owner.
type ownerWait struct {
	since    time.Time
	lastSeen time.Time
	pending  int
}

// homeOwnerTimedOut tells whether the owner of the part that a job was dealt to has had
// time to take it: if it does not, whoever has room may.
func (c *cycle) homeOwnerTimedOut(queued *queuedJob) bool {
	id, pending := queued.job.Spec.ID, queued.job.PendingCount()
	waiting, ok := c.ownerWaits[id]
	if !ok || waiting.pending != pending || c.now.Sub(waiting.lastSeen) > tuning.DealHold {
		waiting = ownerWait{since: c.now, pending: pending} // it moved on, or there was no room in between
	}
	waiting.lastSeen = c.now
	c.ownerWaits[id] = waiting
	// The parts take turns: at once, all but one would fail for the record's guard.
	turn := int(c.now.UnixMilli()/tuning.DealHold.Milliseconds()) + c.firstLiveShard(queued.job)
	_, owned := c.fencingTokens[turn%c.cluster.ShardCount]
	hold := tuning.DealHold
	if c.isArrayUnderShortage(queued) {
		hold = tuning.DealHoldShort
	}
	return owned && c.now.Sub(waiting.since) > hold
}
