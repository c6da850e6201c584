package membership

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestFencingTokensIndicateConfirmedCancellations checks that fencing tokens only
// increase, and that they are at least tuning.ConfirmedCancelTokenBase if and only
// if cancellations are confirmed at the schema version, because a process without
// cluster state renews leases based on that. It also checks that an owner of a
// shard with a lower token raises that token.
func TestFencingTokensIndicateConfirmedCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token, version := rapid.Uint64Range(0, 1000).Draw(t, "token"), 0
		for range 20 {
			version = max(version, rapid.IntRange(0, tuning.SchemaVersion).Draw(t, "version"))
			next := nextFencingToken(token, version)
			if next <= token || (next >= tuning.ConfirmedCancelTokenBase) != (version >=
				tuning.SchemaVersionConfirmedCancel) {
				t.Fatalf("token %d follows %d at schema version %d", next, token, version)
			}
			token = next
		}
	})
	const lowTokenShard = 2
	cluster := newTestCluster(3)
	member := cluster.members[1]
	cluster.openSession(member, 5)
	for shard := record.LeaderShard; shard < 3; shard++ {
		cluster.own(shard, member, testIncarnation, tuning.ConfirmedCancelTokenBase+4, 3)
	}
	cluster.own(lowTokenShard, member, testIncarnation, 4, 3)
	cluster.own(record.LeaderShard, member, testIncarnation, 4, 3)
	for version, want := range map[int]int{0: record.LeaderShard, tuning.SchemaVersionConfirmedCancel: lowTokenShard} {
		cluster.state.SchemaVersion = version
		if got := member.planOwnership().shardToRaise; got != want {
			t.Errorf("schema version %d: the token of shard %d is raised, want shard %d", version, got, want)
		}
	}
}
