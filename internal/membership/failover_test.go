package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// earlierIncarnation is that of a process that has ended.
const earlierIncarnation = 9

// changeOf is what a member plans for a shard.
func changeOf(m *Member, shard int) (ownershipChange, bool) {
	for _, change := range m.planOwnership().changes {
		if change.shard == shard {
			return change, true
		}
	}
	return ownershipChange{}, false
}

// TestShardHasOneOwner: of all nodes that could take over a shard at once, one
// does, on condition that its record has not changed, and with a raised token.
func TestShardHasOneOwner(t *testing.T) {
	const shard = 0
	cluster := newTestCluster(3)
	for _, member := range cluster.members {
		cluster.openSession(member, 5)
	}
	home := cluster.members[shard]
	cluster.own(shard, home, earlierIncarnation, 4, 3)
	takeovers := 0
	for _, member := range cluster.members {
		change, ok := changeOf(member, shard)
		if !ok {
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
	if takeovers != 1 {
		t.Errorf("%d takeovers", takeovers)
	}
}

// TestOrphanedShardIsTakenOverInTurn: a shard whose owner is gone goes to a node
// without shards first, later to one that has some, on condition that the
// owner's session is still gone; never to its owner of now, whose session only
// lapsed.
func TestOrphanedShardIsTakenOverInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const orphaned = 2
		cluster := newTestCluster(3)
		idle, busy, gone := cluster.members[0], cluster.members[1], cluster.members[2]
		cluster.openSession(idle, 5)
		cluster.openSession(busy, 6)
		cluster.own(orphaned, gone, testIncarnation, 4, 3)
		for shard := record.LeaderShard; shard < orphaned; shard++ {
			cluster.own(shard, busy, testIncarnation, 4, 3)
		}
		if _, ok := changeOf(busy, orphaned); ok {
			t.Error("a node that owns three shards takes over another one at once")
		}
		change, ok := changeOf(idle, orphaned)
		if !ok {
			t.Fatal("a node without shards doesn't take over at once")
		}
		absent := wire.Condition{Key: record.NodeKey(gone.NodeName)}
		if got := change.transaction.Conditions[len(change.transaction.Conditions)-1]; got != absent {
			t.Errorf("takeover on condition %v, want %v", got, absent)
		}
		time.Sleep(3*tuning.FailoverStagger - time.Millisecond)
		if _, ok := changeOf(busy, orphaned); ok {
			t.Error("a node that owns three shards takes over another one early")
		}
		time.Sleep(time.Millisecond)
		if _, ok := changeOf(busy, orphaned); !ok {
			t.Error("a node that owns three shards doesn't take over after its delay")
		}
		if _, ok := changeOf(gone, orphaned); ok {
			t.Error("a node without a session takes over a shard")
		}
		cluster.openSession(gone, 7)
		if _, ok := changeOf(gone, orphaned); ok {
			t.Error("a node takes over its own shard")
		}
	})
}

// TestHomeNodeTakesOverFirst: while a shard's home node lives as another process
// than the owner, the others leave the shard to it for a while.
func TestHomeNodeTakesOverFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shard = 2
		cluster := newTestCluster(3)
		other, home := cluster.members[0], cluster.members[shard]
		cluster.openSession(other, 5)
		cluster.openSession(home, 6)
		cluster.own(shard, home, earlierIncarnation, 4, 3)
		for owned := record.LeaderShard; owned < shard; owned++ {
			cluster.own(owned, other, testIncarnation, 4, 3)
		}
		if _, ok := changeOf(other, shard); ok {
			t.Error("another node takes the shard at once")
		}
		if _, ok := changeOf(home, shard); !ok {
			t.Error("the home node doesn't take the shard at once")
		}
		time.Sleep(3*tuning.FailoverStagger + tuning.HomeNodeGrace - time.Millisecond)
		if _, ok := changeOf(other, shard); ok {
			t.Error("another node takes the shard within the grace period")
		}
		time.Sleep(time.Millisecond)
		if _, ok := changeOf(other, shard); !ok {
			t.Error("another node doesn't take the shard after the grace period")
		}
	})
}
