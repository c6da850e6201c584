package record

import (
	"strconv"
	"strings"
)

// Durable states of a task.
const (
	TaskPending = 0
	TaskBound   = 1
	TaskDone    = 2
)

// Task is the durable state of one task. Attempt is the last one used.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine string
	Session uint64
	// ChargedShard is one more than the part whose grant the task uses, where that is
	// not its machine's.
	ChargedShard int
	// Failures is how often the task failed by itself, if that is counted and it isn't
	// done. It stands beside the tasks in their record.
	Failures int `cbor:"-"`
}

// TaskRef names a task.
type TaskRef struct {
	Job   string
	Index int
}

func (r TaskRef) String() string { return r.Job + "/" + strconv.Itoa(r.Index) }

// ParseTaskRef reads a task's name.
func ParseTaskRef(s string) (TaskRef, bool) {
	job, num, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(num)
	if !ok || err != nil || i < 0 {
		return TaskRef{}, false
	}
	return TaskRef{Job: job, Index: i}, true
}
