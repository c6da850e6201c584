package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const testShards = 5

var (
	testZones = []string{"east", "west", "north"}
	testType  = wire.MachineType{Name: "m", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, BootSeconds: 30, Zones: testZones}
	testNow   = time.Now()
)

// testCluster is a view of a region that several nodes share, each with an engine.
type testCluster struct {
	cluster  *clusterstate.State
	engines  []*Engine
	agents   []*agent.Registry
	revision uint64
}

func newTestCluster(tb testing.TB) *testCluster {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fixture := &testCluster{cluster: clusterstate.New(testShards, log)}
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	var nodes []string
	for i := range testShards {
		nodes = append(nodes, fmt.Sprintf("node-%d", i))
	}
	fixture.put("s/catalog", wire.Catalog{Types: []wire.MachineType{testType}})
	for i, node := range nodes {
		fixture.cluster.Nodes[node] = clusterstate.Node{Node: record.Node{Incarnation: 1}}
		fixture.cluster.Shards[i] = clusterstate.Shard{Shard: record.Shard{Owner: node, OwnerIncarnation: 1, FencingToken: 7}}
	}
	fixture.cluster.Shards[record.LeaderShard] = clusterstate.Shard{Shard: record.Shard{Owner: nodes[0], OwnerIncarnation: 1, FencingToken: 7}}
	for _, node := range nodes {
		settings := &config.Settings{Node: node}
		deployment := &settings.Deployment
		deployment.Size = testShards
		deployment.Teams = []config.Team{{Name: "t"}}
		deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 8, 45, 65
		deployment.State.TxnOps = 32
		client := kvstore.NewClient("127.0.0.1:1", kvstore.Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxValueKiB: 16, MaxTransactionOps: 32}, nil)
		committer := kvstore.NewCommitter(client, func([]wire.Op, uint64) {})
		cache := kvstore.NewWatchCache(client, record.LivePrefix, fixture.cluster, log)
		members := membership.New(membership.Config{
			NodeName: node, Incarnation: 1, NodeNames: nodes, SchemaVersion: tuning.Level,
			Client: client, Committer: committer, Cache: cache, ClusterState: fixture.cluster, Logger: log,
		})
		agents := agent.New(agent.Config{
			Settings: settings, ClusterState: fixture.cluster, Membership: members,
			CompleteAsOf: func() time.Time { return testNow }, Logger: log,
		})
		fixture.agents = append(fixture.agents, agents)
		engine := New(Config{
			Settings: settings, Operator: operator, ClusterState: fixture.cluster, Membership: members, Agents: agents,
			Committer: committer, Reader: client, Logger: log,
		})
		fixture.engines = append(fixture.engines, engine)
	}
	return fixture
}

func (fixture *testCluster) put(key string, value any) {
	fixture.revision++
	fixture.cluster.BeginUpdate()
	fixture.cluster.Put(key, wire.MustEncode(value), fixture.revision)
	fixture.cluster.EndUpdate()
}

// addMachine adds a machine that is up and has reported to its part's owner.
func (fixture *testCluster) addMachine(index int, spot bool) string {
	name := fmt.Sprintf("vm-%06d", index)
	machineRecord := record.Machine{Type: "m", Zone: testZones[index%len(testZones)], Spot: spot, Address: "10.1.0.1:9000", CreatedAtMs: 1, Up: true}
	fixture.put(record.MachineKey(name), machineRecord)
	fixture.agents[record.ShardOf(name, testShards)].HandleHeartbeat(&wire.Heartbeat{Machine: name, Address: machineRecord.Address, MachineType: "m", Zone: machineRecord.Zone, Spot: spot, Session: 1, Sequence: 1, FencingToken: 7})
	return name
}

func (fixture *testCluster) addJob(spec wire.JobSpec, tasks ...record.Task) {
	spec.Team, spec.Class = "t", "c"
	fixture.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: testNow.UnixMilli(), Tasks: tasks})
}

// runCycle plays one node's placement and gives what it bound.
func (fixture *testCluster) runCycle(index int) (*cycle, []pendingBinding) {
	fixture.cluster.RLock()
	defer fixture.cluster.RUnlock()
	c := fixture.engines[index].newCycle(testNow)
	c.schedule()
	c.buildChanges()
	var bindings []pendingBinding
	for _, change := range c.outgoing {
		bindings = append(bindings, change.bindings...)
	}
	return c, bindings
}

func arraySpec(id, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: fmt.Sprintf("run-%d", id), Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 6, GPUs: 1, MemoryGB: 48, AllowSpot: true, Image: "i"}
}

func gangSpec(id, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: fmt.Sprintf("run-%d", id), Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: tasks, CPUs: 28, GPUs: 4, MemoryGB: 200, SameZone: true, Image: "g"}
}
