package reconcile

import (
	"testing"

	"sableusher/internal/agent"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

var (
	allPresences = []agent.TaskPresence{
		agent.PresenceUnknown, agent.PresenceAlive, agent.PresenceExited, agent.PresenceSessionEnded,
		agent.PresenceAbsent,
	}
	allCauses = []wire.ExitCause{
		wire.ExitCauseDone, wire.ExitCauseError, wire.ExitCauseStopped, wire.ExitCauseNoCapacity,
		wire.ExitCauseAlreadyRunning, wire.ExitCauseUnknownTask, "new",
	}
	allKinds = []wire.JobKind{wire.KindArray, wire.KindGang, wire.KindService}
)

// allBoundTasks returns bound tasks with all combinations of presences, causes, kinds and flags.
func allBoundTasks() []BoundTask {
	var tasks []BoundTask
	for _, presence := range allPresences {
		for _, cause := range allCauses {
			for _, kind := range allKinds {
				for bits := range 16 {
					tasks = append(tasks, BoundTask{
						TaskObservation: agent.TaskObservation{Presence: presence, Cause: cause},
						JobKind:         kind,
						JobCancelled:    bits&1 != 0, StopRequested: bits&2 != 0,
						RetriesLimited: bits&4 != 0, RetriesExhausted: bits&8 != 0,
					})
				}
			}
		}
	}
	return tasks
}

// TestDecideEveryObservation checks the decisions for all combinations of presences, causes, kinds and flags. A
// binding must end only with a proof, and a task must become done only if its agent reports so and its job is not
// cancelled.
func TestDecideEveryObservation(t *testing.T) {
	seen := map[Decision]bool{}
	for _, task := range allBoundTasks() {
		decision := Decide(task)
		seen[decision] = true
		exited := task.Presence == agent.PresenceExited
		proof := exited || task.Presence == agent.PresenceSessionEnded ||
			task.Presence == agent.PresenceAbsent && task.StopRequested
		if decision.Release != proof {
			t.Errorf("wrong Release for task %+v: %+v", task, decision)
		}
		done := exited && task.Cause == wire.ExitCauseDone && task.JobKind != wire.KindService && !task.JobCancelled
		if (decision.NextState == record.TaskDone) != done ||
			decision.WholeGang != (done && task.JobKind == wire.KindGang) {
			t.Errorf("wrong NextState or WholeGang for task %+v: %+v", task, decision)
		}
		checkFailure(t, task, decision)
	}
	if len(seen) < 10 {
		t.Errorf("only %d different decisions", len(seen))
	}
}

// checkFailure checks the fields of a decision that concern the failure of a task and its job.
func checkFailure(t *testing.T, task BoundTask, decision Decision) {
	t.Helper()
	failed := task.Presence == agent.PresenceExited && task.Cause == wire.ExitCauseError
	failsJob := decision.CountFailure && task.RetriesExhausted && !task.JobCancelled
	if decision.CountFailure != (failed && task.RetriesLimited) || decision.FailJob != failsJob ||
		decision.CountFailure && decision.BackOffJob {
		t.Errorf("wrong CountFailure, FailJob or BackOffJob for task %+v: %+v", task, decision)
	}
	if decision.TaskFailed && task.Cause != wire.ExitCauseError || decision.PlacementRefused && decision.TaskFailed {
		t.Errorf("wrong TaskFailed or PlacementRefused for task %+v: %+v", task, decision)
	}
}
