package membership

import (
	"fmt"
	"log/slog"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// testIncarnation is the incarnation of all processes that run in the tests.
const testIncarnation = 1

// testCluster is a set of members that share one cluster state.
type testCluster struct {
	state   *clusterstate.State
	members []*Member
}

func newTestCluster(nodeCount int) *testCluster {
	logger := slog.New(slog.DiscardHandler)
	cluster := &testCluster{state: clusterstate.New(nodeCount, logger)}
	var names []string
	for i := range nodeCount {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	for _, name := range names {
		client := kvstore.NewClient("127.0.0.1:1", kvstore.Limits{
			RequestsPerSecond: 100, WritesPerSecond: 50, MaxTransactionOps: 8,
		}, nil)
		cluster.members = append(cluster.members, New(Config{
			NodeName:      name,
			Incarnation:   testIncarnation,
			NodeNames:     names,
			SchemaVersion: tuning.SchemaVersion,
			Client:        client,
			Committer:     kvstore.NewCommitter(client, func([]wire.Op, uint64) {}),
			Cache:         kvstore.NewWatchCache(client, record.LivePrefix, cluster.state, logger),
			ClusterState:  cluster.state,
			Logger:        logger,
		}))
	}
	return cluster
}

// openSession adds a session of the member, with the given mod revision, to the
// cluster state.
func (c *testCluster) openSession(m *Member, modRevision uint64) {
	c.state.Nodes[m.NodeName] = clusterstate.Node{
		Node:        record.Node{Incarnation: testIncarnation},
		ModRevision: modRevision,
	}
}

// own makes a process of the given node the owner of a shard.
func (c *testCluster) own(shard int, owner *Member, incarnation, fencingToken, modRevision uint64) {
	c.state.Shards[shard] = clusterstate.Shard{
		Shard: record.Shard{
			Owner: owner.NodeName, OwnerIncarnation: incarnation, FencingToken: fencingToken,
		},
		ModRevision: modRevision,
	}
}
