package preempt

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/fit"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// TestNobodyStopsEachOther: over all ranks and guarantees, of two jobs at most one may
// stop the other, else they would take turns for ever; and of one team none of one rank.
func TestNobodyStopsEachOther(t *testing.T) {
	type side struct {
		c Claim
		h Holder
	}
	var sides []side
	for rank := range wire.Ranks {
		for bits := range 32 {
			team, guaranteed := fmt.Sprint("t", bits&1), bits&2 != 0
			assured := bits&4 != 0 && guaranteed
			sides = append(sides, side{Claim{Rank: rank, Assured: assured, Promised: bits&8 != 0, Team: team}, Holder{Rank: rank, Assured: assured, Guaranteed: guaranteed, Passing: bits&16 != 0, Team: team}})
		}
	}
	over := 0
	for _, a := range sides {
		for _, b := range sides {
			ab, ba := a.c.Over(b.h), b.c.Over(a.h)
			if ab {
				over++
			}
			if ab && ba {
				t.Errorf("%+v and %+v stop each other", a.c, b.c)
			}
			if ab && b.c.Rank < a.c.Rank {
				t.Errorf("%+v stops %+v of higher priority", a.c, b.h)
			}
			if ab && a.c.Rank == b.c.Rank && b.h.Passing && !a.c.Promised {
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
func TestCheapestAgainstAllMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := world.Amount{GPUs: float64(rapid.IntRange(1, 4).Draw(t, "need"))}
		tasks := map[*fit.Node][]Task{}
		var nodes []*fit.Node
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			n := &fit.Node{M: &world.Machine{Name: fmt.Sprint("m", i)}, Free: world.Amount{GPUs: float64(rapid.IntRange(0, 2).Draw(t, "free"))}}
			nodes = append(nodes, n)
			for k := range rapid.IntRange(0, 4).Draw(t, "tasks") {
				j := &world.Job{}
				j.Spec = wire.Spec{ID: "j", GPUs: float64(rapid.IntRange(1, 2).Draw(t, "gpus"))}
				tasks[n] = append(tasks[n], Task{Bound: world.Binding{Ref: world.TaskRef{Job: n.M.Name, Index: k}, Job: j},
					Rank: rapid.IntRange(1, 3).Draw(t, "rank"), Cost: float64(rapid.IntRange(1, 50).Draw(t, "cost"))})
			}
		}
		best, stop := Cheapest(need, nodes, func(n *fit.Node) []Task { return tasks[n] })
		cost := math.Inf(1)
		if best != nil {
			cost = 0
			freed := best.Free
			for i, s := range stop {
				if need.Within(freed) {
					t.Errorf("task %d is stopped for nothing", i)
				}
				freed = freed.Plus(world.Need(&s.Bound.Job.Spec), 1)
				cost += s.Cost
			}
			if !need.Within(freed) {
				t.Errorf("%v freed for %v", freed, need)
			}
		}
		for _, n := range nodes {
			sum, free := 0.0, n.Free
			for _, x := range tasks[n] { // in order by now
				if need.Within(free) {
					break
				}
				sum += x.Cost
				free = free.Plus(world.Need(&x.Bound.Job.Spec), 1)
			}
			if need.Within(free) && sum < cost {
				t.Errorf("%s makes room for %v, chosen for %v", n.M.Name, sum, cost)
			}
		}
	})
}
