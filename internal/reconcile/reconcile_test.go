package reconcile

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/agent"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestDecideEveryObservation goes through all fates, causes and kinds: a binding ends only by proof,
// and a task is done only when its worker says so and nobody has cancelled it.
func TestDecideEveryObservation(t *testing.T) {
	seen := map[Decision]bool{}
	for _, presence := range []agent.TaskPresence{agent.PresenceUnknown, agent.PresenceAlive, agent.PresenceExited, agent.PresenceSessionEnded, agent.PresenceAbsent} {
		for _, cause := range []wire.ExitCause{wire.ExitCauseDone, wire.ExitCauseError, wire.ExitCauseStopped, wire.ExitCauseNoCapacity, wire.ExitCauseAlreadyRunning, wire.ExitCauseUnknownTask, "new"} {
			for _, kind := range []wire.JobKind{wire.KindArray, wire.KindGang, wire.KindService} {
				for bits := range 16 {
					task := BoundTask{TaskObservation: agent.TaskObservation{Presence: presence, Cause: cause}, JobKind: kind, JobCancelled: bits&1 != 0, StopRequested: bits&2 != 0,
						RetriesLimited: bits&4 != 0, RetriesExhausted: bits&8 != 0}
					decision := Decide(task)
					seen[decision] = true
					proof := presence == agent.PresenceSessionEnded || presence == agent.PresenceExited || presence == agent.PresenceAbsent && task.StopRequested
					if decision.Release != proof {
						t.Errorf("%+v: %+v", task, decision)
					}
					done := presence == agent.PresenceExited && cause == wire.ExitCauseDone && kind != wire.KindService && !task.JobCancelled
					if (decision.NextState == record.TaskDone) != done || decision.WholeGang != (done && kind == wire.KindGang) {
						t.Errorf("%+v: %+v", task, decision)
					}
					failed := presence == agent.PresenceExited && cause == wire.ExitCauseError
					if decision.CountFailure != (failed && task.RetriesLimited) || decision.FailJob != (decision.CountFailure && task.RetriesExhausted && !task.JobCancelled) || decision.CountFailure && decision.BackOffJob {
						t.Errorf("%+v: %+v", task, decision)
					}
					if decision.TaskFailed && cause != wire.ExitCauseError || decision.PlacementRefused && decision.TaskFailed {
						t.Errorf("%+v: %+v", task, decision)
					}
				}
			}
		}
	}
	if len(seen) < 10 {
		t.Errorf("only %d different steps", len(seen))
	}
}

// TestAttemptShape: an attempt with a task that has ended otherwise than done never
// looks whole, and only one that has all its tasks bound does.
func TestGangStateOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "tasks")
		tasks := make([]record.Task, n)
		bound, ended, done := 0, false, false
		for i := range tasks {
			tasks[i] = record.Task{Index: i, State: rapid.SampledFrom([]record.TaskState{record.TaskPending, record.TaskBound}).Draw(t, "state"), Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt")}
			if rapid.IntRange(0, 9).Draw(t, "done") == 0 {
				tasks[i].State = record.TaskDone
			}
			switch {
			case tasks[i].State == record.TaskDone:
				done = true
			case tasks[i].State == record.TaskBound && tasks[i].Attempt == 2:
				bound++
			case tasks[i].Attempt >= 2:
				ended = true
			}
		}
		got := GangStateOf(n, func(i int) record.Task { return tasks[i] }, 2)
		switch {
		case done: // a done task tells it of all; records that also say otherwise are not written
		case ended && got != GangBroken, !ended && bound == n && got != GangWhole, !ended && bound < n && got != GangForming:
			t.Errorf("%v: %v", tasks, got)
		}
	})
}
