// Package settle decides what is to become of a bound task, given what its machine's
// worker last told of it. It decides only: records, workers and the fleet's notes are its
// caller's. Every fate, cause and kind has its row here, so that nothing else ends a
// binding (safety invariant 4).
package settle

import (
	"sableusher/internal/fleet"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Task is a bound task as its part's owner sees it.
type Task struct {
	fleet.TaskObservation
	Kind      string // of its job
	Cancelled bool   // its job is
	Stopping  bool   // it has been told to stop
	Counted   bool   // its failures are counted
	Spent     bool   // it has no repeat left
}

// Step is what to do about a task.
type Step struct {
	Release bool   // its binding ends
	State   int    // what it is then: world.Idle or world.Done
	Why     string // for the log
	Gang    bool   // all tasks of its attempt end with it
	Kick    bool   // its machine's worker is to be asked
	Image   bool   // the machine has its image
	Failure bool   // it failed by itself on this machine
	Refused bool   // the machine had less room than was thought
	Pause   bool   // its job waits for a growing while
	Count   bool   // a repeat is spent
	End     bool   // the job fails with it
}

// Decide gives what to do about a task.
func Decide(t Task) Step {
	switch t.Presence {
	case fleet.PresenceSessionEnded:
		return idle("session ended")
	case fleet.PresenceAbsent:
		if t.Stopping {
			return idle("never started")
		}
		return Step{Kick: true}
	case fleet.PresenceAlive:
		return Step{Image: t.State != wire.TaskFetching}
	case fleet.PresenceExited:
		return exited(t)
	}
	return Step{}
}

func idle(why string) Step { return Step{Release: true, State: world.Idle, Why: why} }

func exited(t Task) Step {
	s := idle(t.Cause)
	switch t.Cause {
	case wire.CauseDone:
		s.Image = true
		switch {
		case t.Kind == wire.KindService:
			s.Why, s.Pause = "service ended", true // it never should
		case t.Cancelled:
			s.Why = "done after its cancellation"
		default:
			// A gang completes together: one done task tells it of all.
			s.Why, s.State, s.Gang = "done", world.Done, t.Kind == wire.KindGang
		}
	case wire.CauseError:
		// Its class paces the repeats of what is counted.
		s.Failure, s.Pause, s.Count = true, !t.Counted, t.Counted
		s.End = t.Counted && t.Spent && !t.Cancelled
	case wire.CauseNoRoom, wire.CauseBusy:
		s.Refused = true
	case wire.CauseUnknown:
		s.Pause = true
	}
	return s
}

// Shape is how far a gang's attempt has come.
type Shape int

const (
	Forming Shape = iota // some of its tasks are not bound yet
	Whole                // all are bound, or one is done
	Broken               // one has ended without being done: it can't become whole any more
)

// Attempt tells the shape of a gang's attempt of so many tasks.
func Attempt(tasks int, task func(int) world.Task, attempt uint64) Shape {
	shape := Whole
	for i := range tasks {
		t := task(i)
		switch {
		case t.State == world.Done:
			return Whole
		case t.State == world.Bound && t.Attempt == attempt:
		case t.Attempt >= attempt:
			return Broken
		default:
			shape = Forming
		}
	}
	return shape
}
