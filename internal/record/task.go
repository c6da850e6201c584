package record

import (
	"strconv"
	"strings"
)

// TaskState is the durable state of a task. Its numeric value is stored.
type TaskState int

// The states of a task. A pending task becomes bound when it is assigned to a machine. A bound task becomes done when
// it succeeds, or pending again if its attempt ends without success.
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

// Task is the durable record of one task. It is stored as an array, so the order of the fields must not change.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   TaskState
	Attempt uint64 // number of the last attempt; 0 if there was none
	Machine string
	Session uint64 // of the agent on the machine
	// ChargedShard is one more than the number of the shard whose quota grant is charged for the task, or 0 if that
	// is the shard of its machine.
	ChargedShard int
	// Failures counts the task's own failures while it is not done, for jobs with a retry limit. It is stored in a
	// separate list of the record, as in Job.Failures.
	Failures int `cbor:"-"`
}

// Started reports whether the task was ever bound.
func (t Task) Started() bool { return t.State != TaskPending || t.Attempt != 0 }

// TaskRef identifies a task.
type TaskRef struct {
	JobID string
	Index int
}

// String returns the form of the reference that ParseTaskRef parses.
func (r TaskRef) String() string { return r.JobID + "/" + strconv.Itoa(r.Index) }

// ParseTaskRef parses the result of TaskRef.String.
func ParseTaskRef(s string) (TaskRef, bool) {
	job, number, ok := strings.Cut(s, "/")
	index, err := strconv.Atoi(number)
	if !ok || err != nil || index < 0 {
		return TaskRef{}, false
	}
	return TaskRef{JobID: job, Index: index}, true
}
