package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	tasksPerMachine   = 4    // how many tasks of spreadSpec fit on a machine
	maxMachinesInZone = 1000 // that addMachinesInZone may add
)

// spreadSpec returns a spread job whose tasks use a quarter of a machine each.
func spreadSpec(kind wire.JobKind, priority wire.Priority, tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: "run-7", Team: "t", Class: "c", Kind: kind, Priority: priority, TaskCount: tasks, Spread: true,
		CPUs: 6, GPUs: 1, MemoryGB: 48, Image: "s",
	}
}

// drawChunkWidth draws the number of tasks in each chunk of a job; 0 stands for fixed chunks.
func drawChunkWidth(t *rapid.T) int {
	return rapid.SampledFrom([]int{0, 16, 32, 64, 128}).Draw(t, "width")
}

// putSpreadJob adds a job whose chunks have the given width.
func (f *testCluster) putSpreadJob(spec wire.JobSpec, chunkWidth int) {
	f.put(record.JobKey(spec.ID), record.Job{
		Spec: spec, SubmittedAtMs: testNow.UnixMilli(), ChunkWidth: chunkWidth,
	})
}

// addMachinesInZone adds machines in one of the testZones. Their names begin after those of other zones.
func (f *testCluster) addMachinesInZone(zone, count int) {
	for i := range count {
		f.addMachine((zone*maxMachinesInZone+i)*len(testZones)+zone, false)
	}
}

// apply applies those changes of a cycle to the cluster state whose conditions hold.
func (f *testCluster) apply(c *cycle) {
	f.revision++
	f.cluster.BeginUpdate()
	defer f.cluster.EndUpdate()
	for _, change := range c.outgoing {
		if f.conditionsHold(change.transaction.Conditions) {
			f.applyOps(change.transaction.Ops)
		}
	}
}

// conditionsHold reports whether the records of a transaction's conditions have the expected revisions.
func (f *testCluster) conditionsHold(conditions []wire.Condition) bool {
	return !slices.ContainsFunc(conditions, func(condition wire.Condition) bool {
		return f.modRevisions[condition.Key] != condition.ModRevision
	})
}

// applyOps applies the operations of a transaction.
func (f *testCluster) applyOps(ops []wire.Op) {
	for _, op := range ops {
		if op.PutKey == "" {
			f.cluster.Delete(op.DeleteKey)
			delete(f.modRevisions, op.DeleteKey)
			continue
		}
		f.cluster.Put(op.PutKey, op.Value, f.revision)
		f.modRevisions[op.PutKey] = f.revision
		f.largestRecord = max(f.largestRecord, wire.JSONSize(op.Value))
	}
}

// scheduleUntilSettled runs cycles of all nodes until none of them has bound a task for so long that each has had its
// turn to place tasks outside of their home shard.
func (f *testCluster) scheduleUntilSettled() {
	idleRounds := 0
	for idleRounds <= testShards+1 {
		idleRounds++
		for node := range testShards {
			c, bindings := f.runCycle(node)
			f.apply(c)
			if len(bindings) > 0 {
				idleRounds = 0
			}
		}
		testNow = testNow.Add(tuning.HomeShardGracePeriod)
	}
}

// tasksByZone returns the number of a job's bound tasks in each zone, in all its chunks and in each chunk.
func (f *testCluster) tasksByZone(job *clusterstate.Job) (inJob map[string]int, byChunk []map[string]int) {
	inJob, byChunk = map[string]int{}, make([]map[string]int, job.ChunkCount())
	job.ForEachStartedTask(func(task record.Task) {
		if task.State != record.TaskBound {
			return
		}
		zone, chunk := f.cluster.Machines[task.Machine].Zone, job.ChunkOf(task.Index)
		if byChunk[chunk] == nil {
			byChunk[chunk] = map[string]int{}
		}
		inJob[zone]++
		byChunk[chunk][zone]++
	})
	return inJob, byChunk
}

// checkSpread checks that at most half of a job's tasks, rounded up, is bound in any zone, and at most half of each
// chunk's, because nodes may bind tasks of different chunks at the same time.
func checkSpread(t *rapid.T, fixture *testCluster, job *clusterstate.Job) {
	t.Helper()
	inJob, byChunk := fixture.tasksByZone(job)
	for zone, tasks := range inJob {
		if tasks > (job.Spec.TaskCount+1)/2 {
			t.Errorf("%d of %d tasks in zone %s", tasks, job.Spec.TaskCount, zone)
		}
	}
	for chunk, inChunk := range byChunk {
		first, end := job.TaskRange(chunk)
		for zone, tasks := range inChunk {
			if tasks > (end-first+1)/2 {
				t.Errorf("%d of %d tasks of chunk %d in zone %s", tasks, end-first, chunk, zone)
			}
		}
	}
}

// drawSpreadCapacity adds machines in two or three zones and returns how many of a number of tasks of a spread job fit.
func drawSpreadCapacity(t *rapid.T, fixture *testCluster, tasks int) int {
	fits := 0
	for zone := range rapid.IntRange(2, len(testZones)).Draw(t, "zones") {
		machines := rapid.IntRange(0, tasks/tasksPerMachine+1).Draw(t, "machines")
		fixture.addMachinesInZone(zone, machines)
		fits += min(machines*tasksPerMachine, (tasks+1)/2)
	}
	return min(fits, tasks)
}

// TestSpreadGangStartsWithHalfInEachZone guards against a spread gang that never starts in two zones because it is
// placed under the zone limit of one of its records.
func TestSpreadGangStartsWithHalfInEachZone(t *testing.T) {
	for _, gang := range []struct{ tasks, chunkWidth int }{
		{tasks: 40, chunkWidth: 32}, {tasks: 33, chunkWidth: 16}, {tasks: 130}, {tasks: 301, chunkWidth: 128},
	} {
		fixture := newTestCluster(t)
		for zone := range 2 {
			fixture.addMachinesInZone(zone, gang.tasks/2/tasksPerMachine+1)
		}
		spec := spreadSpec(wire.KindGang, wire.PriorityHigh, gang.tasks)
		fixture.putSpreadJob(spec, gang.chunkWidth)
		fixture.scheduleUntilSettled()
		job := fixture.cluster.Jobs[spec.ID]
		if job.ChunkCount() < 2 || job.BoundCount != gang.tasks {
			t.Errorf("%d of %d tasks bound, in %d chunks", job.BoundCount, gang.tasks, job.ChunkCount())
		}
	}
}

// drawPicks draws machines for a number of tasks, at most half of them in each of two to six zones, in any order.
func drawPicks(t *rapid.T, tasks int) []*binpack.MachineInfo {
	var picks []*binpack.MachineInfo
	zones, inZone := rapid.IntRange(2, 6).Draw(t, "zones"), map[string]int{}
	for len(picks) < tasks {
		zone := fmt.Sprint("zone-", rapid.IntRange(0, zones-1).Draw(t, "zone"))
		count := min(rapid.IntRange(1, tasks).Draw(t, "count"), tasks-len(picks), (tasks+1)/2-inZone[zone])
		for range count {
			picks = append(picks, &binpack.MachineInfo{Machine: &clusterstate.Machine{
				Machine: record.Machine{Zone: zone},
			}})
		}
		inZone[zone] += count
	}
	return picks
}

// TestMachinesOfWholeGangAreDivided checks that the machines of a gang of which no task is bound can always be divided
// among its chunks so that each keeps its own limit.
func TestMachinesOfWholeGangAreDivided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		tasks := rapid.IntRange(2, 2000).Draw(t, "tasks")
		spec := spreadSpec(wire.KindGang, wire.PriorityHigh, tasks)
		fixture.putSpreadJob(spec, drawChunkWidth(t))
		picks, divided := drawPicks(t, tasks), 0
		fixture.inCycle(0, func(c *cycle) {
			spread := c.spreadOf(fixture.cluster.Jobs[spec.ID])
			picksByChunk := spread.distribute(picks)
			for _, chunk := range spread.chunks {
				inZone := map[string]int{}
				for _, pick := range picksByChunk[chunk.number] {
					inZone[pick.Machine.Zone]++
					divided++
				}
				for zone, count := range inZone {
					if 2*count > chunk.pending+1 {
						t.Errorf("%d of %d machines of chunk %d in %s", count, chunk.pending, chunk.number, zone)
					}
				}
			}
		})
		if divided != tasks {
			t.Errorf("%d of %d machines divided", divided, tasks)
		}
	})
}

// TestSpreadGangIsPlacedWherePossible checks that a spread gang is bound as a whole if the free capacity allows it, in
// all its records within their zone limits, and not at all otherwise.
func TestSpreadGangIsPlacedWherePossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		tasks := rapid.IntRange(2, 300).Draw(t, "tasks")
		spec := spreadSpec(wire.KindGang, wire.PriorityHigh, tasks)
		fits := drawSpreadCapacity(t, fixture, tasks)
		fixture.putSpreadJob(spec, drawChunkWidth(t))
		fixture.scheduleUntilSettled()
		job, want := fixture.cluster.Jobs[spec.ID], 0
		if fits == tasks {
			want = tasks
		}
		if job.BoundCount != want {
			t.Errorf("%d of %d tasks bound, want %d: %d fit", job.BoundCount, tasks, want, fits)
		}
		checkSpread(t, fixture, job)
	})
}

// TestSpreadTasksOfAllRecordsArePlaced guards against tasks of an array or a service that wait beside free capacity
// because the tasks of one of the job's records can't be placed.
func TestSpreadTasksOfAllRecordsArePlaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		tasks := rapid.IntRange(2, 300).Draw(t, "tasks")
		spec := spreadSpec(wire.KindArray, wire.PriorityNormal, tasks)
		if rapid.Bool().Draw(t, "service") {
			spec = spreadSpec(wire.KindService, wire.PriorityProduction, tasks)
		}
		fits := drawSpreadCapacity(t, fixture, tasks)
		fixture.putSpreadJob(spec, drawChunkWidth(t))
		fixture.scheduleUntilSettled()
		job := fixture.cluster.Jobs[spec.ID]
		if job.BoundCount != fits {
			t.Errorf("%d of %d tasks bound, %d fit", job.BoundCount, tasks, fits)
		}
		checkSpread(t, fixture, job)
	})
}

// TestDemandOfSpreadJobCountsAllItsRecords guards against machines that are rented for tasks of a spread job that fit,
// and not for tasks that don't, because the demand is computed under the zone limit of one of the job's records or
// without the tasks that the same cycle has placed.
func TestDemandOfSpreadJobCountsAllItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		tasks := rapid.IntRange(2, 300).Draw(t, "tasks")
		kind := rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindGang, wire.KindService}).Draw(t, "kind")
		fits := drawSpreadCapacity(t, fixture, tasks)
		spec := spreadSpec(kind, wire.PriorityNormal, tasks)
		fixture.putSpreadJob(spec, drawChunkWidth(t))
		const leader = 0
		c, _ := fixture.runCycle(leader)
		unmet := 0
		for _, group := range c.demand.unmet.Groups {
			unmet += group.Count
		}
		if unmet != tasks-fits {
			t.Errorf("machines are wanted for %d tasks, %d of %d fit", unmet, fits, tasks)
		}
	})
}

// TestReplicaOnUnknownMachineCountsInEveryZone checks that a replica of a spread service on a machine without a record
// counts in each zone, and that the others are placed.
func TestReplicaOnUnknownMachineCountsInEveryZone(t *testing.T) {
	fixture := newTestCluster(t)
	for zone := range 2 {
		fixture.addMachinesInZone(zone, 1)
	}
	spec := spreadSpec(wire.KindService, wire.PriorityProduction, 4)
	fixture.addJob(spec, boundTask(0, "vm-999999"))
	fixture.scheduleUntilSettled()
	bound := map[string]int{}
	fixture.cluster.Jobs[spec.ID].ForEachStartedTask(func(task record.Task) {
		if machine := fixture.cluster.Machines[task.Machine]; machine != nil {
			bound[machine.Zone]++
		}
	})
	if len(bound) != 2 || bound[testZones[0]] != 1 || bound[testZones[1]] != 1 {
		t.Errorf("replicas bound by zone: %v, want one in each of two", bound)
	}
}

// TestReplicaInFlightCountsInItsZone guards against a second replica of a spread service that is placed in the zone of
// the first, instead of renting a machine in another zone, while the binding of the first is in flight.
func TestReplicaInFlightCountsInItsZone(t *testing.T) {
	fixture := newTestCluster(t)
	fixture.addMachinesInZone(0, 1)
	spec := spreadSpec(wire.KindService, wire.PriorityProduction, 2)
	fixture.putSpreadJob(spec, 0)
	home := record.ShardOf(spec.ID, testShards)
	fixture.own(record.LeaderShard, fmt.Sprintf("node-%d", home))
	c, bindings := fixture.runCycle(home)
	if len(bindings) != 1 {
		t.Fatalf("%d replicas bound, want 1", len(bindings))
	}
	fixture.engines[home].changes.start(c.outgoing[0])
	testNow = testNow.Add(tuning.DemandInterval)
	c, _ = fixture.runCycle(home)
	unmet := c.demand.unmet.Groups
	if len(unmet) != 1 || unmet[0].Count != 1 || unmet[0].SpreadZones.Allows(testZones[0]) {
		t.Errorf("machines are wanted for %+v, want one for one replica in another zone", unmet)
	}
}

// TestNoPreemptionForTasksOfOtherRecords guards against tasks that are stopped for replicas that fit elsewhere, because
// replicas of one record of a spread service were placed and those of its other records were not.
func TestNoPreemptionForTasksOfOtherRecords(t *testing.T) {
	for _, width := range []int{16, 32, 64, 128} {
		fixture := newTestCluster(t)
		tasks := 2*width + 8
		for zone := range 2 {
			fixture.addMachinesInZone(zone, tasks)
		}
		const fullZone, fullMachines = 2, 20
		fixture.addMachinesInZone(fullZone, fullMachines)
		for i := range fullMachines {
			machine := fmt.Sprintf("vm-%06d", (fullZone*1000+i)*len(testZones)+fullZone)
			spec := arraySpec(1000+i, 1)
			spec.CPUs, spec.GPUs, spec.MemoryGB, spec.Priority = 30, 4, 200, wire.PriorityLow
			fixture.addJob(spec, boundTask(0, machine))
		}
		spec := spreadSpec(wire.KindService, wire.PriorityProduction, tasks)
		fixture.putSpreadJob(spec, width)
		if chunks := fixture.cluster.Jobs[spec.ID].ChunkCount(); chunks < 2 {
			t.Errorf("width %d: the service has %d chunks, want several", width, chunks)
		}
		for node := range testShards {
			if c, _ := fixture.runCycle(node); c.preempting.machines > 0 {
				t.Errorf("width %d: node %d stops tasks on %d machines beside free capacity", width, node,
					c.preempting.machines)
			}
		}
	}
}
