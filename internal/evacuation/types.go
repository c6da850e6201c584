package evacuation

import "fmt"

// WorkloadKind is the kind of job that decides a machine's position in the plan. The kinds are
// listed in the order of evacuation.
type WorkloadKind int

// The kinds of workloads.
const (
	Service WorkloadKind = iota
	Gang
	Array
	NoTasks // the machine has no tasks
)

// String returns the kind's name for logs.
func (k WorkloadKind) String() string {
	switch k {
	case Service:
		return "service"
	case Gang:
		return "gang"
	case Array:
		return "array"
	case NoTasks:
		return "nothing"
	default:
		return fmt.Sprintf("WorkloadKind(%d)", int(k))
	}
}

// Task is a task on a lost machine.
type Task struct {
	JobID string
	Kind  WorkloadKind
	// PriorityRank is the rank of the job's priority; 0 is the highest.
	PriorityRank int
	// PlacedReplicas is the number of the service's replicas that are bound to machines, including
	// lost machines. A replica on an unreachable machine may still run and counts until its end is
	// proven (safety invariant 16). It is used for services only.
	PlacedReplicas int
}

// Machine is a lost machine with its tasks.
type Machine struct {
	Name  string
	Tasks []Task
}

// Step is the deletion of one machine.
type Step struct {
	Machine string
	Kind    WorkloadKind
	// JobID is the job that decided the machine's position; empty if the machine has no tasks.
	JobID string
	// ReplicasLeft is the number of replicas that the service has left before this step, including
	// those that earlier steps restore. It is 0 for other kinds.
	ReplicasLeft int
}

// Reason describes for the log why the machine has its position in the plan.
func (s Step) Reason() string {
	switch s.Kind {
	case Service:
		return fmt.Sprintf("service %s has %d replicas left", s.JobID, s.ReplicasLeft)
	case NoTasks:
		return "holds nothing"
	default:
		return fmt.Sprintf("%v %s", s.Kind, s.JobID)
	}
}
