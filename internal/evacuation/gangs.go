package evacuation

import (
	"cmp"
	"slices"
)

// appendGangs appends the steps for machines with tasks of gangs, gang by gang. A machine with tasks
// of several gangs is planned with the first of them.
func appendGangs(steps []Step, machines []*Machine) []Step {
	gangs := collectGangs(machines)
	slices.SortFunc(gangs, compareGangs)
	planned := map[*Machine]bool{}
	for _, gang := range gangs {
		slices.SortFunc(gang.machines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		for _, machine := range gang.machines {
			if !planned[machine] {
				planned[machine] = true
				steps = append(steps, Step{Machine: machine.Name, Kind: Gang, JobID: gang.jobID})
			}
		}
	}
	return steps
}

// lostGang is a gang and the lost machines that run its tasks.
type lostGang struct {
	jobID        string
	priorityRank int
	tasks        int // on lost machines
	machines     []*Machine
}

func collectGangs(machines []*Machine) []*lostGang {
	byJob := map[string]*lostGang{}
	var gangs []*lostGang
	for _, machine := range machines {
		for i := range machine.Tasks {
			task := &machine.Tasks[i]
			if task.Kind != Gang {
				continue
			}
			gang := byJob[task.JobID]
			if gang == nil {
				gang = &lostGang{jobID: task.JobID, priorityRank: task.PriorityRank}
				byJob[task.JobID] = gang
				gangs = append(gangs, gang)
			}
			gang.addTask(machine)
		}
	}
	return gangs
}

// addTask counts a task on a machine. The tasks of one machine must be added consecutively, so that
// the machine is listed once.
func (g *lostGang) addTask(machine *Machine) {
	g.tasks++
	if count := len(g.machines); count == 0 || g.machines[count-1] != machine {
		g.machines = append(g.machines, machine)
	}
}

func compareGangs(a, b *lostGang) int {
	return cmp.Or(
		cmp.Compare(a.priorityRank, b.priorityRank),
		cmp.Compare(len(a.machines), len(b.machines)),
		cmp.Compare(b.tasks, a.tasks),
		cmp.Compare(a.jobID, b.jobID),
	)
}
