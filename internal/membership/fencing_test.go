package membership

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestFencingTokensMarkConfirmedCancellations: tokens only grow, and are above
// the mark once the schema version is active, never before: on it a process
// without a cluster state renews leases. An owner whose token is below it raises
// its own, one shard at a time.
func TestFencingTokensMarkConfirmedCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token, version := rapid.Uint64Range(0, 1000).Draw(t, "token"), 0
		for range 20 {
			version = max(version, rapid.IntRange(0, tuning.SchemaVersion).Draw(t, "version"))
			next := nextFencingToken(token, version)
			if next <= token || (next >= tuning.ConfirmedCancelTokenBase) != (version >=
				tuning.SchemaVersionConfirmedCancel) {
				t.Fatalf("%d after %d at version %d", next, token, version)
			}
			token = next
		}
	})
	const unmarkedShard = 2
	cluster := newTestCluster(3)
	member := cluster.members[1]
	cluster.openSession(member, 5)
	for shard := record.LeaderShard; shard < 3; shard++ {
		cluster.own(shard, member, testIncarnation, tuning.ConfirmedCancelTokenBase+4, 3)
	}
	cluster.own(unmarkedShard, member, testIncarnation, 4, 3)
	cluster.own(record.LeaderShard, member, testIncarnation, 4, 3)
	for version, want := range map[int]int{0: record.LeaderShard, tuning.SchemaVersionConfirmedCancel: unmarkedShard} {
		cluster.state.SchemaVersion = version
		if got := member.planOwnership().shardToMark; got != want {
			t.Errorf("version %d: the token of shard %d is raised, want %d", version, got, want)
		}
	}
}
