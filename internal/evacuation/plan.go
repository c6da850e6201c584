// Package evacuation plans what is to be got off machines that are lost, and in which order.
//
// A machine is given up whole, and only then can what it held start elsewhere; deletions are
// paced and room may be short, so which goes first decides who notices the loss. The plan is
// a value that can be printed (Step): tests, the log and the driver read the same one. The
// package is pure and keeps nothing: it is made anew from what is known each time it is needed,
// so that it follows whatever changed. It never says that a task has ended (safety invariants 4
// and 15): what is given up leaves its machine by the cloud's deletion, whatever the order.
//
// The order:
//
//	services  the machine with a replica of the service that has the fewest left, counting what
//	          the steps before bring back: one replica of each before the second of any
//	gangs     gang by gang, as one can start again only once all its machines are given up: the
//	          higher priority first, then the fewer machines, then the wider
//	arrays    by priority, then by how many tasks wait for it
//	nothing   machines that hold none, last
package evacuation

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// WorkloadKind is what kind of job a task belongs to, in the order in which they are evacuated.
type WorkloadKind int

// Kinds.
const (
	Service WorkloadKind = iota
	Gang
	Array
	NoTasks // of a machine without tasks
)

// String is the kind's word in logs and pages.
func (k WorkloadKind) String() string { return [...]string{"service", "gang", "array", "nothing"}[k] }

// Task is a task on a lost machine.
type Task struct {
	JobID        string
	Kind         WorkloadKind
	PriorityRank int // of its priority; 0 is the highest
	// PlacedReplicas is how many of a service's replicas are on machines at all, lost ones counted. What
	// lives on out of reach is one of them (invariant 16).
	PlacedReplicas int
}

// Machine is a lost machine with what it holds.
type Machine struct {
	Name  string
	Tasks []Task
}

// Step gives one machine up.
type Step struct {
	Machine      string
	Kind         WorkloadKind
	JobID        string // the one for whose sake it has its place; empty if it holds nothing
	ReplicasLeft int    // replicas of a service that stand before this step, those it brings back counted
}

// Reason says in a few words for whose sake a machine has its place.
func (s Step) Reason() string {
	switch s.Kind {
	case Service:
		return fmt.Sprintf("service %s has %d left", s.JobID, s.ReplicasLeft)
	case NoTasks:
		return "holds nothing"
	default:
		return fmt.Sprintf("%v %s", s.Kind, s.JobID)
	}
}

// Plan gives the order in which machines are given up. It costs n log n for n tasks.
func Plan(machines []Machine) []Step {
	steps := make([]Step, 0, len(machines))
	rest := make([]*Machine, 0, len(machines))
	for i := range machines {
		rest = append(rest, &machines[i])
	}
	steps, rest = planServices(steps, rest)
	steps, rest = planGangs(steps, rest)
	return planRemaining(steps, rest)
}

// serviceMachine is a machine with replicas, and its place as of when it was last looked at.
type serviceMachine struct {
	machine      *Machine
	jobID        string
	replicasLeft int // of the service of which fewest are left
	replicas     int // replicas on the machine
}

type serviceMachineHeap []*serviceMachine

func (c serviceMachineHeap) Len() int { return len(c) }
func (c serviceMachineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(c[i].replicasLeft, c[j].replicasLeft), -cmp.Compare(c[i].replicas, c[j].replicas), cmp.Compare(c[i].machine.Name, c[j].machine.Name)) < 0
}
func (c serviceMachineHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *serviceMachineHeap) Push(x any)   { *c = append(*c, x.(*serviceMachine)) }
func (c *serviceMachineHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// planServices takes the machines that hold replicas. What a step brings back only makes its
// services wait longer for the next, so a place is looked at again when its turn comes
// and not before.
func planServices(steps []Step, machines []*Machine) ([]Step, []*Machine) {
	replicasLeft := map[string]int{} // by service, of the replicas on machines that are not lost
	var pending serviceMachineHeap
	var rest []*Machine
	update := func(c *serviceMachine) {
		first := true
		c.replicas = 0
		for _, t := range c.machine.Tasks {
			if t.Kind != Service {
				continue
			}
			c.replicas++
			if l := replicasLeft[t.JobID]; first || l < c.replicasLeft || l == c.replicasLeft && t.JobID < c.jobID {
				c.jobID, c.replicasLeft, first = t.JobID, l, false
			}
		}
	}
	for _, m := range machines {
		replicas := false
		for _, t := range m.Tasks {
			if t.Kind != Service {
				continue
			}
			if _, known := replicasLeft[t.JobID]; !known {
				replicasLeft[t.JobID] = t.PlacedReplicas
			}
			replicasLeft[t.JobID]--
			replicas = true
		}
		if replicas {
			pending = append(pending, &serviceMachine{machine: m})
		} else {
			rest = append(rest, m)
		}
	}
	for _, c := range pending {
		update(c)
	}
	heap.Init(&pending)
	for len(pending) > 0 {
		c := pending[0]
		if before := c.replicasLeft; replicasLeft[c.jobID] != before {
			update(c)
			heap.Fix(&pending, 0)
			continue
		}
		heap.Pop(&pending)
		steps = append(steps, Step{c.machine.Name, Service, c.jobID, c.replicasLeft})
		for _, t := range c.machine.Tasks {
			if t.Kind == Service {
				replicasLeft[t.JobID]++
			}
		}
	}
	return steps, rest
}

// lostGang is a gang with the machines that it waits for.
type lostGang struct {
	jobID        string
	priorityRank int
	tasks        int
	machines     []*Machine
}

// planGangs takes the machines that hold gangs' tasks, gang by gang.
func planGangs(steps []Step, machines []*Machine) ([]Step, []*Machine) {
	byJob := map[string]*lostGang{}
	var gangs []*lostGang
	var rest []*Machine
	for _, m := range machines {
		holdsGang := false
		for _, t := range m.Tasks {
			if t.Kind != Gang {
				continue
			}
			holdsGang = true
			g := byJob[t.JobID]
			if g == nil {
				g = &lostGang{jobID: t.JobID, priorityRank: t.PriorityRank}
				byJob[t.JobID] = g
				gangs = append(gangs, g)
			}
			g.tasks++
			if n := len(g.machines); n == 0 || g.machines[n-1] != m {
				g.machines = append(g.machines, m)
			}
		}
		if !holdsGang {
			rest = append(rest, m)
		}
	}
	slices.SortFunc(gangs, func(a, b *lostGang) int {
		return cmp.Or(cmp.Compare(a.priorityRank, b.priorityRank), cmp.Compare(len(a.machines), len(b.machines)), -cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.jobID, b.jobID))
	})
	taken := map[*Machine]bool{}
	for _, g := range gangs {
		slices.SortFunc(g.machines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		for _, m := range g.machines {
			if !taken[m] {
				taken[m] = true
				steps = append(steps, Step{Machine: m.Name, Kind: Gang, JobID: g.jobID})
			}
		}
	}
	return steps, rest
}

// planRemaining takes machines with tasks of arrays, and then those that hold nothing.
func planRemaining(steps []Step, machines []*Machine) []Step {
	first := func(m *Machine) Task {
		if len(m.Tasks) == 0 {
			return Task{Kind: NoTasks}
		}
		return slices.MinFunc(m.Tasks, func(a, b Task) int {
			return cmp.Or(cmp.Compare(a.PriorityRank, b.PriorityRank), cmp.Compare(a.JobID, b.JobID))
		})
	}
	slices.SortFunc(machines, func(a, b *Machine) int {
		x, y := first(a), first(b)
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.PriorityRank, y.PriorityRank), -cmp.Compare(len(a.Tasks), len(b.Tasks)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range machines {
		t := first(m)
		steps = append(steps, Step{Machine: m.Name, Kind: t.Kind, JobID: t.JobID})
	}
	return steps
}
