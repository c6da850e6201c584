package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// benchmarkSizes are the numbers of machines that cycles are measured with.
var benchmarkSizes = []int{1500, 5000, 15000}

// newCrowdedRegion is a region of which four fifths of the machines are in use, and a queue of an eighth as
// many waiting arrays.
func newCrowdedRegion(tb testing.TB, machines int) *testCluster {
	cluster := newTestCluster(tb)
	for i := range machines {
		name := cluster.addMachine(i, i%2 == 0)
		if i%5 != 0 {
			occupy(cluster, i, name)
		}
	}
	for i := range machines / 8 {
		cluster.addJob(arraySpec(i, 40))
	}
	return cluster
}

// occupy adds a job that takes a machine whole.
func occupy(cluster *testCluster, i int, machine string) {
	running := record.Task{State: record.TaskBound, Attempt: 1, Machine: machine, Session: 1}
	cluster.addJob(gangSpec(1000000+i, 1), running)
}

// BenchmarkCycleBySize is a cycle that has capacity for a fifth of what waits. Its ratios from size to size,
// in one run, are in docs/limits.md.
func BenchmarkCycleBySize(b *testing.B) {
	for _, machines := range benchmarkSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := newCrowdedRegion(b, machines)
			b.ReportAllocs()
			for b.Loop() {
				cluster.runCycle(0)
			}
		})
	}
}

// BenchmarkCycleWithoutCapacityBySize is a cycle with a long queue and no capacity at all.
func BenchmarkCycleWithoutCapacityBySize(b *testing.B) {
	for _, machines := range benchmarkSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := newCrowdedRegion(b, machines)
			for i := 0; i < machines; i += 5 {
				occupy(cluster, i, fmt.Sprintf("vm-%06d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				cluster.runCycle(0)
			}
		})
	}
}

// BenchmarkCycleDuringStartupBySize is a cycle while a region comes up: a third of the machines are there, the
// others are booting, and services, gangs and arrays of many images wait.
func BenchmarkCycleDuringStartupBySize(b *testing.B) {
	for _, machines := range benchmarkSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := newBootingRegion(b, machines)
			engine := cluster.engines[0]
			b.ReportAllocs()
			for b.Loop() {
				engine.demand.unmet.ComputedAt = testNow.Add(-time.Hour)
				cluster.runCycle(0)
			}
		})
	}
}

// newBootingRegion is a region of which two thirds of the machines are booting, and a queue of a sixth as many
// waiting jobs.
func newBootingRegion(tb testing.TB, machines int) *testCluster {
	cluster := newTestCluster(tb)
	for i := range machines {
		if i%3 == 0 {
			cluster.addMachine(i, i%2 == 0)
			continue
		}
		cluster.put(record.MachineKey(fmt.Sprintf("vm-%06d", i)), record.Machine{
			Type: "m", Zone: testZones[i%len(testZones)], Spot: i%2 == 0, CreatedAtMs: testNow.UnixMilli(),
		})
	}
	for i := range machines / 6 {
		spec := arraySpec(i, 40)
		switch i % 3 {
		case 0:
			spec = gangSpec(i, 1<<(i%6))
		case 1:
			spec = wire.JobSpec{
				ID: spec.ID, Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4 + i%8,
				CPUs: 5, GPUs: 1, MemoryGB: 38, Spread: true,
			}
		}
		spec.Image = fmt.Sprint("image-", i%36)
		cluster.addJob(spec)
	}
	return cluster
}

// BenchmarkCycle is one cycle of a large region with some room and a queue.
func BenchmarkCycle(b *testing.B) {
	cluster := newTestCluster(b)
	for i := range 1500 {
		name := cluster.addMachine(i, i%2 == 0)
		if i%5 != 0 {
			cluster.addJob(gangSpec(100000+i, 1), boundTask(0, name))
		}
	}
	for i := range 200 {
		cluster.addJob(arraySpec(i, 40))
	}
	b.ReportAllocs()
	for b.Loop() {
		cluster.runCycle(0)
	}
}
