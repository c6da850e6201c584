package scheduler

import (
	"fmt"
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

const (
	testShards  = 5
	testToken   = 7 // fencing token of every shard
	testAddress = "10.1.0.1:9000"
)

var (
	testZones = []string{"east", "west", "north"}
	testType  = wire.MachineType{
		Name: "m", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, BootSeconds: 30, Zones: testZones,
	}
	// testNow is the time of the cycles. newTestCluster sets it, as the agents' registries read the clock: at a time
	// far in the past their cluster state would be too old to act on.
	testNow = time.Now()
)

// testCluster is a cluster state that several nodes share. Each node has an engine and owns one shard.
type testCluster struct {
	cluster  *clusterstate.State
	engines  []*Engine
	agents   []*agent.Registry
	kvLimits kvstore.Limits
	revision uint64
	// modRevisions holds the revisions of the records that were put or written by changes, by key.
	modRevisions map[string]uint64
	// largestRecord is the size of the largest record that a change has written, in bytes of its JSON form.
	largestRecord int
}

// Limits of the key-value store.
var (
	usualLimits   = kvstore.Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxValueKiB: 16, MaxTransactionOps: 32}
	loweredLimits = kvstore.Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxValueKiB: 2, MaxTransactionOps: 10}
)

// newTestCluster returns a cluster without machines and jobs. tb may be nil within a property test.
func newTestCluster(tb testing.TB) *testCluster { return newTestClusterWithLimits(tb, usualLimits) }

// newTestClusterWithLimits is newTestCluster with the given limits of the key-value store.
func newTestClusterWithLimits(tb testing.TB, limits kvstore.Limits) *testCluster {
	testNow = time.Now()
	fixture := &testCluster{
		cluster: clusterstate.New(testShards, slog.New(slog.DiscardHandler)), kvLimits: limits,
		modRevisions: map[string]uint64{},
	}
	fixture.cluster.SchemaVersion = tuning.SchemaVersion
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	fixture.put("s/catalog", wire.Catalog{Types: []wire.MachineType{testType}})
	var nodes []string
	for shard := range testShards {
		node := fmt.Sprintf("node-%d", shard)
		nodes = append(nodes, node)
		fixture.cluster.Nodes[node] = clusterstate.Node{Node: record.Node{Incarnation: 1, ReadsNarrowedChunks: true}}
		fixture.own(shard, node)
	}
	fixture.own(record.LeaderShard, nodes[0])
	for _, node := range nodes {
		fixture.addNode(node, nodes, operator)
	}
	return fixture
}

// own makes a node the owner of a shard.
func (f *testCluster) own(shard int, node string) {
	f.cluster.Shards[shard] = clusterstate.Shard{
		Shard: record.Shard{Owner: node, OwnerIncarnation: 1, FencingToken: testToken},
	}
}

// addNode adds a node's engine and agent registry.
func (f *testCluster) addNode(node string, nodes []string, operator *config.Operator) {
	log := slog.New(slog.DiscardHandler)
	settings := &config.Settings{Node: node}
	for _, name := range nodes {
		if name != node {
			settings.Peers = append(settings.Peers, config.Peer{Node: name})
		}
	}
	deployment := &settings.Deployment
	deployment.NodeCount = testShards
	deployment.Teams = []config.Team{{Name: "t"}}
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 8, 45, 65
	deployment.State.TxnOps = f.kvLimits.MaxTransactionOps
	client := kvstore.NewClient("127.0.0.1:1", f.kvLimits, nil)
	committer := kvstore.NewCommitter(client, func([]wire.Op, uint64) {})
	members := membership.New(membership.Config{
		NodeName: node, Incarnation: 1, NodeNames: nodes, SchemaVersion: tuning.SchemaVersion,
		Client: client, Committer: committer, ClusterState: f.cluster, Logger: log,
		Cache: kvstore.NewWatchCache(client, record.LivePrefix, f.cluster, log),
	})
	agents := agent.New(agent.Config{
		Settings: settings, ClusterState: f.cluster, Membership: members,
		CompleteAsOf: func() time.Time { return testNow }, Logger: log,
	})
	f.agents = append(f.agents, agents)
	f.engines = append(f.engines, New(Config{
		Settings: settings, Operator: operator, ClusterState: f.cluster, Membership: members, Agents: agents,
		Committer: committer, Reader: client, Logger: log,
	}))
}

// put applies a record to the cluster state.
func (f *testCluster) put(key string, value any) {
	f.revision++
	f.cluster.BeginUpdate()
	f.cluster.Put(key, wire.MustEncode(value), f.revision)
	f.modRevisions[key] = f.revision
	f.cluster.EndUpdate()
}

// delete applies the deletion of a record to the cluster state.
func (f *testCluster) delete(key string) {
	f.cluster.BeginUpdate()
	f.cluster.Delete(key)
	delete(f.modRevisions, key)
	f.cluster.EndUpdate()
}

// addMachine adds a machine that is up and whose heartbeat has reached the owner of its shard, and returns its name.
func (f *testCluster) addMachine(index int, spot bool) string {
	name := fmt.Sprintf("vm-%06d", index)
	zone := testZones[index%len(testZones)]
	f.put(record.MachineKey(name), record.Machine{
		Type: testType.Name, Zone: zone, Spot: spot, Address: testAddress, CreatedAtMs: 1, Up: true,
	})
	f.heartbeat(wire.Heartbeat{Machine: name, Zone: zone, Spot: spot, Session: 1, Sequence: 1})
	return name
}

// heartbeat delivers a heartbeat to the owner of its machine's shard.
func (f *testCluster) heartbeat(heartbeat wire.Heartbeat) {
	heartbeat.Address, heartbeat.MachineType, heartbeat.FencingToken = testAddress, testType.Name, testToken
	f.agents[record.ShardOf(heartbeat.Machine, testShards)].HandleHeartbeat(&heartbeat)
}

// boundTask returns a task that is bound to a machine in its first attempt.
func boundTask(index int, machine string) record.Task {
	return record.Task{Index: index, State: record.TaskBound, Attempt: 1, Machine: machine, Session: 1}
}

// addJob adds a job of the test team and class.
func (f *testCluster) addJob(spec wire.JobSpec, tasks ...record.Task) {
	spec.Team, spec.Class = "t", "c"
	f.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: testNow.UnixMilli(), Tasks: tasks})
}

// inCycle starts a cycle of one node, runs the steps in it and returns it.
func (f *testCluster) inCycle(index int, steps func(c *cycle)) *cycle {
	f.cluster.RLock()
	defer f.cluster.RUnlock()
	c := f.engines[index].newCycle(testNow)
	steps(c)
	return c
}

// runCycle schedules in a cycle of one node, and returns the cycle and its bindings.
func (f *testCluster) runCycle(index int) (*cycle, []inFlightBinding) {
	c := f.inCycle(index, func(c *cycle) {
		c.schedule()
		c.buildChanges()
		c.migrateRecords()
	})
	var bindings []inFlightBinding
	for _, change := range c.outgoing {
		bindings = append(bindings, change.bindings...)
	}
	return c, bindings
}

// arraySpec returns an array of small tasks.
func arraySpec(id, tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: fmt.Sprintf("run-%d", id), Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: tasks,
		CPUs: 6, GPUs: 1, MemoryGB: 48, AllowSpot: true, Image: "i",
	}
}

// gangSpec returns a gang whose tasks each use a whole machine, all in one zone.
func gangSpec(id, tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: fmt.Sprintf("run-%d", id), Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: tasks,
		CPUs: 28, GPUs: 4, MemoryGB: 200, SameZone: true, Image: "g",
	}
}

// serviceSpec returns a service with small replicas.
func serviceSpec(id string, tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: id, Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: tasks,
		CPUs: 5, GPUs: 1, MemoryGB: 38,
	}
}
