package scheduler

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
)

// TestGangIsPlacedWhole: one node binds all tasks of a gang in one change, in
// one zone, on machines with room for them, guarded by every part concerned; or
// none binds any.
func TestGangIsPlacedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newTestCluster(nil)
		free := map[string]int{}
		zone := map[string]string{}
		for i := range rapid.IntRange(1, 90).Draw(t, "machines") {
			name := fixture.addMachine(i, false)
			zone[name] = testZones[i%len(testZones)]
			if rapid.IntRange(0, 2).Draw(t, "used") == 0 {
				spec := arraySpec(5000+i, 1)
				fixture.addJob(spec, record.Task{State: record.TaskBound, Attempt: 1, Machine: name, Session: 1})
			} else {
				free[zone[name]]++
			}
		}
		n := rapid.SampledFrom([]int{1, 2, 4, 8, 16, 32}).Draw(t, "tasks")
		fixture.addJob(gangSpec(1, n))
		fits := false
		for _, count := range free {
			fits = fits || count >= n
		}
		total := 0
		for i := range testShards {
			c, bound := fixture.runCycle(i)
			if len(bound) == 0 {
				continue
			}
			total += len(bound)
			seen := map[string]bool{}
			guards := map[string]bool{}
			for _, g := range c.outgoing[0].transaction.Conditions {
				guards[g.Key] = true
			}
			for _, b := range bound {
				if seen[b.machine] || zone[b.machine] != zone[bound[0].machine] {
					t.Errorf("%s twice or in another zone", b.machine)
				}
				seen[b.machine] = true
				if !guards[record.ShardKey(record.ShardOf(b.machine, testShards))] || !guards[record.ShardKey(b.chargedShard)] {
					t.Errorf("no guard for the parts of %v: %v", b, guards)
				}
				if b.chargedShard != i {
					t.Errorf("node %d charges part %d", i, b.chargedShard)
				}
			}
		}
		if want := map[bool]int{true: n}[fits]; total != want {
			t.Errorf("%d tasks bound, want %d", total, want)
		}
	})
}
