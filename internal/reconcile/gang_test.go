package reconcile

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
)

// TestGangStateOf: an attempt with a task that has ended otherwise than done never looks whole, and only one that has
// all its tasks bound does.
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
		case done: // a done task tells it of all; records that also say otherwise are not written
		case ended && got != GangBroken, !ended && bound == count && got != GangWhole,
			!ended && bound < count && got != GangForming:
			t.Errorf("%v: %v", tasks, got)
		}
	})
}

// drawTask draws a task of any state, one in ten done.
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
