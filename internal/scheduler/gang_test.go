package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// drawPartlyUsedMachines adds machines, some of them in use, and returns the number of free ones by zone.
func drawPartlyUsedMachines(t *rapid.T, fixture *testCluster) map[string]int {
	free := map[string]int{}
	for i := range rapid.IntRange(1, 90).Draw(t, "machines") {
		name := fixture.addMachine(i, false)
		if rapid.IntRange(0, 2).Draw(t, "used") == 0 {
			fixture.addJob(arraySpec(5000+i, 1), boundTask(0, name))
		} else {
			free[testZones[i%len(testZones)]]++
		}
	}
	return free
}

// checkGangBindings checks that the bindings of one gang by one node are on different machines in one zone, are charged
// to the node's own shard and have a condition on the ownership of each shard involved.
func checkGangBindings(t *rapid.T, fixture *testCluster, shard int, change *recordChange, bindings []inFlightBinding) {
	guarded := map[string]bool{}
	for _, condition := range change.transaction.Conditions {
		guarded[condition.Key] = true
	}
	used := map[string]bool{}
	zoneOf := func(binding inFlightBinding) string { return fixture.cluster.Machines[binding.machine].Zone }
	for _, binding := range bindings {
		if used[binding.machine] || zoneOf(binding) != zoneOf(bindings[0]) {
			t.Errorf("%s is bound twice or in another zone", binding.machine)
		}
		used[binding.machine] = true
		machineShard := record.ShardOf(binding.machine, testShards)
		if !guarded[record.ShardKey(machineShard)] || !guarded[record.ShardKey(binding.chargedShard)] {
			t.Errorf("no condition on the shards of %v: %v", binding, guarded)
		}
		if binding.chargedShard != shard {
			t.Errorf("node %d charges shard %d", shard, binding.chargedShard)
		}
	}
}

// TestGangIsPlacedWhole checks that one node binds all tasks of a gang in one change, on free machines in one zone and
// with a condition on each shard involved, or that no node binds any.
func TestGangIsPlacedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		free := drawPartlyUsedMachines(t, fixture)
		tasks := rapid.SampledFrom([]int{1, 2, 4, 8, 16, 32}).Draw(t, "tasks")
		fixture.addJob(gangSpec(1, tasks))
		want := 0
		for _, machines := range free {
			if machines >= tasks {
				want = tasks
			}
		}
		bound := 0
		for shard := range testShards {
			c, bindings := fixture.runCycle(shard)
			if len(bindings) > 0 {
				checkGangBindings(t, fixture, shard, c.outgoing[0], bindings)
			}
			bound += len(bindings)
		}
		if bound != want {
			t.Errorf("%d tasks bound, want %d", bound, want)
		}
	})
}

// TestRestOfGangIsPlacedWhileItsRecordsAreWritten guards against capacity that is allocated or rented once more for
// tasks of a partly bound gang whose bindings are in flight, because only the gang's own record was looked at.
func TestRestOfGangIsPlacedWhileItsRecordsAreWritten(t *testing.T) {
	const tasks, chunkWidth, failedChunk = 640, 16, 3 // more records than one transaction changes
	for _, spread := range []bool{false, true} {
		fixture := newTestCluster(t)
		for zone := range 2 {
			fixture.addMachinesInZone(zone, tasks/2/tasksPerMachine)
		}
		spec := spreadSpec(wire.KindGang, wire.PriorityHigh, tasks)
		spec.Spread = spread
		fixture.putSpreadJob(spec, chunkWidth)
		home, job := record.ShardOf(spec.ID, testShards), fixture.cluster.Jobs[spec.ID]
		fixture.own(record.LeaderShard, fmt.Sprintf("node-%d", home))
		c, _ := fixture.runCycle(home)
		for _, change := range c.outgoing {
			switch {
			case writesRecord(change, job.ChunkKey(0)):
				fixture.apply(&cycle{outgoing: []*recordChange{change}})
			case !writesRecord(change, job.ChunkKey(failedChunk)):
				fixture.engines[home].changes.start(change)
			}
		}
		testNow = testNow.Add(tuning.DemandInterval)
		c, bindings := fixture.runCycle(home)
		if unmet := c.demand.unmet.Groups; len(bindings) != chunkWidth || len(unmet) != 0 {
			t.Errorf("spread %v: %d tasks bound, want %d; machines wanted for %v", spread, len(bindings),
				chunkWidth, unmet)
		}
	}
}
