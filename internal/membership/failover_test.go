package membership

import (
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestShardHasOneOwner: of all nodes that could take over a shard at once, one
// does, on condition that its record has not changed, and with a raised token.
func TestShardHasOneOwner(t *testing.T) {
	const shard, earlierIncarnation = 0, 9
	cluster := newTestCluster(3)
	for _, member := range cluster.members {
		cluster.openSession(member, 5)
	}
	home := cluster.members[0]
	cluster.own(shard, home, earlierIncarnation, 4, 3)
	takeovers := 0
	for _, member := range cluster.members {
		for _, change := range member.planOwnership().changes {
			if change.shard != shard {
				continue
			}
			takeovers++
			if member != home {
				t.Errorf("%s takes a shard whose home is back at once", member.NodeName)
			}
			unchanged := wire.Condition{Key: record.ShardKey(shard), ModRevision: 3}
			if change.record.FencingToken != 5 || change.transaction.Conditions[0] != unchanged {
				t.Errorf("record %+v with conditions %v", change.record, change.transaction.Conditions)
			}
		}
	}
	if takeovers != 1 {
		t.Errorf("%d takeovers", takeovers)
	}
}
