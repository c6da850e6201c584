// Package reconcile decides what is to become of a bound task, given what its machine's
// worker last told of it. It decides only: records, workers and the fleet's notes are its
// caller's. Every fate, cause and kind has its row here, so that nothing else ends a
// binding (safety invariant 4).
package reconcile

import (
	"sableusher/internal/agent"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// BoundTask is a bound task as its part's owner sees it.
type BoundTask struct {
	agent.TaskObservation
	JobKind          wire.JobKind // of its job
	JobCancelled     bool         // its job is
	StopRequested    bool         // it has been told to stop
	RetriesLimited   bool         // its failures are counted
	RetriesExhausted bool         // it has no repeat left
}

// Decision is what to do about a task.
type Decision struct {
	Release          bool             // its binding ends
	NextState        record.TaskState // what it is then: world.Idle or world.Done
	Reason           string           // for the log
	WholeGang        bool             // all tasks of its attempt end with it
	ResendCommands   bool             // its machine's worker is to be asked
	ImagePresent     bool             // the machine has its image
	TaskFailed       bool             // it failed by itself on this machine
	PlacementRefused bool             // the machine had less room than was thought
	BackOffJob       bool             // its job waits for a growing while
	CountFailure     bool             // a repeat is spent
	FailJob          bool             // the job fails with it
}

// Decide gives what to do about a task.
func Decide(task BoundTask) Decision {
	switch task.Presence {
	case agent.PresenceSessionEnded:
		return releaseToPending("session ended")
	case agent.PresenceAbsent:
		if task.StopRequested {
			return releaseToPending("never started")
		}
		return Decision{ResendCommands: true}
	case agent.PresenceAlive:
		return Decision{ImagePresent: task.State != wire.TaskFetchingImage}
	case agent.PresenceExited:
		return decideExited(task)
	}
	return Decision{}
}

func releaseToPending(reason string) Decision {
	return Decision{Release: true, NextState: record.TaskPending, Reason: reason}
}

func decideExited(task BoundTask) Decision {
	decision := releaseToPending(task.Cause.String())
	switch task.Cause {
	case wire.ExitCauseDone:
		decision.ImagePresent = true
		switch {
		case task.JobKind == wire.KindService:
			decision.Reason, decision.BackOffJob = "service ended", true // it never should
		case task.JobCancelled:
			decision.Reason = "done after its cancellation"
		default:
			// A gang completes together: one done task tells it of all.
			decision.Reason, decision.NextState, decision.WholeGang = "done", record.TaskDone, task.JobKind == wire.KindGang
		}
	case wire.ExitCauseError:
		// Its class paces the repeats of what is counted.
		decision.TaskFailed, decision.BackOffJob, decision.CountFailure = true, !task.RetriesLimited, task.RetriesLimited
		decision.FailJob = task.RetriesLimited && task.RetriesExhausted && !task.JobCancelled
	case wire.ExitCauseNoCapacity, wire.ExitCauseAlreadyRunning:
		decision.PlacementRefused = true
	case wire.ExitCauseUnknownTask:
		decision.BackOffJob = true
	}
	return decision
}

// GangState is how far a gang's attempt has come.
type GangState int

const (
	GangForming GangState = iota // some of its tasks are not bound yet
	GangWhole                    // all are bound, or one is done
	GangBroken                   // one has ended without being done: it can't become whole any more
)

// GangStateOf tells the shape of a gang's attempt of so many tasks.
func GangStateOf(taskCount int, taskAt func(int) record.Task, attempt uint64) GangState {
	state := GangWhole
	for i := range taskCount {
		task := taskAt(i)
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
