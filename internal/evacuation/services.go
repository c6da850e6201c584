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

// servicePlanner orders machines by the replicas left of their services. Restoring a machine only
// raises these numbers, and so only moves other machines back: a position is computed anew when the
// machine's turn comes, and not before.
type servicePlanner struct {
	replicasLeft map[string]int // by job, replicas on machines that are not lost or were restored
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

// countLost takes a machine's replicas off those that its services have left.
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

// updatePosition finds the service on the machine that has the fewest replicas left.
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

// next removes the first pending machine and restores its replicas. It returns false, and removes
// nothing, if the first machine's position was out of date and has been corrected.
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

// serviceMachine is a machine with replicas, and its position as last computed.
type serviceMachine struct {
	machine      *Machine
	jobID        string // the service with the fewest replicas left
	replicasLeft int    // of that service
	replicas     int    // of all services on the machine
}

// serviceHeap holds the machines that are not planned yet, the next on top.
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
