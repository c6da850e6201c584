// Package evacuate plans what is to be got off machines that are lost, and in which order.
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
package evacuate

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// Kind is what kind of job a task belongs to, in the order in which they are evacuated.
type Kind int

// Kinds.
const (
	Service Kind = iota
	Gang
	Array
	Nothing // of a machine without tasks
)

// String is the kind's word in logs and pages.
func (k Kind) String() string { return [...]string{"service", "gang", "array", "nothing"}[k] }

// Task is a task on a lost machine.
type Task struct {
	Job  string
	Kind Kind
	Rank int // of its priority; 0 is the highest
	// Has is how many of a service's replicas are on machines at all, lost ones counted. What
	// lives on out of reach is one of them (invariant 16).
	Has int
}

// Machine is a lost machine with what it holds.
type Machine struct {
	Name  string
	Tasks []Task
}

// Step gives one machine up.
type Step struct {
	Machine string
	Kind    Kind
	Job     string // the one for whose sake it has its place; empty if it holds nothing
	Left    int    // replicas of a service that stand before this step, those it brings back counted
}

// Why says in a few words for whose sake a machine has its place.
func (s Step) Why() string {
	switch s.Kind {
	case Service:
		return fmt.Sprintf("service %s has %d left", s.Job, s.Left)
	case Nothing:
		return "holds nothing"
	default:
		return fmt.Sprintf("%v %s", s.Kind, s.Job)
	}
}

// Plan gives the order in which machines are given up. It costs n log n for n tasks.
func Plan(machines []Machine) []Step {
	out := make([]Step, 0, len(machines))
	rest := make([]*Machine, 0, len(machines))
	for i := range machines {
		rest = append(rest, &machines[i])
	}
	out, rest = services(out, rest)
	out, rest = gangs(out, rest)
	return others(out, rest)
}

// candidate is a machine with replicas, and its place as of when it was last looked at.
type candidate struct {
	m    *Machine
	job  string
	left int // of the service of which fewest are left
	many int // replicas on the machine
}

type candidates []*candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(c[i].left, c[j].left), -cmp.Compare(c[i].many, c[j].many), cmp.Compare(c[i].m.Name, c[j].m.Name)) < 0
}
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *candidates) Push(x any)   { *c = append(*c, x.(*candidate)) }
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// services takes the machines that hold replicas. What a step brings back only makes its
// services wait longer for the next, so a place is looked at again when its turn comes
// and not before.
func services(out []Step, from []*Machine) ([]Step, []*Machine) {
	left := map[string]int{} // by service, of the replicas on machines that are not lost
	var list candidates
	var rest []*Machine
	look := func(c *candidate) {
		first := true
		c.many = 0
		for _, t := range c.m.Tasks {
			if t.Kind != Service {
				continue
			}
			c.many++
			if l := left[t.Job]; first || l < c.left || l == c.left && t.Job < c.job {
				c.job, c.left, first = t.Job, l, false
			}
		}
	}
	for _, m := range from {
		replicas := false
		for _, t := range m.Tasks {
			if t.Kind != Service {
				continue
			}
			if _, known := left[t.Job]; !known {
				left[t.Job] = t.Has
			}
			left[t.Job]--
			replicas = true
		}
		if replicas {
			list = append(list, &candidate{m: m})
		} else {
			rest = append(rest, m)
		}
	}
	for _, c := range list {
		look(c)
	}
	heap.Init(&list)
	for len(list) > 0 {
		c := list[0]
		if before := c.left; left[c.job] != before {
			look(c)
			heap.Fix(&list, 0)
			continue
		}
		heap.Pop(&list)
		out = append(out, Step{c.m.Name, Service, c.job, c.left})
		for _, t := range c.m.Tasks {
			if t.Kind == Service {
				left[t.Job]++
			}
		}
	}
	return out, rest
}

// gang is a gang with the machines that it waits for.
type gang struct {
	job      string
	rank     int
	tasks    int
	machines []*Machine
}

// gangs takes the machines that hold gangs' tasks, gang by gang.
func gangs(out []Step, from []*Machine) ([]Step, []*Machine) {
	byJob := map[string]*gang{}
	var list []*gang
	var rest []*Machine
	for _, m := range from {
		any := false
		for _, t := range m.Tasks {
			if t.Kind != Gang {
				continue
			}
			any = true
			g := byJob[t.Job]
			if g == nil {
				g = &gang{job: t.Job, rank: t.Rank}
				byJob[t.Job] = g
				list = append(list, g)
			}
			g.tasks++
			if n := len(g.machines); n == 0 || g.machines[n-1] != m {
				g.machines = append(g.machines, m)
			}
		}
		if !any {
			rest = append(rest, m)
		}
	}
	slices.SortFunc(list, func(a, b *gang) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(len(a.machines), len(b.machines)), -cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.job, b.job))
	})
	taken := map[*Machine]bool{}
	for _, g := range list {
		slices.SortFunc(g.machines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
		for _, m := range g.machines {
			if !taken[m] {
				taken[m] = true
				out = append(out, Step{Machine: m.Name, Kind: Gang, Job: g.job})
			}
		}
	}
	return out, rest
}

// others takes machines with tasks of arrays, and then those that hold nothing.
func others(out []Step, rest []*Machine) []Step {
	first := func(m *Machine) Task {
		if len(m.Tasks) == 0 {
			return Task{Kind: Nothing}
		}
		return slices.MinFunc(m.Tasks, func(a, b Task) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Job, b.Job)) })
	}
	slices.SortFunc(rest, func(a, b *Machine) int {
		x, y := first(a), first(b)
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Rank, y.Rank), -cmp.Compare(len(a.Tasks), len(b.Tasks)), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range rest {
		t := first(m)
		out = append(out, Step{Machine: m.Name, Kind: t.Kind, Job: t.Job})
	}
	return out
}
