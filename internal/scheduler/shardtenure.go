package scheduler

import "time"

// shardTenure maps each shard that this node owns to the time since which it has owned it. Missing heartbeats prove
// nothing about a machine until its agent has had time to find the shard's new owner.
type shardTenure map[int]time.Time

// begin records that a shard is owned from now on, and reports whether it was not owned before.
func (t shardTenure) begin(shard int, now time.Time) (isNew bool) {
	if _, known := t[shard]; known {
		return false
	}
	t[shard] = now
	return true
}

// end records that a shard is no longer owned.
func (t shardTenure) end(shard int) { delete(t, shard) }

// since returns the time since which a shard has been owned, or the zero time if it is not owned.
func (t shardTenure) since(shard int) time.Time { return t[shard] }
