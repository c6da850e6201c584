package reconcile

import (
	"strconv"

	"sableusher/internal/record"
)

// GangState is how far an attempt of a gang has come.
type GangState int

// The states of an attempt. It forms until all of its tasks are bound, and is whole then; it is broken for good once
// one of its tasks has ended without being done.
const (
	GangForming GangState = iota
	GangWhole
	GangBroken
)

// String returns the state's name.
func (s GangState) String() string {
	switch s {
	case GangForming:
		return "forming"
	case GangWhole:
		return "whole"
	case GangBroken:
		return "broken"
	}
	return "gang state " + strconv.Itoa(int(s))
}

// GangStateOf returns the state of an attempt of a gang of so many tasks. A gang completes together: with a task that
// is done it counts as whole, whatever has become of the others.
func GangStateOf(taskCount int, taskAt func(index int) record.Task, attempt uint64) GangState {
	state := GangWhole
	for index := range taskCount {
		task := taskAt(index)
		switch {
		case task.State == record.TaskDone:
			return GangWhole
		case task.State == record.TaskBound && task.Attempt == attempt:
		case task.Attempt >= attempt:
			return GangBroken
		default:
			state = GangForming
		}
	}
	return state
}
