package evacuation

import "fmt"

// WorkloadKind is the kind of job that a machine is evacuated for. The kinds are in the order of
// evacuation.
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
	// PlacedReplicas is the number of a service's replicas that are on machines, lost ones counted:
	// a replica out of reach may live on and counts until its end is proven (safety invariant 16).
	PlacedReplicas int
}

// Machine is a lost machine with its tasks.
type Machine struct {
	Name  string
	Tasks []Task
}

// Step gives up one machine.
type Step struct {
	Machine string
	Kind    WorkloadKind
	// JobID is the job that decided the machine's position; empty if the machine has no tasks.
	JobID string
	// ReplicasLeft is how many replicas of the service run before this step, those that earlier
	// steps restore counted; 0 for other kinds.
	ReplicasLeft int
}

// Reason says in a few words why the machine has its position, for logs.
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
