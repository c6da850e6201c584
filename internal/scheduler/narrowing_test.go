package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// ownMachineSpec returns a job each of whose tasks takes a whole machine, or a part of one if perMachine is above 1.
func ownMachineSpec(kind wire.JobKind, tasks, perMachine int, spread bool) wire.JobSpec {
	spec := spreadSpec(kind, wire.PriorityProduction, tasks)
	spec.GPUs, spec.Spread = float64(tasksPerMachine/perMachine), spread
	return spec
}

// maxRecordBytes returns the size that a record may have, in bytes of its JSON form.
func (f *testCluster) maxRecordBytes() int { return f.engines[0].committer.MaxRecordBytes() }

// putNewJob adds a job in the layout that a new job gets.
func (f *testCluster) putNewJob(t testing.TB, spec wire.JobSpec) {
	t.Helper()
	job := record.Job{Spec: spec, SubmittedAtMs: testNow.UnixMilli()}
	if err := job.ChooseLayout(tuning.SchemaVersion, f.cluster.SizeLimits(f.maxRecordBytes())); err != nil {
		t.Fatal(err)
	}
	f.put(record.JobKey(spec.ID), job)
}

// checkNeedsSeveralRecords checks that the tasks of a job don't fit into one record.
func checkNeedsSeveralRecords(t testing.TB, fixture *testCluster, id string) {
	t.Helper()
	job := fixture.cluster.Jobs[id]
	inOne := record.Job{Spec: job.Spec, ChunkWidth: tuning.FixedChunkTasks}
	var tasks []record.Task
	job.ForEachStartedTask(func(task record.Task) { tasks = append(tasks, task) })
	if size := inOne.MaxChunkSize(0, job.EncodedBaseSize, tasks); size <= fixture.maxRecordBytes() {
		t.Errorf("all tasks fit into one record of %d bytes", size)
	}
}

// setReadsNarrowedChunks sets for a node whether its process reads narrowed chunks.
func (f *testCluster) setReadsNarrowedChunks(name string, reads bool) {
	node := f.cluster.Nodes[name]
	node.ReadsNarrowedChunks = reads
	f.cluster.Nodes[name] = node
}

// passRecheckInterval lets time pass and has all nodes drop their expired state.
func (f *testCluster) passRecheckInterval() {
	testNow = testNow.Add(tuning.FullChunkRecheckInterval)
	for node := range testShards {
		f.inCycle(node, (*cycle).pruneState)
	}
}

// TestTasksOnOwnMachinesStartUnderLoweredLimits guards against tasks of a service or an array that wait beside empty
// machines because the record of their job is full.
func TestTasksOnOwnMachinesStartUnderLoweredLimits(t *testing.T) {
	for _, shape := range []struct{ tasks, perMachine int }{{60, 1}, {130, 1}, {130, 2}, {300, 1}, {300, 2}} {
		for _, kind := range []wire.JobKind{wire.KindService, wire.KindArray} {
			for _, spread := range []bool{false, true} {
				fixture := newTestClusterWithLimits(t, loweredLimits)
				for zone := range 2 {
					fixture.addMachinesInZone(zone, shape.tasks/2/shape.perMachine+1)
				}
				spec := ownMachineSpec(kind, shape.tasks, shape.perMachine, spread)
				fixture.putNewJob(t, spec)
				fixture.scheduleUntilSettled()
				if bound := fixture.cluster.Jobs[spec.ID].BoundCount; bound != shape.tasks {
					t.Errorf("%s of %+v, spread %v: %d tasks bound", kind, shape, spread, bound)
				}
				if fixture.largestRecord > fixture.maxRecordBytes() {
					t.Errorf("%s of %+v: a record of %d bytes was written", kind, shape, fixture.largestRecord)
				}
				checkNeedsSeveralRecords(t, fixture, spec.ID)
			}
		}
	}
}

// putFullJob adds a job in chunks of a width, as many of whose tasks as fit into each record are bound to machines of
// their own in two zones, in any order.
func putFullJob(t *rapid.T, fixture *testCluster, spec wire.JobSpec, width int) {
	job := record.Job{Spec: spec, SubmittedAtMs: testNow.UnixMilli(), ChunkWidth: width}
	baseSize, limits := record.EncodedBaseSize(job), fixture.cluster.SizeLimits(fixture.maxRecordBytes())
	next := map[int]int{}
	for chunk := range job.ChunkCount() {
		var tasks []record.Task
		first, end := job.TaskRange(chunk)
		chunkInZone := map[int]int{}
		for index := first; index < end; index++ {
			size := job.MaxChunkSize(chunk, baseSize, tasks)
			if size+limits.GroupedTaskBytes > limits.MaxBytes {
				break
			}
			zone := rapid.IntRange(0, 1).Draw(t, "zone")
			if chunkInZone[zone] >= spreadLimit(end-first) {
				zone = 1 - zone
			}
			tasks = append(tasks, boundTask(index, fixture.machineInZone(zone, next[zone])))
			next[zone]++
			chunkInZone[zone]++
		}
		fixture.putEncoded(job.EncodeTasks(chunk, tasks))
	}
}

// putEncoded applies an operation that writes a record.
func (f *testCluster) putEncoded(op wire.Op) {
	f.revision++
	f.cluster.BeginUpdate()
	f.applyOps([]wire.Op{op})
	f.cluster.EndUpdate()
}

// machineInZone returns the name of the i-th machine that addMachinesInZone adds in a zone.
func (f *testCluster) machineInZone(zone, i int) string {
	return fmt.Sprintf("vm-%06d", (zone*maxMachinesInZone+i)*len(testZones)+zone)
}

// TestFullRecordOfFormerVersionIsSplit guards against replicas that wait for ever because the record of their service
// was full when this version came. While a node of the version before has a session, records are not split; afterwards
// all replicas start, within the job's limit on zones.
func TestFullRecordOfFormerVersionIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestClusterWithLimits(nil, loweredLimits)
		tasks := rapid.IntRange(58, 250).Draw(t, "tasks")
		for zone := range 2 {
			fixture.addMachinesInZone(zone, tasks)
		}
		const formerWidth = 64
		spec := ownMachineSpec(wire.KindService, tasks, 1, rapid.Bool().Draw(t, "spread"))
		putFullJob(t, fixture, spec, formerWidth)
		job := fixture.cluster.Jobs[spec.ID]
		before := job.BoundCount
		if before == tasks {
			t.Fatal("all tasks fit into the records")
		}
		fixture.setReadsNarrowedChunks("node-3", false)
		fixture.scheduleUntilSettled()
		if job.ChunkWidth != formerWidth {
			t.Fatalf("chunks of %d tasks were written beside a node that can't read them", job.ChunkWidth)
		}
		fixture.setReadsNarrowedChunks("node-3", true)
		fixture.passRecheckInterval()
		fixture.scheduleUntilSettled()
		if job.BoundCount != tasks {
			t.Errorf("%d of %d tasks bound, %d before, chunks of %d", job.BoundCount, tasks, before, job.ChunkWidth)
		}
		if fixture.largestRecord > fixture.maxRecordBytes() {
			t.Errorf("a record of %d bytes was written", fixture.largestRecord)
		}
		checkJobSpread(t, fixture, spec.ID)
	})
}

// checkJobSpread checks that at most half of a spread job's tasks, rounded up, is bound in any zone.
func checkJobSpread(t *rapid.T, fixture *testCluster, id string) {
	t.Helper()
	job := fixture.cluster.Jobs[id]
	if !job.Spec.Spread {
		return
	}
	inJob, _ := fixture.tasksByZone(job)
	for zone, bound := range inJob {
		if bound > spreadLimit(job.Spec.TaskCount) {
			t.Errorf("%d of %d tasks in zone %s", bound, job.Spec.TaskCount, zone)
		}
	}
}

// releaseSome releases some of the tasks that are bound in a chunk of a job.
func (f *testCluster) releaseSome(t *rapid.T, job *clusterstate.Job, chunk int) {
	first, end := job.TaskRange(chunk)
	var tasks []record.Task
	for index := first; index < end; index++ {
		task := job.Task(index)
		if task.State == record.TaskBound && rapid.Bool().Draw(t, "released") {
			task = record.Task{Index: index, Attempt: task.Attempt}
		}
		if task.Started() {
			tasks = append(tasks, task)
		}
	}
	f.putEncoded(job.EncodeTasks(chunk, tasks))
}

// checkExcludesOthers checks that a change that binds tasks of a job one of whose chunks exceeds its limit on zones is
// conditional on all records of the job and writes the job's own record.
func checkExcludesOthers(t *rapid.T, c *cycle, job *clusterstate.Job) {
	t.Helper()
	exceeds := c.spreadOf(job).limitsOfJobOnly
	for _, change := range c.outgoing {
		if !exceeds || len(change.bindings) == 0 {
			continue
		}
		if !slices.Contains(change.keys, job.ChunkKey(0)) {
			t.Errorf("a change of %v does not write the job's own record", change.keys)
		}
		for chunk := range job.ChunkCount() {
			key := job.ChunkKey(chunk)
			hasKey := func(condition wire.Condition) bool { return condition.Key == key }
			if !slices.ContainsFunc(change.transaction.Conditions, hasKey) {
				t.Errorf("a change of %v is not conditional on %s", change.keys, key)
			}
		}
	}
}

// TestBindingsKeepJobLimitWhereChunksExceedTheirs checks that nodes that bind tasks of a spread job at the same time,
// or after a delay, keep the job's limit on zones although a chunk exceeds its own limit at first, and that all tasks
// are bound in the end.
func TestBindingsKeepJobLimitWhereChunksExceedTheirs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestClusterWithLimits(nil, loweredLimits)
		const width, chunks = 16, 4
		tasks := rapid.IntRange((chunks-1)*width+2, chunks*width).Draw(t, "tasks")
		for zone := range 2 {
			fixture.addMachinesInZone(zone, tasks)
		}
		spec := ownMachineSpec(wire.KindArray, tasks, 1, true)
		fixture.putSpreadJob(spec, width)
		job := fixture.cluster.Jobs[spec.ID]
		var crowded []record.Task
		for index := range width {
			crowded = append(crowded, boundTask(index, fixture.machineInZone(0, index)))
		}
		fixture.putEncoded(job.EncodeTasks(0, crowded))
		var planned []*cycle
		for range 8 {
			for node := range testShards {
				c, _ := fixture.runCycle(node)
				checkExcludesOthers(t, c, job)
				planned = append(planned, c)
			}
			if rapid.Bool().Draw(t, "release") {
				fixture.releaseSome(t, job, 0)
			}
			planned = rapid.Permutation(planned).Draw(t, "order")
			applied := rapid.IntRange(1, len(planned)).Draw(t, "applied")
			for _, c := range planned[:applied] {
				fixture.apply(c)
				checkJobSpread(t, fixture, spec.ID)
			}
			planned = planned[applied:]
			testNow = testNow.Add(tuning.HomeShardGracePeriod)
		}
		fixture.scheduleUntilSettled()
		checkJobSpread(t, fixture, spec.ID)
		if job.BoundCount != tasks {
			t.Errorf("%d of %d tasks bound", job.BoundCount, tasks)
		}
	})
}

// occupyIdleMachines binds a task of low priority to each machine without one, which leaves no capacity.
func (f *testCluster) occupyIdleMachines() {
	for name, machine := range f.cluster.Machines {
		if len(machine.Bindings) > 0 {
			continue
		}
		spec := ownMachineSpec(wire.KindArray, 1, 1, false)
		spec.ID, spec.Priority = "run-of-"+name, wire.PriorityLow
		f.addJob(spec, boundTask(0, name))
	}
}

// TestNoMachinesForTasksOfFullRecords guards against machines that are rented, and tasks that are stopped, for tasks
// that no record of their job has space for.
func TestNoMachinesForTasksOfFullRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, leader = 60, 0
		fixture := newTestClusterWithLimits(nil, loweredLimits)
		for zone := range 2 {
			fixture.addMachinesInZone(zone, tasks/2)
		}
		spec := ownMachineSpec(wire.KindService, tasks, 1, false)
		putFullJob(t, fixture, spec, 64)
		fixture.setReadsNarrowedChunks("node-3", false)
		fixture.scheduleUntilSettled()
		fixture.occupyIdleMachines()
		home := record.ShardOf(spec.ID, testShards)
		fixture.own(record.LeaderShard, fmt.Sprintf("node-%d", home))
		c, _ := fixture.runCycle(home)
		if waiting := c.tasksInFullChunks(fixture.cluster.Jobs[spec.ID]); waiting == 0 {
			t.Fatal("no task waits because of a full record")
		}
		if unmet := c.demand.unmet; len(unmet.Groups) > 0 || c.preempting.machines > 0 {
			t.Errorf("machines are wanted for %+v, tasks are stopped on %d", unmet.Groups, c.preempting.machines)
		}
	})
}
