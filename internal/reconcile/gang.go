package reconcile

import (
	"strconv"

	"sableusher/internal/record"
)

// GangState is the state of an attempt to run a gang.
type GangState int

// States of an attempt. An attempt is forming until all its tasks are bound; then it is whole. It is broken,
// permanently, once one of its tasks has ended without being done.
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

// GangStateOf returns the state of an attempt of a gang with taskCount tasks. The tasks of a gang complete together,
// so an attempt with a done task counts as whole regardless of the other tasks.
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
