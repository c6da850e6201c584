package evacuation

import (
	"cmp"
	"slices"
)

// appendRemaining appends the steps for machines with tasks of arrays, followed by the steps for
// machines without tasks. It sorts machines in place.
func appendRemaining(steps []Step, machines []*Machine) []Step {
	slices.SortFunc(machines, compareRemaining)
	for _, machine := range machines {
		first := firstTask(machine)
		steps = append(steps, Step{Machine: machine.Name, Kind: first.Kind, JobID: first.JobID})
	}
	return steps
}

func compareRemaining(a, b *Machine) int {
	firstOfA, firstOfB := firstTask(a), firstTask(b)
	return cmp.Or(
		cmp.Compare(firstOfA.Kind, firstOfB.Kind),
		cmp.Compare(firstOfA.PriorityRank, firstOfB.PriorityRank),
		cmp.Compare(len(b.Tasks), len(a.Tasks)),
		cmp.Compare(a.Name, b.Name),
	)
}

// firstTask returns the machine's task of the highest priority, or a task of the kind NoTasks.
func firstTask(machine *Machine) Task {
	if len(machine.Tasks) == 0 {
		return Task{Kind: NoTasks}
	}
	return slices.MinFunc(machine.Tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(a.PriorityRank, b.PriorityRank), cmp.Compare(a.JobID, b.JobID))
	})
}
