package scheduler

import (
	"time"

	"sableusher/internal/tuning"
)

// fenceLimiter limits how often the fencing token of a shard is raised on account of starts in doubt. It holds when
// each shard's token was last raised.
type fenceLimiter map[int]time.Time

// allow reports whether a shard's token may be raised now, and notes it as raised if so.
func (l fenceLimiter) allow(shard int, now time.Time) bool {
	if now.Sub(l[shard]) <= tuning.FenceMinInterval {
		return false
	}
	l[shard] = now
	return true
}
