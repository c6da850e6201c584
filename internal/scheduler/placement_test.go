package scheduler

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestLongQueueBehindFullCluster checks that a cycle doesn't compare each of hundreds of jobs of different shapes with
// each machine when the cluster has no free capacity.
func TestLongQueueBehindFullCluster(t *testing.T) {
	const machines, jobs, gangSize = 1500, 500, 100
	fixture := newTestCluster(t)
	var tasks []record.Task
	for i := range machines {
		tasks = append(tasks, boundTask(len(tasks), fixture.addMachine(i, false)))
		if len(tasks) == gangSize {
			spec := gangSpec(100000+i, gangSize)
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
	c, bindings := fixture.runCycle(0)
	if len(bindings) != 0 {
		t.Fatalf("%d tasks bound without free capacity", len(bindings))
	}
	if examined := c.inventory.Examined(); examined > 2*machines {
		t.Errorf("%d machines examined for %d jobs on %d machines", examined, jobs, machines)
	}
	if groups := len(c.demand.unmet.Groups); groups != jobs {
		t.Errorf("unmet demand lists %d of %d jobs", groups, jobs)
	}
}

// TestArrayIsBoundByOneShard checks that, with free capacity in all shards, one node binds all of an array's tasks in
// its own shard and in one change, and the other nodes bind none. Several writers of one record would fail each other's
// conditions and use up the request budget of the key-value store.
func TestArrayIsBoundByOneShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		for i := range rapid.IntRange(60, 120).Draw(t, "machines") {
			fixture.addMachine(i, i%2 == 0)
		}
		tasks := rapid.IntRange(1, 20).Draw(t, "tasks")
		fixture.addJob(arraySpec(rapid.IntRange(1, 1000).Draw(t, "id"), tasks))
		writers, bound := 0, 0
		for shard := range testShards {
			c, bindings := fixture.runCycle(shard)
			if len(bindings) > 0 {
				writers++
				if len(c.outgoing) != 1 {
					t.Errorf("%d changes, want 1", len(c.outgoing))
				}
			}
			for _, binding := range bindings {
				if record.ShardOf(binding.machine, testShards) != shard {
					t.Errorf("node %d binds a task to %s in another shard", shard, binding.machine)
				}
			}
			bound += len(bindings)
		}
		if writers != 1 || bound != tasks {
			t.Errorf("%d nodes bound %d of %d tasks", writers, bound, tasks)
		}
	})
}

// TestPlacementPrefersMachinesWithTheImage checks that among machines with free capacity those that hold the image are
// used, also in the shards of other nodes, whose images are known from hints.
func TestPlacementPrefersMachinesWithTheImage(t *testing.T) {
	fixture := newTestCluster(t)
	held := map[string]map[string]bool{"g": {}}
	for i := range 60 {
		if name := fixture.addMachine(i, false); i < 9 {
			held["g"][name] = true
			fixture.agents[record.ShardOf(name, testShards)].RecordImageUse(name, "g", 4, testType.ImageCacheGB)
		}
	}
	fixture.addJob(gangSpec(1, 3))
	bound := 0
	for i, engine := range fixture.engines {
		engine.inventoryCache.remoteImages = imageHints{machinesByImage: held, updatedAt: testNow}
		_, bindings := fixture.runCycle(i)
		bound += len(bindings)
		for _, binding := range bindings {
			if !held["g"][binding.machine] {
				t.Errorf("%s does not hold the image", binding.machine)
			}
		}
	}
	if bound != 3 {
		t.Errorf("%d of 3 tasks bound", bound)
	}
}

// TestServicesSpreadWhenConfigured checks the operators' setting that spreads services which don't ask for it: at most
// half of a service is placed in one zone while another zone has free capacity. If only one zone has, all of it goes
// there.
func TestServicesSpreadWhenConfigured(t *testing.T) {
	for _, zones := range []int{1, 2} {
		for _, spreads := range []bool{false, true} {
			count, bound := placeService(t, zones, spreads)
			if bound != 6 || spreads && zones == 2 && (count["east"] != 3 || count["west"] != 3) {
				t.Errorf("%d zones with capacity, spread %v: %v", zones, spreads, count)
			}
		}
	}
}

// placeService places a service of six replicas on machines in the given number of zones. It returns the number of
// bound replicas, by zone and in total.
func placeService(t *testing.T, zones int, spreads bool) (count map[string]int, bound int) {
	t.Helper()
	fixture := newTestCluster(t)
	for i := range 40 {
		if i%len(testZones) < zones {
			fixture.addMachine(i, false)
		}
	}
	fixture.addJob(serviceSpec("run-000007", 6))
	count = map[string]int{}
	for i, engine := range fixture.engines {
		engine.operator.SpreadServices = spreads
		_, bindings := fixture.runCycle(i)
		for _, binding := range bindings {
			count[fixture.cluster.Machines[binding.machine].Zone]++
			bound++
		}
	}
	return count, bound
}

// TestZoneOfMultiChunkJobIsChosenOnce checks a job with several chunks whose tasks must be in one zone. A change that
// binds tasks of any chunk also writes the job's own record, so that two nodes that choose a zone at the same time
// conflict. While a task is bound to a machine without a record, its zone is unknown and no other task is bound.
func TestZoneOfMultiChunkJobIsChosenOnce(t *testing.T) {
	for _, lost := range []bool{false, true} {
		fixture := newTestCluster(t)
		for i := range 30 {
			fixture.addMachine(i, false)
		}
		spec := arraySpec(1, tuning.FixedChunkTasks+4)
		spec.SameZone, spec.CPUs, spec.GPUs, spec.MemoryGB = true, 1, 0, 1
		var first []record.Task
		for i := range tuning.FixedChunkTasks {
			first = append(first, record.Task{Index: i, State: record.TaskDone, Attempt: 1})
		}
		if lost {
			first[0] = boundTask(0, "vm-999999")
		}
		fixture.addJob(spec, first...)
		bound := 0
		for i := range fixture.engines {
			c, bindings := fixture.runCycle(i)
			bound += len(bindings)
			for _, change := range c.outgoing {
				if len(change.bindings) > 0 && !writesRecord(change, record.JobKey(spec.ID)) {
					t.Errorf("node %d binds tasks without the job's own record: %v", i, change.keys)
				}
			}
		}
		if (bound == 0) != lost {
			t.Errorf("task on an unknown machine: %v, %d tasks bound", lost, bound)
		}
	}
}

// writesRecord reports whether a change writes a record.
func writesRecord(change *recordChange, key string) bool {
	return slices.ContainsFunc(change.transaction.Ops, func(op wire.Op) bool { return op.PutKey == key })
}

// TestServiceWithoutReplicasGetsOneFirst guards against a service that has lost all its replicas and waits for the
// second replicas of others, because its first task was never started.
func TestServiceWithoutReplicasGetsOneFirst(t *testing.T) {
	const chunkWidth = 16
	for _, lost := range []int{0, chunkWidth} {
		fixture := newTestCluster(t)
		fixture.addMachinesInZone(0, 1)
		other := spreadSpec(wire.KindService, wire.PriorityProduction, tasksPerMachine)
		other.ID, other.Spread = "run-1", false
		fixture.putSpreadJob(other, 0)
		spec := spreadSpec(wire.KindService, wire.PriorityProduction, 2*chunkWidth)
		spec.Spread = false
		fixture.putSpreadJob(spec, chunkWidth)
		job := fixture.cluster.Jobs[spec.ID]
		released := job.EncodeChunk(job.ChunkOf(lost), map[int]record.Task{
			lost: {Index: lost, State: record.TaskPending, Attempt: 1},
		})
		fixture.apply(&cycle{outgoing: []*recordChange{{transaction: kvstore.Transaction{Ops: []wire.Op{released}}}}})
		for _, engine := range fixture.engines {
			engine.demand.lastServiceShortage = testNow
		}
		fixture.scheduleUntilSettled()
		if bound := fixture.cluster.Jobs[spec.ID].BoundCount; bound == 0 {
			t.Errorf("no replica of the service that lost task %d", lost)
		}
	}
}
