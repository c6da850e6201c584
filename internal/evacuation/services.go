package evacuation

import (
	"cmp"
	"container/heap"
)

// appendServices appends the steps for machines with replicas of services, fewest replicas left
// first.
func appendServices(steps []Step, machines []*Machine) []Step {
	planner := newServicePlanner(machines)
	for len(planner.pending) > 0 {
		if step, ok := planner.next(); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// servicePlanner orders machines by the number of replicas that their services have left. A step
// only raises these numbers and so can only move other machines to later positions. A position is
// therefore recomputed lazily, when its machine reaches the top of the heap.
type servicePlanner struct {
	replicasLeft map[string]int // by job ID; replicas on machines that are not lost, and restored ones
	pending      serviceHeap
}

func newServicePlanner(machines []*Machine) *servicePlanner {
	p := &servicePlanner{replicasLeft: map[string]int{}}
	for _, machine := range machines {
		p.countLost(machine)
		p.pending = append(p.pending, &serviceMachine{machine: machine})
	}
	for _, candidate := range p.pending {
		p.updatePosition(candidate)
	}
	heap.Init(&p.pending)
	return p
}

// countLost subtracts a lost machine's replicas from those that its services have left.
func (p *servicePlanner) countLost(machine *Machine) {
	for i := range machine.Tasks {
		task := &machine.Tasks[i]
		if task.Kind != Service {
			continue
		}
		if _, known := p.replicasLeft[task.JobID]; !known {
			p.replicasLeft[task.JobID] = task.PlacedReplicas
		}
		p.replicasLeft[task.JobID]--
	}
}

// updatePosition recomputes which service on the machine has the fewest replicas left.
func (p *servicePlanner) updatePosition(candidate *serviceMachine) {
	candidate.replicas = 0
	for i := range candidate.machine.Tasks {
		task := &candidate.machine.Tasks[i]
		if task.Kind != Service {
			continue
		}
		left := p.replicasLeft[task.JobID]
		isFirst := candidate.replicas == 0
		isFewer := left < candidate.replicasLeft || left == candidate.replicasLeft && task.JobID < candidate.jobID
		if isFirst || isFewer {
			candidate.jobID, candidate.replicasLeft = task.JobID, left
		}
		candidate.replicas++
	}
}

// next removes the first pending machine, counts its replicas as restored and returns its step. If
// the first machine's position is out of date, next corrects it, removes nothing and returns false.
func (p *servicePlanner) next() (Step, bool) {
	candidate := p.pending[0]
	if p.replicasLeft[candidate.jobID] != candidate.replicasLeft {
		p.updatePosition(candidate)
		heap.Fix(&p.pending, 0)
		return Step{}, false
	}
	heap.Pop(&p.pending)
	for i := range candidate.machine.Tasks {
		if task := &candidate.machine.Tasks[i]; task.Kind == Service {
			p.replicasLeft[task.JobID]++
		}
	}
	return Step{
		Machine:      candidate.machine.Name,
		Kind:         Service,
		JobID:        candidate.jobID,
		ReplicasLeft: candidate.replicasLeft,
	}, true
}

// serviceMachine is a machine with replicas of services, and its position as last computed.
type serviceMachine struct {
	machine      *Machine
	jobID        string // the service with the fewest replicas left
	replicasLeft int    // of that service
	replicas     int    // of all services on the machine
}

// serviceHeap is a heap of the machines that are not planned yet, with the next one on top.
type serviceHeap []*serviceMachine

// Len implements heap.Interface.
func (h serviceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h serviceHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(
		cmp.Compare(a.replicasLeft, b.replicasLeft),
		cmp.Compare(b.replicas, a.replicas),
		cmp.Compare(a.machine.Name, b.machine.Name),
	) < 0
}

// Swap implements heap.Interface.
func (h serviceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *serviceHeap) Push(x any) { *h = append(*h, x.(*serviceMachine)) }

// Pop implements heap.Interface.
func (h *serviceHeap) Pop() any {
	last := len(*h) - 1
	machine := (*h)[last]
	*h = (*h)[:last]
	return machine
}
