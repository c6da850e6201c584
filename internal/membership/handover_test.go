package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// TestShardIsHandedBack: a shard returns to its home node once that has had a
// session for a while, and its owner the shard, and later where it was handed
// off for want of agents; not while it is being fenced.
func TestShardIsHandedBack(t *testing.T) {
	for name, c := range map[string]struct {
		handedOff  bool
		ownedFirst bool // the shard is owned before its home node is back
		wait       time.Duration
	}{
		"after a failover":                 {false, true, tuning.ShardReturnDelay},
		"after a failover from a late one": {false, false, tuning.ShardReturnDelay},
		"after a transfer":                 {true, false, tuning.HandOffHold},
		"after a transfer and a restart":   {true, true, tuning.HandOffHold},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const shard = 1
				cluster := newTestCluster(2)
				owner, home := cluster.members[0], cluster.members[shard]
				own := func() {
					cluster.own(shard, owner, testIncarnation, 4, 3)
					current := cluster.state.Shards[shard]
					current.HandedOff = c.handedOff
					cluster.state.Shards[shard] = current
				}
				returnHome := func() { cluster.openSession(home, 6) }
				cluster.openSession(owner, 5)
				first, second := returnHome, own
				if c.ownedFirst {
					first, second = own, returnHome
				}
				first()
				owner.planOwnership()
				time.Sleep(time.Second)
				second()
				checkHandBack(t, owner, home, shard, c.wait)
			})
		})
	}
}

// checkHandBack checks that an owner hands a shard back after a while, and not
// before.
func checkHandBack(t *testing.T, owner, home *Member, shard int, wait time.Duration) {
	owner.planOwnership() // the while begins when the owner knows
	time.Sleep(wait - time.Millisecond)
	if _, ok := changeOf(owner, shard); ok {
		t.Error("handed back early")
	}
	time.Sleep(time.Millisecond)
	owner.fences.begin(shard)
	if _, ok := changeOf(owner, shard); ok {
		t.Error("handed back while it is being fenced")
	}
	owner.fences.end(shard)
	change, ok := changeOf(owner, shard)
	want := record.Shard{Owner: home.NodeName, OwnerIncarnation: testIncarnation, FencingToken: 5}
	if !ok || change.record != want {
		t.Errorf("handed back: %v, %+v", ok, change.record)
	}
}
