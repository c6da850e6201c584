package reconcile

import (
	"sableusher/internal/agent"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Reasons of releases other than exit causes.
const (
	reasonSessionEnded  = "session ended"
	reasonNeverStarted  = "never started"
	reasonServiceEnded  = "service ended"
	reasonDoneCancelled = "done after its cancellation"
	reasonDone          = "done"
)

// BoundTask is a bound task as the owner of its shard sees it.
type BoundTask struct {
	agent.TaskObservation
	JobKind          wire.JobKind
	JobCancelled     bool
	StopRequested    bool // it has been asked to stop
	RetriesLimited   bool // its job has a retry limit, so its failures are counted
	RetriesExhausted bool // one more failure is more than the limit allows
}

// Decision is what to do about a bound task. The zero value is to do nothing.
type Decision struct {
	Release   bool             // its binding ends
	NextState record.TaskState // its state after the release
	Reason    string           // of the release, for the log
	WholeGang bool             // with Release: all tasks of its attempt are released with it

	ResendCommands   bool // its machine's agent is to be commanded again
	ImagePresent     bool // its image is on the machine
	TaskFailed       bool // it failed by itself on the machine
	PlacementRefused bool // the machine had less capacity than was thought

	BackOffJob   bool // its job's tasks are not placed for a while, which grows
	CountFailure bool // a retry is used up
	FailJob      bool // with CountFailure: the job fails
}

// Decide returns what to do about a bound task. Only a session that ended, an exit, and the proven absence of a task
// that is to stop release it.
func Decide(task BoundTask) Decision {
	switch task.Presence {
	case agent.PresenceSessionEnded:
		return releaseToPending(reasonSessionEnded)
	case agent.PresenceAbsent:
		if task.StopRequested {
			return releaseToPending(reasonNeverStarted)
		}
		return Decision{ResendCommands: true}
	case agent.PresenceAlive:
		return Decision{ImagePresent: task.State != wire.TaskFetchingImage}
	case agent.PresenceExited:
		return decideExited(task)
	}
	return Decision{}
}

// releaseToPending releases a task, to be started again unless its job is over.
func releaseToPending(reason string) Decision {
	return Decision{Release: true, NextState: record.TaskPending, Reason: reason}
}

// decideExited returns what to do about a task that has exited, by the cause of its exit.
func decideExited(task BoundTask) Decision {
	decision := releaseToPending(task.Cause.String())
	switch task.Cause {
	case wire.ExitCauseDone:
		return decideDone(task)
	case wire.ExitCauseError:
		decision.TaskFailed = true
		// Failures that are counted are paced by the retry policy of the job's class.
		decision.BackOffJob, decision.CountFailure = !task.RetriesLimited, task.RetriesLimited
		decision.FailJob = task.RetriesLimited && task.RetriesExhausted && !task.JobCancelled
	case wire.ExitCauseNoCapacity, wire.ExitCauseAlreadyRunning:
		decision.PlacementRefused = true
	case wire.ExitCauseUnknownTask:
		decision.BackOffJob = true
	}
	return decision
}

// decideDone returns what to do about a task whose agent says that it is done. A service never should be; and a gang
// completes together, so that one task that is done tells it of all.
func decideDone(task BoundTask) Decision {
	decision := releaseToPending(reasonDone)
	decision.ImagePresent = true
	switch {
	case task.JobKind == wire.KindService:
		decision.Reason, decision.BackOffJob = reasonServiceEnded, true
	case task.JobCancelled:
		decision.Reason = reasonDoneCancelled
	default:
		decision.NextState, decision.WholeGang = record.TaskDone, task.JobKind == wire.KindGang
	}
	return decision
}
