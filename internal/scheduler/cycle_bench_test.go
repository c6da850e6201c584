package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// newCrowdedRegion is a region of n machines of which four fifths are in use, and a queue of
// n/8 arrays that wait.
func newCrowdedRegion(tb testing.TB, machines int) *testCluster {
	fixture := newTestCluster(tb)
	for i := range machines {
		name := fixture.addMachine(i, i%2 == 0)
		if i%5 != 0 {
			spec := gangSpec(1000000+i, 1)
			fixture.addJob(spec, record.Task{State: record.TaskBound, Attempt: 1, Machine: name, Session: 1})
		}
	}
	for i := range machines / 8 {
		fixture.addJob(arraySpec(i, 40))
	}
	return fixture
}

// BenchmarkCycleBySize is a round that has room for a fifth of what waits. Its
// ratios from size to size, in one run, are in docs/limits.md.
func BenchmarkCycleBySize(b *testing.B) {
	for _, machines := range []int{1500, 5000, 15000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			fixture := newCrowdedRegion(b, machines)
			b.ReportAllocs()
			for b.Loop() {
				fixture.runCycle(0)
			}
		})
	}
}

// BenchmarkCycleWithoutCapacityBySize is a round with a long queue and no room at all.
func BenchmarkCycleWithoutCapacityBySize(b *testing.B) {
	for _, machines := range []int{1500, 5000, 15000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			fixture := newCrowdedRegion(b, machines)
			for i := 0; i < machines; i += 5 {
				spec := gangSpec(1000000+i, 1)
				fixture.addJob(spec, record.Task{State: record.TaskBound, Attempt: 1, Machine: fmt.Sprintf("vm-%06d", i), Session: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				fixture.runCycle(0)
			}
		})
	}
}

// BenchmarkCycleDuringStartupBySize is a round while a region comes up: a third of the machines are
// there, the others are booting, and services, gangs and arrays of many images wait.
func BenchmarkCycleDuringStartupBySize(b *testing.B) {
	for _, machines := range []int{1500, 5000, 15000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			fixture := newTestCluster(b)
			for i := range machines {
				if i%3 == 0 {
					fixture.addMachine(i, i%2 == 0)
					continue
				}
				name := fmt.Sprintf("vm-%06d", i)
				fixture.put(record.MachineKey(name), record.Machine{Type: "m", Zone: testZones[i%len(testZones)], Spot: i%2 == 0, CreatedAtMs: testNow.UnixMilli()})
			}
			for i := range machines / 6 {
				spec := arraySpec(i, 40)
				switch i % 3 {
				case 0:
					spec = gangSpec(i, 1<<(i%6))
				case 1:
					spec = wire.JobSpec{ID: spec.ID, Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4 + i%8, CPUs: 5, GPUs: 1, MemoryGB: 38, Spread: true}
				}
				spec.Image = fmt.Sprint("image-", i%36)
				fixture.addJob(spec)
			}
			engine := fixture.engines[0]
			b.ReportAllocs()
			for b.Loop() {
				engine.demand.ComputedAt = testNow.Add(-time.Hour)
				fixture.runCycle(0)
			}
		})
	}
}
