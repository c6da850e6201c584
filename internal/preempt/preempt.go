// Package preempt decides which running tasks make room for one that waits.
//
// It decides only. Who owns what, what a task would lose, and the stopping itself are its
// caller's: all nodes find the same part by what all know, the part's owner finds the
// machine and the tasks.
package preempt

import (
	"cmp"
	"math"
	"slices"

	"sableusher/internal/fit"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Claim is what a waiting job brings against others.
type Claim struct {
	Rank    int  // of its priority; 0 is the highest
	Assured bool // within its team's guarantee
	// Promised: it was within it when it came, so that its team need not wait for others. What
	// comes to lie within it later, as the team's earlier work ends, has its turn in order.
	Promised bool
	Team     string
	Need     world.Amount // of each task
}

// Holder is what a running job has to say for itself.
type Holder struct {
	Rank       int
	Assured    bool
	Guaranteed bool // its team has a guarantee
	Passing    bool // its tasks end by themselves before long: their room comes back anyway
	Team       string
}

// Over tells whether a holder's tasks may be stopped for the claim: they have a lower
// priority, or another team borrows with them what the job's team is guaranteed. For what
// was not promised nothing is stopped that ends soon: in a burst that fills all guarantees
// arrays of all teams once stopped each other 2,500 times on a day, half of them within 4 s
// of being placed, each for a save, a fetch and three changes of records.
func (c Claim) Over(h Holder) bool {
	if h.Rank > c.Rank {
		return !h.Assured || c.Rank <= wire.Rank(wire.PriorityHigh)
	}
	return c.Assured && h.Guaranteed && !h.Assured && h.Team != c.Team && h.Rank == c.Rank && (c.Promised || !h.Passing)
}

// Room gives, up to a number, those of some machines on which a task would have room once
// what yields to its rank has left, and has none now.
func Room(from []*fit.Node, a *fit.Ask, rank int, z *fit.Zones, most int) []*fit.Node {
	var out []*fit.Node
	for _, n := range from {
		// What costs least to see is asked first: most machines fall out by it.
		if n.Kept != "" || a.Need.Within(n.Free) {
			continue
		}
		free := n.Free
		for r := rank; r < len(n.M.Yield); r++ {
			free = free.Plus(n.M.Yield[r], 1)
		}
		if !a.Need.Within(free) || !fit.Allowed(a.Spec, n.M) || !z.Open(n.M.Zone) {
			continue
		}
		if out = append(out, n); len(out) >= most {
			break
		}
	}
	return out
}

// Task is a running task that may be stopped.
type Task struct {
	Bound world.Binding
	Rank  int
	Cost  float64 // work lost when it is stopped, in machine seconds
}

// Order puts tasks in the order in which they are stopped: the lowest priority first, of
// one priority what loses least.
func Order(tasks []Task) {
	slices.SortFunc(tasks, func(a, b Task) int {
		return cmp.Or(-cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Bound.Ref.String(), b.Bound.Ref.String()))
	})
}

// Enough gives the first of some tasks in order that make room for a need together with
// what is free, and their cost; ok is false if all of them don't.
func Enough(need, free world.Amount, tasks []Task) (take []Task, cost float64, ok bool) {
	for i, t := range tasks {
		if need.Within(free) {
			return tasks[:i], cost, true
		}
		free = free.Plus(world.Need(&t.Bound.Job.Spec), 1)
		cost += t.Cost
	}
	return tasks, cost, need.Within(free)
}

// Cheapest finds among machines the one where making room costs least; tasks gives those
// that may be stopped on one. It gives nil if none makes room.
func Cheapest(need world.Amount, from []*fit.Node, tasks func(*fit.Node) []Task) (*fit.Node, []Task) {
	var best *fit.Node
	var stop []Task
	least := math.Inf(1)
	for _, n := range from {
		list := tasks(n)
		Order(list)
		if take, cost, ok := Enough(need, n.Free, list); ok && cost < least {
			best, stop, least = n, take, cost
		}
	}
	return best, stop
}
