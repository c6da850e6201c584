package scheduler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

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

// TestLongQueueBehindFullFleet: hundreds of jobs of different shapes behind a
// fleet without room must not each be held against each machine.
func TestLongQueueBehindFullFleet(t *testing.T) {
	fixture := newTestCluster(t)
	const machines, jobs = 1500, 500
	var tasks []record.Task
	for i := range machines {
		name := fixture.addMachine(i, false)
		tasks = append(tasks, record.Task{Index: i % 100, State: record.TaskBound, Attempt: 1, Machine: name, Session: 1})
		if len(tasks) == 100 {
			spec := gangSpec(100000+i, 100)
			spec.SameZone = false
			fixture.addJob(spec, tasks...)
			tasks = nil
		}
	}
	for i := range jobs {
		spec := arraySpec(i, 40)
		spec.CPUs += float64(i%7) / 10
		fixture.addJob(spec)
	}
	c, bound := fixture.runCycle(0)
	if len(bound) != 0 {
		t.Fatalf("%d tasks bound without room", len(bound))
	}
	if c.inventory.Examined() > 2*machines {
		t.Errorf("%d machines examined for %d jobs on %d machines", c.inventory.Examined(), jobs, machines)
	}
	if n := len(c.demand.unmet.Groups); n != jobs {
		t.Errorf("demand names %d of %d jobs", n, jobs)
	}
}

// TestJobIsDealtToOnePart: with room everywhere, one node binds all of an
// array's tasks, in its own part and in one change; the others leave it alone.
// Several writers of one record fail each other's guards and use up the state
// service's budget.
func TestArrayIsBoundByOneShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		for i := range rapid.IntRange(60, 120).Draw(t, "machines") {
			fixture.addMachine(i, i%2 == 0)
		}
		n := rapid.IntRange(1, 20).Draw(t, "tasks")
		fixture.addJob(arraySpec(rapid.IntRange(1, 1000).Draw(t, "id"), n))
		writers, total := 0, 0
		for i := range testShards {
			c, bound := fixture.runCycle(i)
			if len(bound) > 0 {
				writers++
				if len(c.outgoing) != 1 {
					t.Errorf("%d changes", len(c.outgoing))
				}
			}
			for _, b := range bound {
				if record.ShardOf(b.machine, testShards) != i {
					t.Errorf("node %d binds %s", i, b.machine)
				}
			}
			total += len(bound)
		}
		if writers != 1 || total != n {
			t.Errorf("%d nodes bound %d of %d tasks", writers, total, n)
		}
	})
}

// TestGangIsPlacedWhole: one node binds all tasks of a gang in one change, in
// one zone, on machines with room for them, guarded by every part concerned; or
// none binds any.
func TestGangIsPlacedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		free := map[string]int{}
		zone := map[string]string{}
		for i := range rapid.IntRange(1, 90).Draw(t, "machines") {
			name := fixture.addMachine(i, false)
			zone[name] = testZones[i%len(testZones)]
			if rapid.IntRange(0, 2).Draw(t, "used") == 0 {
				spec := arraySpec(5000+i, 1)
				fixture.addJob(spec, record.Task{State: record.TaskBound, Attempt: 1, Machine: name, Session: 1})
			} else {
				free[zone[name]]++
			}
		}
		n := rapid.SampledFrom([]int{1, 2, 4, 8, 16, 32}).Draw(t, "tasks")
		fixture.addJob(gangSpec(1, n))
		fits := false
		for _, count := range free {
			fits = fits || count >= n
		}
		total := 0
		for i := range testShards {
			c, bound := fixture.runCycle(i)
			if len(bound) == 0 {
				continue
			}
			total += len(bound)
			seen := map[string]bool{}
			guards := map[string]bool{}
			for _, g := range c.outgoing[0].transaction.Conditions {
				guards[g.Key] = true
			}
			for _, b := range bound {
				if seen[b.machine] || zone[b.machine] != zone[bound[0].machine] {
					t.Errorf("%s twice or in another zone", b.machine)
				}
				seen[b.machine] = true
				if !guards[record.ShardKey(record.ShardOf(b.machine, testShards))] || !guards[record.ShardKey(b.chargedShard)] {
					t.Errorf("no guard for the parts of %v: %v", b, guards)
				}
				if b.chargedShard != i {
					t.Errorf("node %d charges part %d", i, b.chargedShard)
				}
			}
		}
		if want := map[bool]int{true: n}[fits]; total != want {
			t.Errorf("%d tasks bound, want %d", total, want)
		}
	})
}

// TestSettledMachinesAreLeftAlone: a round looks only at machines of which
// something new is known.
func TestReconciledMachinesAreSkipped(t *testing.T) {
	fixture := newTestCluster(t)
	for i := range 50 {
		fixture.addMachine(i, false)
	}
	engine := fixture.engines[0]
	engine.machinesToReconcile = engine.changeFeed.TakeMachines()
	fixture.cluster.RLock()
	c := engine.newCycle(testNow)
	c.reconcileMachines()
	fixture.cluster.RUnlock()
	if len(engine.machinesToReconcile) != 0 || len(c.outgoing) != 0 {
		t.Errorf("%d machines are still looked at, %d changes", len(engine.machinesToReconcile), len(c.outgoing))
	}
}

// TestNewOwnerSparesRunningMachines: whether a machine came up may not stand in
// its record yet when its part changes owner; the new owner must give its worker
// time to report before it deletes what "never came up". It once deleted
// hundreds of running machines after two controllers had ended.
func TestNewOwnerKeepsRunningMachines(t *testing.T) {
	fixture := newTestCluster(t)
	for i := range 40 {
		fixture.put(record.MachineKey(fmt.Sprintf("vm-%06d", i)), record.Machine{Type: "m", Zone: "east", CreatedAtMs: 1})
	}
	for _, owned := range []time.Duration{time.Second, time.Hour} {
		deleted := 0
		for _, engine := range fixture.engines {
			fixture.cluster.RLock()
			c := engine.newCycle(testNow)
			for p := range c.shards.fencingTokens {
				engine.shardTenure[p] = testNow.Add(-owned)
			}
			c.deleteFailedMachines()
			fixture.cluster.RUnlock()
			deleted += len(c.outgoing)
		}
		if want := map[time.Duration]int{time.Hour: 40}[owned]; deleted != want {
			t.Errorf("owned for %v: %d machines deleted, want %d", owned, deleted, want)
		}
	}
}

// BenchmarkRound is one round of a large region with some room and a queue.
func BenchmarkRound(b *testing.B) {
	fixture := newTestCluster(b)
	for i := range 1500 {
		name := fixture.addMachine(i, i%2 == 0)
		if i%5 != 0 {
			spec := gangSpec(100000+i, 1)
			fixture.addJob(spec, record.Task{State: record.TaskBound, Attempt: 1, Machine: name, Session: 1})
		}
	}
	for i := range 200 {
		fixture.addJob(arraySpec(i, 40))
	}
	b.ReportAllocs()
	for b.Loop() {
		fixture.runCycle(0)
	}
}

// TestDeletedMachineIsNotAdopted: a report that a cut has held back and delivers after
// its machine was deleted must not make a record of it. Some seventy such machines once
// counted as room, and tasks were bound to them.
func TestDeletedMachineIsNotAdopted(t *testing.T) {
	fixture := newTestCluster(t)
	deleted, unknown := "vm-000001", "vm-000002"
	for _, name := range []string{deleted, unknown} {
		shard := record.ShardOf(name, testShards)
		fixture.engines[shard].ConfirmDeleted([]string{deleted})
		fixture.agents[shard].HandleHeartbeat(&wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", MachineType: "m", Zone: "east", Session: 1, Sequence: 1, FencingToken: 7})
		fixture.cluster.RLock()
		c := fixture.engines[shard].newCycle(testNow)
		c.adoptMachines()
		fixture.cluster.RUnlock()
		if got, want := len(c.outgoing), map[string]int{deleted: 0, unknown: 1}[name]; got != want {
			t.Errorf("%s: %d records written, want %d", name, got, want)
		}
	}
}

// TestNewSessionIsRecordedFirst: other nodes bind gangs and services to the session on
// record. A worker's new one goes before all else; that a machine is up can wait. Else
// binding and ending such tasks, which are urgent, would leave no budget for the
// records that would end it.
func TestNewSessionIsRecordedFirst(t *testing.T) {
	fixture := newTestCluster(t)
	name := fixture.addMachine(1, false)
	shard := record.ShardOf(name, testShards)
	heartbeat := func(session uint64, up bool) kvstore.Transaction {
		fixture.put(record.MachineKey(name), record.Machine{Type: "m", Zone: "east", Address: "10.1.0.1:9000", CreatedAtMs: 1, Up: up})
		fixture.engines[shard].agents.TakeAdoptions()
		fixture.agents[shard].HandleHeartbeat(&wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", MachineType: "m", Zone: "east", Session: session, Sequence: 2, FencingToken: 7})
		fixture.cluster.RLock()
		defer fixture.cluster.RUnlock()
		c := fixture.engines[shard].newCycle(testNow)
		if c.adoptMachines(); len(c.outgoing) != 1 {
			t.Fatalf("%d records written", len(c.outgoing))
		}
		return c.outgoing[0].transaction
	}
	if transaction := heartbeat(1, false); transaction.Priority != kvstore.PriorityBackground {
		t.Errorf("up: %+v", transaction)
	}
	if transaction := heartbeat(2, true); transaction.Priority != kvstore.PriorityUrgent {
		t.Errorf("a new session: %+v", transaction)
	}
}

// TestGangIsDoneWithOneOfItsTasks: where one task's worker has lost its session after the
// gang had completed, the other's report tells it of both. The job once waited for ever.
func TestGangIsDoneWithOneOfItsTasks(t *testing.T) {
	fixture := newTestCluster(t)
	fixture.addJob(gangSpec(1, 2), record.Task{Index: 0, State: record.TaskDone, Attempt: 1}, record.Task{Index: 1, Attempt: 1})
	ended := 0
	for i := range testShards {
		fixture.cluster.RLock()
		c := fixture.engines[i].newCycle(testNow)
		c.reconcileMachines()
		c.buildChanges()
		fixture.cluster.RUnlock()
		for _, change := range c.outgoing {
			if op := change.transaction.Ops[0]; op.PutKey == record.FinalKey("run-1") {
				ended++
				var rec record.Final
				if err := wire.Decode(op.Value, &rec); err != nil || rec.Status != wire.JobDone || rec.DoneCount != 2 {
					t.Errorf("%+v, %v", rec, err)
				}
			}
		}
	}
	if ended != 1 {
		t.Errorf("ended by %d nodes", ended)
	}
}

// TestStartsGoWhereTheImageIs: of machines with room, those that hold the image
// are taken, also in other nodes' parts, of which hints tell.
func TestPlacementPrefersMachinesWithTheImage(t *testing.T) {
	fixture := newTestCluster(t)
	held := map[string]map[string]bool{"g": {}}
	for i := range 60 {
		if name := fixture.addMachine(i, false); i < 9 {
			held["g"][name] = true
			fixture.agents[record.ShardOf(name, testShards)].RecordImageUse(name, "g", 4, 50)
		}
	}
	fixture.addJob(gangSpec(1, 3))
	total := 0
	for i, engine := range fixture.engines {
		engine.inventoryCache.remoteImages = imageHints{machinesByImage: held, updatedAt: testNow}
		_, bound := fixture.runCycle(i)
		total += len(bound)
		for _, b := range bound {
			if !held["g"][b.machine] {
				t.Errorf("%s does not hold the image", b.machine)
			}
		}
	}
	if total != 3 {
		t.Errorf("%d of 3 tasks bound", total)
	}
}

// TestServiceMakesRoomBesideBoots: a service that is spread over two zones has arrays stopped at
// once in both, though machines that come up would hold all of it: it once waited for their
// boot, since what it expected there counted against its zones.
func TestServicePreemptsDespiteBootingMachines(t *testing.T) {
	fixture := newTestCluster(t)
	busy := arraySpec(1, 40)
	busy.Priority = wire.PriorityNormal
	busy.CPUs, busy.GPUs = 28, 4
	var on []record.Task
	for i := range 60 {
		if i%3 == 2 {
			continue // of three zones two are used
		}
		on = append(on, record.Task{Index: len(on), State: record.TaskBound, Attempt: 1, Machine: fixture.addMachine(i, false), Session: 1})
	}
	fixture.addJob(busy, on...)
	for i := range 30 {
		if i%3 != 2 {
			fixture.put(record.MachineKey(fmt.Sprintf("vm-1%05d", i)), record.Machine{Type: "m", Zone: testZones[i%3], CreatedAtMs: testNow.UnixMilli()})
		}
	}
	service := wire.JobSpec{ID: "run-000002", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4, CPUs: 5, GPUs: 1, MemoryGB: 38, Spread: true}
	fixture.addJob(service)
	zones := map[string]int{}
	for i, engine := range fixture.engines {
		fixture.runCycle(i)
		for name, h := range engine.reservations {
			if h.task.JobID == service.ID {
				zones[fixture.cluster.Machines[name].Zone]++
			}
		}
	}
	if zones["east"]+zones["west"] != 4 || zones["east"] > 3 {
		t.Errorf("room is made by zone: %v, want 4 in both", zones)
	}
}

// TestServicesSpreadWhereAsked: with the operators' setting at most half of a service that does not
// ask for it stands in one zone while another has room; without another all of it is placed.
func TestServicesSpreadWhereAsked(t *testing.T) {
	for _, zones := range []int{1, 2} {
		for _, spreads := range []bool{false, true} {
			fixture := newTestCluster(t)
			for i := range 40 {
				if i%3 < zones {
					fixture.addMachine(i, false)
				}
			}
			spec := wire.JobSpec{ID: "run-000007", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 6, CPUs: 5, GPUs: 1, MemoryGB: 38}
			fixture.addJob(spec)
			count, placed := map[string]int{}, 0
			for i, engine := range fixture.engines {
				engine.operator.SpreadServices = spreads
				_, binds := fixture.runCycle(i)
				for _, b := range binds {
					count[fixture.cluster.Machines[b.machine].Zone]++
					placed++
				}
			}
			if placed != 6 || spreads && zones == 2 && (count["east"] != 3 || count["west"] != 3) {
				t.Errorf("%d zones with room, spread %v: %v", zones, spreads, count)
			}
		}
	}
}

// TestPartlyDoneGangIsCancelled: a gang of which one task is done and none is on a machine is completed by
// the leader; once it is marked as cancelled its user may have been told so, and it ends as that.
func TestPartlyDoneGangIsCancelled(t *testing.T) {
	for _, cancelMs := range []int64{0, 5} {
		fixture := newTestCluster(t)
		spec := gangSpec(1, 2)
		spec.Team, spec.Class = "t", "c"
		rec := record.Job{Spec: spec, SubmittedAtMs: 1, CancelledAtMs: cancelMs, CancelAfterRelease: cancelMs != 0,
			Tasks: []record.Task{{Index: 0, State: record.TaskDone, Attempt: 1}, {Index: 1, State: record.TaskPending, Attempt: 1}}}
		fixture.cluster.BeginUpdate()
		fixture.cluster.Put(record.JobKey(spec.ID), wire.MustEncode(rec), 0) // the view holds all up to it
		fixture.cluster.EndUpdate()
		fixture.cluster.RLock()
		c := fixture.engines[0].newCycle(testNow)
		c.finishJobs()
		c.buildChanges()
		fixture.cluster.RUnlock()
		want := wire.JobDone
		if cancelMs != 0 {
			want = wire.JobCancelled
		}
		var final record.Final
		for _, change := range c.outgoing {
			for _, o := range change.transaction.Ops {
				if o.PutKey == record.FinalKey(spec.ID) {
					_ = wire.Decode(o.Value, &final)
				}
			}
		}
		if final.Status != want {
			t.Errorf("cancelled at %d: ends as %q, want %q", cancelMs, final.Status, want)
		}
	}
}

// unansweredBindings answers no transaction that binds a task, and carries out all others.
type unansweredBindings struct {
	fenced        bool // the part's record was written again
	releasedEarly bool // the binding's record was open to others before that
	engine        *Engine
}

func (f *unansweredBindings) RoundTrip(req *http.Request) (*http.Response, error) {
	answer := func(v any) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(wire.MustEncode(v)))}, nil
	}
	if req.URL.Path != "/multi" {
		return answer(wire.WatchResponse{Revision: 1000})
	}
	b, _ := io.ReadAll(req.Body)
	var txn wire.TxnRequest
	if err := wire.Decode(b, &txn); err != nil {
		return nil, err
	}
	for _, o := range txn.Ops {
		if strings.HasPrefix(o.PutKey, record.JobKey("")) {
			<-req.Context().Done()
			return nil, req.Context().Err()
		}
		f.engine.mu.Lock()
		if f.fenced = true; !f.engine.changes.inFlight(record.JobKey("run-1")) || len(f.engine.changes.changes) == 0 {
			f.releasedEarly = true
		}
		f.engine.mu.Unlock()
	}
	return answer(wire.TxnResponse{Revision: 1000})
}

// TestUnknownOutcomeIsFenced: a binding whose transaction gets no answer may yet be carried out, after newer ones.
// Its room, its team's share and its record count as taken until the part's record has been written anew, which
// its guard does not outlive. Freed before, a grant could be lowered under it.
func TestUnknownOutcomeIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newTestCluster(t)
		name := fixture.addMachine(1, false)
		shard := record.ShardOf(name, testShards)
		engine := fixture.engines[shard]
		transport := &unansweredBindings{engine: engine}
		client := kvstore.NewClient("10.0.0.1:1", kvstore.Limits{RequestsPerSecond: 1000, WritesPerSecond: 1000, MaxValueKiB: 16, MaxTransactionOps: 32}, transport)
		engine.committer = kvstore.NewCommitter(client, func([]wire.Op, uint64) {})
		node := fmt.Sprintf("node-%d", shard)
		discard := slog.New(slog.DiscardHandler)
		engine.membership = membership.New(membership.Config{
			NodeName: node, Incarnation: 1, NodeNames: []string{node}, SchemaVersion: tuning.Level,
			Client: client, Committer: engine.committer,
			Cache:        kvstore.NewWatchCache(client, record.LivePrefix, fixture.cluster, discard),
			ClusterState: fixture.cluster, Logger: discard,
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = engine.committer.Run(ctx) }()
		change := &recordChange{kind: changeOfTasks, subject: "run-1", keys: []string{record.JobKey("run-1")}, shards: []int{shard},
			bindings:    []pendingBinding{{record.TaskRef{JobID: "run-1"}, name, shard, "t", record.Resources{GPUs: 1}}},
			transaction: kvstore.Transaction{Conditions: []wire.Condition{{Key: record.ShardKey(shard)}}, Ops: []wire.Op{kvstore.PutOp(record.JobKey("run-1"), 1)}}}
		engine.mu.Lock()
		id := engine.changes.start(change)
		engine.mu.Unlock()
		done := make(chan struct{})
		go func() {
			engine.commitChange(ctx, id, change)
			close(done)
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		if !transport.fenced || transport.releasedEarly {
			t.Errorf("fenced: %v, freed before: %v", transport.fenced, transport.releasedEarly)
		}
	})
}

// TestZoneOfALongJobIsChosenOnce: bindings in different records of a job whose tasks must be in one zone write
// the job's own record too, so that two nodes that choose at once collide; and while a task of it is bound to a
// machine that no record knows, none is bound, as its zone is not known.
func TestZoneOfALongJobIsChosenOnce(t *testing.T) {
	for _, lost := range []bool{false, true} {
		fixture := newTestCluster(t)
		for i := range 30 {
			fixture.addMachine(i, false)
		}
		spec := arraySpec(1, tuning.ChunkTasks+4)
		spec.SameZone, spec.Team, spec.Class, spec.CPUs, spec.GPUs, spec.MemoryGB = true, "t", "c", 1, 0, 1
		var first []record.Task
		for i := range tuning.ChunkTasks {
			first = append(first, record.Task{Index: i, State: record.TaskDone, Attempt: 1})
		}
		if lost {
			first[0] = record.Task{Index: 0, State: record.TaskBound, Attempt: 1, Machine: "vm-999999", Session: 1}
		}
		fixture.put(record.JobKey(spec.ID), record.Job{Spec: spec, SubmittedAtMs: testNow.UnixMilli(), Tasks: first})
		bound := 0
		for i := range fixture.engines {
			c, binds := fixture.runCycle(i)
			bound += len(binds)
			for _, change := range c.outgoing {
				own := slices.ContainsFunc(change.transaction.Ops, func(o wire.Op) bool { return o.PutKey == record.JobKey(spec.ID) })
				if len(change.bindings) > 0 && !own {
					t.Errorf("node %d binds %d tasks without the job's own record: %v", i, len(change.bindings), change.keys)
				}
			}
		}
		if (bound == 0) != lost {
			t.Errorf("a task out of sight: %v, %d bound", lost, bound)
		}
	}
}
