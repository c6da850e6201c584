package scheduler

import (
	"testing"
	"time"
)

// TestTenureCountsFromTheLatestTakeover checks that a shard's tenure counts from its takeover until its end, and
// starts again with the next takeover.
func TestTenureCountsFromTheLatestTakeover(t *testing.T) {
	tenure := shardTenure{}
	if !tenure.begin(2, testNow) || tenure.begin(2, testNow.Add(time.Second)) {
		t.Error("begin must report true for the first call only")
	}
	if since := tenure.since(2); !since.Equal(testNow) {
		t.Errorf("owned since %v, want %v", since, testNow)
	}
	if tenure.end(2); !tenure.since(2).IsZero() || !tenure.since(1).IsZero() {
		t.Errorf("shards owned by another node: %v", tenure)
	}
	if later := testNow.Add(time.Minute); !tenure.begin(2, later) || !tenure.since(2).Equal(later) {
		t.Errorf("owned again since %v, want %v", tenure.since(2), later)
	}
}
