package scheduler

import (
	"time"

	"sableusher/internal/tuning"
)

// fenceLimiter limits how often the fencing token of each shard is raised because of unresolved starts. It maps a
// shard to the time at which its token was last raised for that.
type fenceLimiter map[int]time.Time

// allow reports whether a shard's token may be raised now, and if so records it as raised.
func (l fenceLimiter) allow(shard int, now time.Time) bool {
	if now.Sub(l[shard]) <= tuning.FenceMinInterval {
		return false
	}
	l[shard] = now
	return true
}
