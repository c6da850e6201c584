package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// earlierIncarnation is the incarnation of a process that has ended.
const earlierIncarnation = 9

// plannedChange returns the ownership change that a member plans for a shard.
func plannedChange(m *Member, shard int) (ownershipChange, bool) {
	for _, change := range m.planOwnership().changes {
		if change.shard == shard {
			return change, true
		}
	}
	return ownershipChange{}, false
}

// TestOneNodeTakesOverShard checks that of several live nodes only the home node
// plans to take over a shard immediately, with a raised fencing token and on
// condition that the shard's record has not changed.
func TestOneNodeTakesOverShard(t *testing.T) {
	const shard = 0
	cluster := newTestCluster(3)
	for _, member := range cluster.members {
		cluster.openSession(member, 5)
	}
	home := cluster.members[shard]
	cluster.own(shard, home, earlierIncarnation, 4, 3)
	takeovers := 0
	for _, member := range cluster.members {
		change, ok := plannedChange(member, shard)
		if !ok {
			continue
		}
		takeovers++
		if member != home {
			t.Errorf("%s immediately takes over a shard whose home node is live", member.NodeName)
		}
		unchanged := wire.Condition{Key: record.ShardKey(shard), ModRevision: 3}
		if change.record.FencingToken != 5 || change.transaction.Conditions[0] != unchanged {
			t.Errorf("planned record %+v with conditions %v", change.record, change.transaction.Conditions)
		}
	}
	if takeovers != 1 {
		t.Errorf("%d nodes take over the shard, want 1", takeovers)
	}
}

// TestOrphanedShardTakeoverIsStaggered checks that, if the owner of a shard has no
// session, a node without shards takes the shard over immediately and a node with
// shards only after its delay. The takeover is conditional on the absence of the
// owner's session. The owner itself does not take the shard over, neither
// without a session nor after it has opened one again.
func TestOrphanedShardTakeoverIsStaggered(t *testing.T) {
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
		if _, ok := plannedChange(busy, orphaned); ok {
			t.Error("a node that owns three shards takes over another one immediately")
		}
		change, ok := plannedChange(idle, orphaned)
		if !ok {
			t.Fatal("a node without shards doesn't take over immediately")
		}
		absent := wire.Condition{Key: record.NodeKey(gone.NodeName)}
		if got := change.transaction.Conditions[len(change.transaction.Conditions)-1]; got != absent {
			t.Errorf("takeover on condition %v, want %v", got, absent)
		}
		time.Sleep(3*tuning.FailoverStagger - time.Millisecond)
		if _, ok := plannedChange(busy, orphaned); ok {
			t.Error("a node that owns three shards takes over another one before its delay has elapsed")
		}
		time.Sleep(time.Millisecond)
		if _, ok := plannedChange(busy, orphaned); !ok {
			t.Error("a node that owns three shards doesn't take over after its delay has elapsed")
		}
		if _, ok := plannedChange(gone, orphaned); ok {
			t.Error("a node without a session takes over a shard")
		}
		cluster.openSession(gone, 7)
		if _, ok := plannedChange(gone, orphaned); ok {
			t.Error("a node takes over a shard that it owns")
		}
	})
}

// TestHomeNodeTakesOverFirst checks that other nodes wait for an additional grace
// period while a shard's home node is live but runs another process than the one
// that owns the shard.
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
		if _, ok := plannedChange(other, shard); ok {
			t.Error("another node takes over the shard immediately")
		}
		if _, ok := plannedChange(home, shard); !ok {
			t.Error("the home node doesn't take over the shard immediately")
		}
		time.Sleep(3*tuning.FailoverStagger + tuning.HomeNodeGrace - time.Millisecond)
		if _, ok := plannedChange(other, shard); ok {
			t.Error("another node takes over the shard within the grace period")
		}
		time.Sleep(time.Millisecond)
		if _, ok := plannedChange(other, shard); !ok {
			t.Error("another node doesn't take over the shard after the grace period")
		}
	})
}
