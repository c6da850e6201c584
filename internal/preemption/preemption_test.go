package preemption

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestNobodyStopsEachOther: over all ranks and guarantees, of two jobs at most one may
// stop the other, else they would take turns for ever; and of one team none of one rank.
func TestNoMutualPreemption(t *testing.T) {
	type side struct {
		c Preemptor
		h RunningJob
	}
	var sides []side
	for rank := range wire.PriorityCount {
		for bits := range 32 {
			team, guaranteed := fmt.Sprint("t", bits&1), bits&2 != 0
			assured := bits&4 != 0 && guaranteed
			sides = append(sides, side{Preemptor{Rank: rank, WithinGuarantee: assured, GuaranteedOnArrival: bits&8 != 0, Team: team}, RunningJob{Rank: rank, WithinGuarantee: assured, TeamHasGuarantee: guaranteed, EndsSoon: bits&16 != 0, Team: team}})
		}
	}
	over := 0
	for _, a := range sides {
		for _, b := range sides {
			ab, ba := a.c.MayPreempt(b.h), b.c.MayPreempt(a.h)
			if ab {
				over++
			}
			if ab && ba {
				t.Errorf("%+v and %+v stop each other", a.c, b.c)
			}
			if ab && b.c.Rank < a.c.Rank {
				t.Errorf("%+v stops %+v of higher priority", a.c, b.h)
			}
			if ab && a.c.Rank == b.c.Rank && b.h.EndsSoon && !a.c.GuaranteedOnArrival {
				t.Errorf("%+v, not promised, stops %+v that ends soon", a.c, b.h)
			}
			if ab && a.c.Team == b.c.Team && a.c.Rank == b.c.Rank {
				t.Errorf("%+v stops its team's own %+v", a.c, b.h)
			}
		}
	}
	if over == 0 {
		t.Error("nothing is ever stopped")
	}
}

// TestCheapestAgainstAllMachines: no machine makes room at a lower cost than the one
// chosen, the tasks stopped make room, and none of them could be spared.
func TestCheapestMachineIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := record.Resources{GPUs: float64(rapid.IntRange(1, 4).Draw(t, "need"))}
		tasks := map[*binpack.MachineInfo][]Victim{}
		var machines []*binpack.MachineInfo
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			machine := &binpack.MachineInfo{Machine: &clusterstate.Machine{Name: fmt.Sprint("m", i)}, Free: record.Resources{GPUs: float64(rapid.IntRange(0, 2).Draw(t, "free"))}}
			machines = append(machines, machine)
			for k := range rapid.IntRange(0, 4).Draw(t, "tasks") {
				job := &clusterstate.Job{}
				job.Spec = wire.JobSpec{ID: "j", GPUs: float64(rapid.IntRange(1, 2).Draw(t, "gpus"))}
				tasks[machine] = append(tasks[machine], Victim{Binding: clusterstate.Binding{Ref: record.TaskRef{JobID: machine.Machine.Name, Index: k}, Job: job},
					Rank: rapid.IntRange(1, 3).Draw(t, "rank"), LostMachineSeconds: float64(rapid.IntRange(1, 50).Draw(t, "cost"))})
			}
		}
		best, stop := CheapestMachine(need, machines, func(machine *binpack.MachineInfo) []Victim { return tasks[machine] })
		cost := math.Inf(1)
		if best != nil {
			cost = 0
			freed := best.Free
			for i, victim := range stop {
				if need.FitsIn(freed) {
					t.Errorf("task %d is stopped for nothing", i)
				}
				freed = freed.Plus(record.TaskResources(&victim.Binding.Job.Spec))
				cost += victim.LostMachineSeconds
			}
			if !need.FitsIn(freed) {
				t.Errorf("%v freed for %v", freed, need)
			}
		}
		for _, machine := range machines {
			sum, free := 0.0, machine.Free
			for _, x := range tasks[machine] { // in order by now
				if need.FitsIn(free) {
					break
				}
				sum += x.LostMachineSeconds
				free = free.Plus(record.TaskResources(&x.Binding.Job.Spec))
			}
			if need.FitsIn(free) && sum < cost {
				t.Errorf("%s makes room for %v, chosen for %v", machine.Machine.Name, sum, cost)
			}
		}
	})
}
