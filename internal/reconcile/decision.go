package reconcile

import (
	"sableusher/internal/agent"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Reasons for releases, in addition to the exit causes.
const (
	reasonSessionEnded  = "session ended"
	reasonNeverStarted  = "never started"
	reasonServiceEnded  = "service ended"
	reasonDoneCancelled = "done after its cancellation"
	reasonDone          = "done"
)

// BoundTask is a bound task, with what the owner of its shard knows about it.
type BoundTask struct {
	agent.TaskObservation
	JobKind          wire.JobKind
	JobCancelled     bool
	StopRequested    bool // a stop of the task has been requested
	RetriesLimited   bool // its job has a retry limit, so failures are counted
	RetriesExhausted bool // one more failure would exceed the retry limit
}

// Decision is the action to take for a bound task. The zero value means no action.
type Decision struct {
	Release   bool             // release the task: end its binding
	NextState record.TaskState // state of the task after the release
	Reason    string           // reason for the release, for the log
	WholeGang bool             // with Release: release all tasks of the gang's attempt

	ResendCommands   bool // send commands to the machine's agent again
	ImagePresent     bool // the task's image is on the machine
	TaskFailed       bool // the task failed by itself on the machine
	PlacementRefused bool // the agent refused the start, so the machine has less free capacity than recorded

	BackOffJob   bool // delay the placement of the job's tasks, with increasing delays
	CountFailure bool // count the failure against the retry limit
	FailJob      bool // with CountFailure: fail the job
}

// Decide returns the action to take for a bound task. It releases a task only if the agent's session has ended, the
// task has exited, or a stop was requested and the task is proved absent.
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

// releaseToPending returns the decision to release a task and make it pending, so that it starts again unless its job
// has ended.
func releaseToPending(reason string) Decision {
	return Decision{Release: true, NextState: record.TaskPending, Reason: reason}
}

// decideExited returns the action to take for a task that has exited, depending on the exit cause.
func decideExited(task BoundTask) Decision {
	decision := releaseToPending(task.Cause.String())
	switch task.Cause {
	case wire.ExitCauseDone:
		return decideDone(task)
	case wire.ExitCauseError:
		decision.TaskFailed = true
		// The retry policy of the job's class delays the restart after a counted failure, so no backoff is needed.
		decision.BackOffJob, decision.CountFailure = !task.RetriesLimited, task.RetriesLimited
		decision.FailJob = task.RetriesLimited && task.RetriesExhausted && !task.JobCancelled
	case wire.ExitCauseNoCapacity, wire.ExitCauseAlreadyRunning:
		decision.PlacementRefused = true
	case wire.ExitCauseUnknownTask:
		decision.BackOffJob = true
	}
	return decision
}

// decideDone returns the action to take for a task that the agent reports as done. A service is not expected to
// complete, so it is restarted after a backoff. The tasks of a gang complete together, so one done task completes the
// whole gang.
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
