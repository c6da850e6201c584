package evacuation

import "slices"

// Plan returns one step for each machine, in the order in which the machines should be deleted. The
// result does not depend on the order of machines or of their tasks. Machines with replicas of services
// take the longest: each step changes the positions of all machines that run the same services, and a
// position is recomputed when its machine reaches the top of the heap. For n machines that each
// run one replica of the same service, the time is O(n² log n).
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

// partition separates the machines that have a task of the given kind from the others.
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
