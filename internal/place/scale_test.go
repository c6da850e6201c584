package place

import (
	"fmt"
	"testing"
	"time"

	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// crowd is a region of n machines of which four fifths are in use, and a queue of
// n/8 arrays that wait.
func crowd(tb testing.TB, n int) *testCluster {
	f := newTestCluster(tb)
	for i := range n {
		name := f.addMachine(i, i%2 == 0)
		if i%5 != 0 {
			s := gangSpec(1000000+i, 1)
			f.addJob(s, world.Task{State: world.TaskBound, Attempt: 1, Machine: name, Session: 1})
		}
	}
	for i := range n / 8 {
		f.addJob(arraySpec(i, 40))
	}
	return f
}

// BenchmarkRoundBySize is a round that has room for a fifth of what waits. Its
// ratios from size to size, in one run, are in docs/limits.md.
func BenchmarkRoundBySize(b *testing.B) {
	for _, n := range []int{1500, 5000, 15000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := crowd(b, n)
			b.ReportAllocs()
			for b.Loop() {
				f.runCycle(0)
			}
		})
	}
}

// BenchmarkFullRoundBySize is a round with a long queue and no room at all.
func BenchmarkFullRoundBySize(b *testing.B) {
	for _, n := range []int{1500, 5000, 15000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := crowd(b, n)
			for i := 0; i < n; i += 5 {
				s := gangSpec(1000000+i, 1)
				f.addJob(s, world.Task{State: world.TaskBound, Attempt: 1, Machine: fmt.Sprintf("vm-%06d", i), Session: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				f.runCycle(0)
			}
		})
	}
}

// BenchmarkStartBySize is a round while a region comes up: a third of the machines are
// there, the others are booting, and services, gangs and arrays of many images wait.
func BenchmarkStartBySize(b *testing.B) {
	for _, n := range []int{1500, 5000, 15000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newTestCluster(b)
			for i := range n {
				if i%3 == 0 {
					f.addMachine(i, i%2 == 0)
					continue
				}
				name := fmt.Sprintf("vm-%06d", i)
				f.put(world.MachineKey(name), world.MachineRecord{Type: "m", Zone: testZones[i%len(testZones)], Spot: i%2 == 0, CreatedAtMs: testNow.UnixMilli()})
			}
			for i := range n / 6 {
				s := arraySpec(i, 40)
				switch i % 3 {
				case 0:
					s = gangSpec(i, 1<<(i%6))
				case 1:
					s = wire.JobSpec{ID: s.ID, Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4 + i%8, CPUs: 5, GPUs: 1, MemoryGB: 38, Spread: true}
				}
				s.Image = fmt.Sprint("image-", i%36)
				f.addJob(s)
			}
			e := f.engines[0]
			b.ReportAllocs()
			for b.Loop() {
				e.demand.At = testNow.Add(-time.Hour)
				f.runCycle(0)
			}
		})
	}
}
