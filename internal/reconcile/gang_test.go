package reconcile

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
)

// TestGangStateOf checks that an attempt is whole only if all its tasks are bound, and broken if one of them has
// ended without being done.
func TestGangStateOf(t *testing.T) {
	const attempt = 2
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "tasks")
		tasks := make([]record.Task, count)
		bound, ended, done := 0, false, false
		for i := range tasks {
			tasks[i] = drawTask(t, i)
			switch {
			case tasks[i].State == record.TaskDone:
				done = true
			case tasks[i].State == record.TaskBound && tasks[i].Attempt == attempt:
				bound++
			case tasks[i].Attempt >= attempt:
				ended = true
			}
		}
		got := GangStateOf(count, func(index int) record.Task { return tasks[index] }, attempt)
		switch {
		case done: // one done task means that all are done; other combinations are never recorded
		case ended && got != GangBroken, !ended && bound == count && got != GangWhole,
			!ended && bound < count && got != GangForming:
			t.Errorf("tasks %v: unexpected state %v", tasks, got)
		}
	})
}

// drawTask draws a task in any state. One task in ten is done.
func drawTask(t *rapid.T, index int) record.Task {
	states := []record.TaskState{record.TaskPending, record.TaskBound}
	task := record.Task{
		Index:   index,
		State:   rapid.SampledFrom(states).Draw(t, "state"),
		Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt"),
	}
	if rapid.IntRange(0, 9).Draw(t, "done") == 0 {
		task.State = record.TaskDone
	}
	return task
}
