package record

import (
	"fmt"
	"testing"
)

// TestShardsAreBalanced checks that consecutively numbered machine names are distributed evenly over the shards.
func TestShardsAreBalanced(t *testing.T) {
	counts := make([]int, 3)
	for i := range 300 {
		counts[ShardOf(fmt.Sprintf("vm-%03d", i), len(counts))]++
	}
	for shard, count := range counts {
		if count < 70 || count > 130 {
			t.Errorf("shard %d has %d of 300 machines", shard, count)
		}
	}
}
