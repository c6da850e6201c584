package membership

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestBudgetSharesStayWithinTheBudget checks that for any set of live nodes and
// any distribution of shards the nodes' shares of the key-value store's budget
// add up to at most tuning.KVBudgetShare, and that a single live node that owns
// all shards has that whole share.
func TestBudgetSharesStayWithinTheBudget(t *testing.T) {
	const tolerance = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		nodeCount := rapid.IntRange(1, 7).Draw(t, "nodes")
		cluster := newTestCluster(nodeCount)
		liveCount := rapid.IntRange(1, nodeCount).Draw(t, "live")
		live := cluster.members[:liveCount]
		for _, member := range live {
			cluster.openSession(member, 0)
		}
		for shard := record.LeaderShard; shard < nodeCount; shard++ {
			owner := rapid.IntRange(-1, liveCount-1).Draw(t, "owner") // -1: no owner, unless only one node is live
			if owner >= 0 || liveCount == 1 {
				cluster.own(shard, live[max(owner, 0)], testIncarnation, 1, 0)
			}
		}
		sum := 0.0
		for _, member := range live {
			sum += member.budgetShare()
		}
		if sum > tuning.KVBudgetShare+tolerance || liveCount == 1 && sum < tuning.KVBudgetShare-tolerance {
			t.Errorf("shares add up to %v of %v with %d of %d nodes live",
				sum, tuning.KVBudgetShare, liveCount, nodeCount)
		}
	})
}
