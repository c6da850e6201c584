package scheduler

import "time"

// shardTenure holds since when this node owns each of its shards. What a new owner has not heard yet proves nothing
// before its machines have had time to find it.
type shardTenure map[int]time.Time

// begin notes that a shard is owned, and reports whether it was not before.
func (t shardTenure) begin(shard int, now time.Time) (isNew bool) {
	if _, known := t[shard]; known {
		return false
	}
	t[shard] = now
	return true
}

// end notes that a shard is owned no longer.
func (t shardTenure) end(shard int) { delete(t, shard) }

// since returns since when a shard is owned, the zero time if it is not.
func (t shardTenure) since(shard int) time.Time { return t[shard] }
