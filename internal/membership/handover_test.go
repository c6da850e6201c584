package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestShardReturnsToHomeNode checks that an owner returns a shard to its home node
// once the home node has had a session, and the owner has had the shard, for the
// required time. That time is longer if the previous owner transferred the shard
// because its agents reported to another node. A shard is not returned while it is
// being fenced.
func TestShardReturnsToHomeNode(t *testing.T) {
	for name, c := range map[string]struct {
		transferred bool
		ownedFirst  bool // the shard is owned before its home node has a session
		wait        time.Duration
	}{
		"after a failover":                  {false, true, tuning.ShardReturnDelay},
		"after a failover, home node first": {false, false, tuning.ShardReturnDelay},
		"after a transfer":                  {true, false, tuning.TransferredShardReturnDelay},
		"after a transfer and a restart":    {true, true, tuning.TransferredShardReturnDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const shard = 1
				cluster := newTestCluster(2)
				owner, home := cluster.members[0], cluster.members[shard]
				own := func() {
					cluster.own(shard, owner, testIncarnation, 4, 3)
					current := cluster.state.Shards[shard]
					current.Transferred = c.transferred
					cluster.state.Shards[shard] = current
				}
				openHomeSession := func() { cluster.openSession(home, 6) }
				cluster.openSession(owner, 5)
				first, second := openHomeSession, own
				if c.ownedFirst {
					first, second = own, openHomeSession
				}
				first()
				owner.planOwnership()
				time.Sleep(time.Second)
				second()
				checkShardReturn(t, owner, home, shard, c.wait)
			})
		})
	}
}

// checkShardReturn checks that an owner returns a shard to its home node after wait,
// not earlier and not while it fences the shard.
func checkShardReturn(t *testing.T, owner, home *Member, shard int, wait time.Duration) {
	owner.planOwnership() // wait starts when the owner observes the state
	time.Sleep(wait - time.Millisecond)
	if _, ok := plannedChange(owner, shard); ok {
		t.Error("shard returned before the required time")
	}
	time.Sleep(time.Millisecond)
	owner.fences.begin(shard)
	if _, ok := plannedChange(owner, shard); ok {
		t.Error("shard returned while it is being fenced")
	}
	owner.fences.end(shard)
	change, ok := plannedChange(owner, shard)
	want := record.Shard{Owner: home.NodeName, OwnerIncarnation: testIncarnation, FencingToken: 5}
	if !ok || change.record != want {
		t.Errorf("shard returned: %v, new record %+v", ok, change.record)
	}
}
