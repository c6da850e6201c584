package membership

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// newTestCluster is one view that several nodes share.
func newTestCluster(nodes int) (*clusterstate.State, []*Member) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	w := clusterstate.New(nodes, log)
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	var out []*Member
	for _, n := range names {
		c := kvstore.NewClient("127.0.0.1:1", kvstore.Limits{RequestsPerSecond: 100, WritesPerSecond: 50, MaxTransactionOps: 8}, nil)
		cache := kvstore.NewWatchCache(c, record.LivePrefix, w, log)
		out = append(out, New(n, 1, names, tuning.Level, c, kvstore.NewCommitter(c, func([]wire.Op, uint64) {}), cache, w, log))
	}
	return w, out
}

// TestSharesStayWithinTheBudget: whoever lives and owns what, the nodes' shares
// of the state service's budget never add up to more than is planned, and one
// that is alone with all parts has all of it.
func TestBudgetSharesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "nodes")
		w, members := newTestCluster(n)
		live := rapid.IntRange(1, n).Draw(t, "live")
		for i := range live {
			w.Nodes[members[i].NodeName] = clusterstate.Node{Node: record.Node{Incarnation: 1}}
		}
		for p := record.LeaderShard; p < n; p++ {
			if o := rapid.IntRange(-1, live-1).Draw(t, "owner"); o >= 0 || live == 1 {
				w.Shards[p] = clusterstate.Shard{Shard: record.Shard{Owner: members[max(o, 0)].NodeName, Incarnation: 1, FencingToken: 1}}
			}
		}
		sum := 0.0
		for _, m := range members[:live] {
			sum += m.budgetShare()
		}
		if sum > tuning.StateShare+1e-9 || live == 1 && sum < tuning.StateShare-1e-9 {
			t.Errorf("shares add up to %v of %v with %d of %d nodes", sum, tuning.StateShare, live, n)
		}
	})
}

func changesOnly(c []ownershipChange, _ int) []ownershipChange { return c }

// TestTokensSayThatCancellationsAreToldLate: tokens only grow, and are above the mark once
// the level is active, never before: on it a process without a view renews leases. An
// owner whose token is below it raises its own, one part at a time.
func TestFencingTokensMarkConfirmedCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token, level := rapid.Uint64Range(0, 1000).Draw(t, "token"), 0
		for range 20 {
			level = max(level, rapid.IntRange(0, tuning.Level).Draw(t, "level"))
			next := nextFencingToken(token, level)
			if next <= token || (next >= tuning.CertainToken) != (level >= tuning.LevelCertain) {
				t.Fatalf("%d after %d at level %d", next, token, level)
			}
			token = next
		}
	})
	w, members := newTestCluster(3)
	m := members[1]
	w.Nodes[m.NodeName] = clusterstate.Node{Node: record.Node{Incarnation: 1}, ModRevision: 5}
	for p := record.LeaderShard; p < 3; p++ {
		w.Shards[p] = clusterstate.Shard{Shard: record.Shard{Owner: m.NodeName, Incarnation: 1, FencingToken: tuning.CertainToken + 4}, ModRevision: 3}
	}
	w.Shards[2] = clusterstate.Shard{Shard: record.Shard{Owner: m.NodeName, Incarnation: 1, FencingToken: 4}, ModRevision: 3}
	w.Shards[record.LeaderShard] = clusterstate.Shard{Shard: record.Shard{Owner: m.NodeName, Incarnation: 1, FencingToken: 4}, ModRevision: 3}
	for level, want := range map[int]int{0: record.LeaderShard, tuning.LevelCertain: 2} {
		w.SchemaVersion = level
		if _, part := m.ownershipChanges(); part != want {
			t.Errorf("level %d: part %d is raised, want %d", level, part, want)
		}
	}
}

// TestOnePartHasOneOwner: of all nodes that claim a part at once, the records'
// guards let one through, and every change of owner raises the token.
func TestShardHasOneOwner(t *testing.T) {
	w, members := newTestCluster(3)
	for _, m := range members {
		w.Nodes[m.NodeName] = clusterstate.Node{Node: record.Node{Incarnation: 1}, ModRevision: 5}
	}
	w.Shards[0] = clusterstate.Shard{Shard: record.Shard{Owner: members[0].NodeName, Incarnation: 9, FencingToken: 4}, ModRevision: 3}
	claimed := 0
	for _, m := range members {
		for _, c := range changesOnly(m.ownershipChanges()) {
			if c.shard != 0 {
				continue
			}
			claimed++
			if m != members[0] {
				t.Errorf("%s takes a part whose home is back at once", m.NodeName)
			}
			if c.record.FencingToken != 5 || c.transaction.Conditions[0] != (wire.Condition{Key: record.ShardKey(0), ModRevision: 3}) {
				t.Errorf("claim %+v with guards %v", c.record, c.transaction.Conditions)
			}
		}
	}
	if claimed != 1 {
		t.Errorf("%d claims", claimed)
	}
}
