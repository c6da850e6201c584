package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/tuning"
)

// TestTokenIsRaisedOncePerInterval checks that the token of a shard may be raised at once and then once per
// tuning.FenceMinInterval, independently of other shards.
func TestTokenIsRaisedOncePerInterval(t *testing.T) {
	limiter := fenceLimiter{}
	for _, step := range []struct {
		shard   int
		at      time.Duration
		allowed bool
	}{
		{1, 0, true}, {1, 1, false}, {2, 1, true},
		{1, tuning.FenceMinInterval, false}, {1, tuning.FenceMinInterval + 1, true}, {1,
			tuning.FenceMinInterval + 2, false},
	} {
		if allowed := limiter.allow(step.shard, testNow.Add(step.at)); allowed != step.allowed {
			t.Errorf("shard %d after %v: allowed %v, want %v", step.shard, step.at, allowed, step.allowed)
		}
	}
}
