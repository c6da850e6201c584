package evacuation

import "slices"

// Plan returns one step for each machine, in the order in which they are given up. The order of
// machines and the order of their tasks do not matter. It costs n log n for n tasks.
func Plan(machines []Machine) []Step {
	remaining := make([]*Machine, 0, len(machines))
	for i := range machines {
		remaining = append(remaining, &machines[i])
	}
	withReplicas, remaining := partition(remaining, Service)
	withGangs, remaining := partition(remaining, Gang)

	steps := make([]Step, 0, len(machines))
	steps = appendServices(steps, withReplicas)
	steps = appendGangs(steps, withGangs)
	return appendRemaining(steps, remaining)
}

// partition separates the machines that have a task of a kind from the others.
func partition(machines []*Machine, kind WorkloadKind) (having, others []*Machine) {
	for _, machine := range machines {
		if slices.ContainsFunc(machine.Tasks, func(task Task) bool { return task.Kind == kind }) {
			having = append(having, machine)
		} else {
			others = append(others, machine)
		}
	}
	return having, others
}
