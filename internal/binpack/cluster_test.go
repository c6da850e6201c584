package binpack

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

const testShards = 3

var (
	testZones = []string{"east", "west", "north"}
	testNow   = time.UnixMilli(1_000_000)
	testType  = wire.MachineType{Name: "m", CPUs: 8, GPUs: 4, MemoryGB: 64, Zones: testZones}
)

// testCluster is a cluster state in which each machine has a job of its own, whose tasks are bound to it.
type testCluster struct {
	state    *clusterstate.State
	revision uint64
}

func newTestCluster(types ...wire.MachineType) *testCluster {
	c := &testCluster{state: clusterstate.New(testShards, slog.New(slog.DiscardHandler))}
	c.put("s/catalog", wire.Catalog{Types: types})
	return c
}

func (c *testCluster) put(key string, value any) {
	c.revision++
	c.state.BeginUpdate()
	c.state.Put(key, wire.MustEncode(value), c.revision)
	c.state.EndUpdate()
}

func (c *testCluster) deleteMachine(i int) {
	c.revision++
	c.state.BeginUpdate()
	c.state.Delete(record.MachineKey(machineName(i)))
	c.state.EndUpdate()
}

func machineName(i int) string { return fmt.Sprintf("vm-%02d", i) }

// putMachine adds or replaces a machine and its job, and binds the given number of the job's tasks to the
// machine.
func (c *testCluster) putMachine(i int, machineRecord record.Machine, job wire.JobSpec, tasks int) {
	name := machineName(i)
	machineRecord.CreatedAtMs = 1
	c.put(record.MachineKey(name), machineRecord)
	job.ID = "on-" + name
	jobRecord := record.Job{Spec: job, SubmittedAtMs: 1}
	for index := range tasks {
		jobRecord.Tasks = append(jobRecord.Tasks, record.Task{
			Index: index, State: record.TaskBound, Attempt: 1, Machine: name, Session: 1,
		})
	}
	c.put(record.JobKey(job.ID), jobRecord)
}

// putTestMachine adds or replaces a machine of testType with the given number of GPUs in use.
func (c *testCluster) putTestMachine(i int, machineRecord record.Machine, gpusInUse int) {
	machineRecord.Type = testType.Name
	job := wire.JobSpec{Kind: wire.KindArray, TaskCount: 4, CPUs: 2, GPUs: 1, MemoryGB: 16, Image: "i"}
	c.putMachine(i, machineRecord, job, gpusInUse)
}

// snapshot returns the snapshot of a node that owns shard 0. Machines that are up are ready, others are
// pending.
func (c *testCluster) snapshot() Snapshot {
	return Snapshot{
		Now:           testNow,
		State:         c.state,
		LiveShards:    make([]bool, testShards),
		FencingTokens: map[int]uint64{0: 1},
		AssessReadiness: func(machine *clusterstate.Machine, _ bool) Readiness {
			if machine.Up {
				return Ready
			}
			return Pending
		},
	}
}

func drawMachine(t *rapid.T, c *testCluster, i int) {
	machineRecord := record.Machine{
		Zone: testZones[rapid.IntRange(0, 2).Draw(t, "zone")],
		Spot: rapid.Bool().Draw(t, "spot"),
		Up:   rapid.IntRange(0, 3).Draw(t, "up") > 0,
	}
	c.putTestMachine(i, machineRecord, rapid.IntRange(0, 4).Draw(t, "GPUs in use"))
}

func drawRequest(t *rapid.T) *Request {
	gpus := float64(rapid.IntRange(1, 4).Draw(t, "GPUs"))
	spec := &wire.JobSpec{
		ID: "a", Kind: wire.KindGang, TaskCount: rapid.IntRange(1, 12).Draw(t, "tasks"),
		CPUs: 2 * gpus, GPUs: gpus, MemoryGB: 16 * gpus,
		AllowSpot: rapid.Bool().Draw(t, "allow spot"), SameZone: rapid.Bool().Draw(t, "same zone"), Image: "i",
	}
	return newRequest(spec)
}

func newRequest(spec *wire.JobSpec) *Request {
	return &Request{Spec: spec, Need: record.TaskResources(spec), Remaining: spec.TaskCount}
}

// unconstrained returns a constraint that allows 100 tasks in each zone, more than any test places.
func unconstrained() *ZoneConstraint {
	return &ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: 100}
}

func freeByMachine(inv *Inventory) map[string]record.Resources {
	free := map[string]record.Resources{}
	for name, info := range inv.machines {
		free[name] = info.Free
	}
	return free
}

func machineNames(machines []*MachineInfo) []string {
	var names []string
	for _, info := range machines {
		names = append(names, info.Machine.Name)
	}
	return names
}

// filterFor filters the machines as if the request were the only one waiting.
func filterFor(inv *Inventory, request *Request) {
	inv.FilterFeasible(slices.Values([]record.Resources{request.Need}))
}

// TestTasksThatFit checks that a zero need fits without limit, that fractions that add up to the free
// amount fit despite rounding errors, and that nothing fits on an overcommitted machine.
func TestTasksThatFit(t *testing.T) {
	free := record.Resources{CPUs: 0.1 + 0.1 + 0.1, GPUs: 2, MemoryGB: 5}
	if got := TasksThatFit(record.Resources{}, free); got != math.MaxInt32 {
		t.Errorf("%d tasks with a zero need fit, want math.MaxInt32", got)
	}
	need := record.Resources{CPUs: 0.1, MemoryGB: 1}
	if got := TasksThatFit(need, free); got != 3 {
		t.Errorf("%d tasks fit, want 3", got)
	}
	if got := TasksThatFit(record.Resources{GPUs: 1}, record.Resources{GPUs: -1}); got != 0 {
		t.Errorf("%d tasks fit on an overcommitted machine, want 0", got)
	}
}
