package record

import (
	"fmt"
	"testing"
)

// TestShardsAreBalanced: names that count up must not crowd into one shard.
func TestShardsAreBalanced(t *testing.T) {
	counts := make([]int, 3)
	for i := range 300 {
		counts[ShardOf(fmt.Sprintf("vm-%03d", i), len(counts))]++
	}
	for shard, count := range counts {
		if count < 70 || count > 130 {
			t.Errorf("shard %d has %d of 300", shard, count)
		}
	}
}
