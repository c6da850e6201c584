package scheduler

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

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
