package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// benchmarkSizes are the numbers of machines for which cycles are benchmarked.
var benchmarkSizes = []int{1500, 5000, 15000}

// newCrowdedCluster returns a cluster in which four fifths of the machines are in use, with one waiting array per eight
// machines.
func newCrowdedCluster(tb testing.TB, machines int) *testCluster {
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

// occupy adds a job that uses a whole machine.
func occupy(cluster *testCluster, i int, machine string) {
	running := record.Task{State: record.TaskBound, Attempt: 1, Machine: machine, Session: 1}
	cluster.addJob(gangSpec(1000000+i, 1), running)
}

// BenchmarkCycleBySize measures a cycle that has capacity for a fifth of the waiting work. docs/limits.md lists the
// ratios between the sizes, from one run.
func BenchmarkCycleBySize(b *testing.B) {
	for _, machines := range benchmarkSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := newCrowdedCluster(b, machines)
			b.ReportAllocs()
			for b.Loop() {
				cluster.runCycle(0)
			}
		})
	}
}

// BenchmarkCycleWithoutCapacityBySize measures a cycle with a long queue and no free capacity.
func BenchmarkCycleWithoutCapacityBySize(b *testing.B) {
	for _, machines := range benchmarkSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := newCrowdedCluster(b, machines)
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

// BenchmarkCycleDuringStartupBySize measures a cycle during the startup of a cluster: a third of the machines are up,
// the others are booting, and services, gangs and arrays with many different images wait.
func BenchmarkCycleDuringStartupBySize(b *testing.B) {
	for _, machines := range benchmarkSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			cluster := newBootingCluster(b, machines)
			engine := cluster.engines[0]
			b.ReportAllocs()
			for b.Loop() {
				engine.demand.unmet.ComputedAt = testNow.Add(-time.Hour)
				cluster.runCycle(0)
			}
		})
	}
}

// newBootingCluster returns a cluster in which two thirds of the machines are booting, with one waiting job per six
// machines.
func newBootingCluster(tb testing.TB, machines int) *testCluster {
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

// BenchmarkCycle measures a cycle of a large cluster with some free capacity and a queue.
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
