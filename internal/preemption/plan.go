package preemption

import (
	"cmp"
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// Victim is a running task that may be stopped.
type Victim struct {
	Binding     clusterstate.Binding
	Rank        int     // rank of its job's priority; 0 is the highest
	LostSeconds float64 // run time lost if it is stopped, in seconds; not weighted by the task's size
}

// Plan describes which tasks to stop on one machine.
type Plan struct {
	Machine     *binpack.MachineInfo
	Victims     []Victim
	LostSeconds float64 // sum over all victims
}

// CheapestPlan returns the plan that frees enough capacity for need on one of the machines with the least loss of work.
// Among equally cheap plans it returns the one for the earliest machine in machines. victimsOn returns the tasks that
// may be stopped on a machine; CheapestPlan sorts the returned slice in place into the order in which they are stopped,
// see sortVictims. ok is false if no machine can free enough capacity.
func CheapestPlan(
	need record.Resources, machines []*binpack.MachineInfo, victimsOn func(*binpack.MachineInfo) []Victim,
) (cheapest Plan, ok bool) {
	for _, machine := range machines {
		victims := victimsOn(machine)
		sortVictims(victims)
		plan, freesEnough := shortestPlan(need, machine, victims)
		if freesEnough && (!ok || plan.LostSeconds < cheapest.LostSeconds) {
			cheapest, ok = plan, true
		}
	}
	return cheapest, ok
}

// sortVictims sorts tasks into the order in which they are stopped: those of the lowest priority first, and among tasks
// of equal priority those that lose the least work.
func sortVictims(victims []Victim) {
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(
			-cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(a.LostSeconds, b.LostSeconds),
			cmp.Compare(a.Binding.Ref.String(), b.Binding.Ref.String()),
		)
	})
}

// shortestPlan returns the plan that stops the fewest of the victims, in the given order, such that need fits into the
// capacity that is then free. ok is false if need does not fit even when all victims are stopped.
func shortestPlan(need record.Resources, machine *binpack.MachineInfo, victims []Victim) (plan Plan, ok bool) {
	plan.Machine = machine
	free := machine.Free
	for i := range victims {
		if need.FitsIn(free) {
			plan.Victims = victims[:i]
			return plan, true
		}
		free = free.Plus(record.TaskResources(&victims[i].Binding.Job.Spec))
		plan.LostSeconds += victims[i].LostSeconds
	}
	plan.Victims = victims
	return plan, need.FitsIn(free)
}
