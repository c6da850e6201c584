package settle

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/fleet"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// TestEveryFate goes through all fates, causes and kinds: a binding ends only by proof,
// and a task is done only when its worker says so and nobody has cancelled it.
func TestEveryFate(t *testing.T) {
	seen := map[Step]bool{}
	for _, fate := range []fleet.TaskPresence{fleet.PresenceUnknown, fleet.PresenceAlive, fleet.PresenceExited, fleet.PresenceSessionEnded, fleet.PresenceAbsent} {
		for _, cause := range []string{wire.CauseDone, wire.CauseError, wire.CauseStopped, wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown, "new"} {
			for _, kind := range []string{wire.KindArray, wire.KindGang, wire.KindService} {
				for bits := range 16 {
					task := Task{TaskObservation: fleet.TaskObservation{Presence: fate, Cause: cause}, Kind: kind, Cancelled: bits&1 != 0, Stopping: bits&2 != 0,
						Counted: bits&4 != 0, Spent: bits&8 != 0}
					s := Decide(task)
					seen[s] = true
					proof := fate == fleet.PresenceSessionEnded || fate == fleet.PresenceExited || fate == fleet.PresenceAbsent && task.Stopping
					if s.Release != proof {
						t.Errorf("%+v: %+v", task, s)
					}
					done := fate == fleet.PresenceExited && cause == wire.CauseDone && kind != wire.KindService && !task.Cancelled
					if (s.State == world.Done) != done || s.Gang != (done && kind == wire.KindGang) {
						t.Errorf("%+v: %+v", task, s)
					}
					failed := fate == fleet.PresenceExited && cause == wire.CauseError
					if s.Count != (failed && task.Counted) || s.End != (s.Count && task.Spent && !task.Cancelled) || s.Count && s.Pause {
						t.Errorf("%+v: %+v", task, s)
					}
					if s.Failure && cause != wire.CauseError || s.Refused && s.Failure {
						t.Errorf("%+v: %+v", task, s)
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
func TestAttemptShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "tasks")
		tasks := make([]world.Task, n)
		bound, ended, done := 0, false, false
		for i := range tasks {
			tasks[i] = world.Task{Index: i, State: rapid.SampledFrom([]int{world.Idle, world.Bound}).Draw(t, "state"), Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt")}
			if rapid.IntRange(0, 9).Draw(t, "done") == 0 {
				tasks[i].State = world.Done
			}
			switch {
			case tasks[i].State == world.Done:
				done = true
			case tasks[i].State == world.Bound && tasks[i].Attempt == 2:
				bound++
			case tasks[i].Attempt >= 2:
				ended = true
			}
		}
		got := Attempt(n, func(i int) world.Task { return tasks[i] }, 2)
		switch {
		case done: // a done task tells it of all; records that also say otherwise are not written
		case ended && got != Broken, !ended && bound == n && got != Whole, !ended && bound < n && got != Forming:
			t.Errorf("%v: %v", tasks, got)
		}
	})
}
