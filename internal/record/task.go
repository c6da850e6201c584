package record

import (
	"strconv"
	"strings"
)

// TaskState is the durable state of a task. It is stored as its number.
type TaskState int

// The states of a task. A pending task becomes bound when it is assigned to a machine; a bound one becomes
// done, or pending again if its attempt ended without success.
const (
	TaskPending TaskState = 0
	TaskBound   TaskState = 1
	TaskDone    TaskState = 2
)

// String returns the state's name.
func (s TaskState) String() string {
	switch s {
	case TaskPending:
		return "pending"
	case TaskBound:
		return "bound"
	case TaskDone:
		return "done"
	}
	return "task state " + strconv.Itoa(int(s))
}

// Task is the durable state of one task.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   TaskState
	Attempt uint64 // the last one used
	Machine string
	Session uint64 // of the agent on the machine
	// ChargedShard is one more than the number of the shard whose quota grant the task uses, or 0 where that
	// is its machine's shard.
	ChargedShard int
	// Failures counts the task's own failures while it is not done, for jobs with a retry limit. It stands
	// beside the tasks in their record.
	Failures int `cbor:"-"`
}

// Started reports whether the task was ever bound.
func (t Task) Started() bool { return t.State != TaskPending || t.Attempt != 0 }

// TaskRef names a task.
type TaskRef struct {
	JobID string
	Index int
}

// String returns the task's name, which ParseTaskRef reads.
func (r TaskRef) String() string { return r.JobID + "/" + strconv.Itoa(r.Index) }

// ParseTaskRef reads a task's name.
func ParseTaskRef(s string) (TaskRef, bool) {
	job, number, ok := strings.Cut(s, "/")
	index, err := strconv.Atoi(number)
	if !ok || err != nil || index < 0 {
		return TaskRef{}, false
	}
	return TaskRef{JobID: job, Index: index}, true
}
