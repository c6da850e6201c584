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
	Binding            clusterstate.Binding
	Rank               int     // of its job's priority
	LostMachineSeconds float64 // work lost when it is stopped
}

// Plan is the preemption of tasks on one machine.
type Plan struct {
	Machine            *binpack.MachineInfo
	Victims            []Victim
	LostMachineSeconds float64 // of all victims
}

// CheapestPlan returns the plan that frees the capacity for a need at the least loss of work on one of some machines;
// of equal ones the first. victimsOn returns the tasks that may be stopped on a machine; the plan takes them in the
// order of sortVictims, which it sorts them into in place. ok is false if no machine can free it.
func CheapestPlan(
	need record.Resources, machines []*binpack.MachineInfo, victimsOn func(*binpack.MachineInfo) []Victim,
) (cheapest Plan, ok bool) {
	for _, machine := range machines {
		victims := victimsOn(machine)
		sortVictims(victims)
		plan, freesEnough := shortestPlan(need, machine, victims)
		if freesEnough && (!ok || plan.LostMachineSeconds < cheapest.LostMachineSeconds) {
			cheapest, ok = plan, true
		}
	}
	return cheapest, ok
}

// sortVictims puts tasks in the order in which they are stopped: the lowest priority first, of one priority what loses
// the least work.
func sortVictims(victims []Victim) {
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(
			-cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(a.LostMachineSeconds, b.LostMachineSeconds),
			cmp.Compare(a.Binding.Ref.String(), b.Binding.Ref.String()),
		)
	})
}

// shortestPlan stops the first of some tasks, in their order, until a need fits into what is free then; ok is false if
// it doesn't when all of them are stopped.
func shortestPlan(need record.Resources, machine *binpack.MachineInfo, victims []Victim) (plan Plan, ok bool) {
	plan.Machine = machine
	free := machine.Free
	for i := range victims {
		if need.FitsIn(free) {
			plan.Victims = victims[:i]
			return plan, true
		}
		free = free.Plus(record.TaskResources(&victims[i].Binding.Job.Spec))
		plan.LostMachineSeconds += victims[i].LostMachineSeconds
	}
	plan.Victims = victims
	return plan, need.FitsIn(free)
}
