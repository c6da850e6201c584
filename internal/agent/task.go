package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	ref     record.TaskRef
	attempt uint64
}

// keyOf returns the key of a binding's attempt.
func keyOf(binding clusterstate.Binding) attemptKey { return attemptKey{binding.Ref, binding.Attempt} }

// reportedTask is a task as its agent last reported it.
type reportedTask struct {
	wire.TaskStatus
	stateSince time.Time // when it was first reported in this state
}

// unboundTask is a task whose attempt has ended, and that was reported after that or is forgotten.
type unboundTask struct {
	since     time.Time // when it was first reported, or its agent was first told to forget it
	forgotten bool      // its exit was reported, and its agent was told to forget it
	reported  bool      // it was logged as alive
}

// TaskPresence is what the reports prove about whether a bound task is on its machine.
type TaskPresence int

// Presences of a bound task.
const (
	PresenceUnknown      TaskPresence = iota // the reports prove nothing
	PresenceAlive                            // the agent reports it as not exited
	PresenceExited                           // the agent reports its exit
	PresenceSessionEnded                     // the agent has a newer session, which has no tasks of earlier ones
	PresenceAbsent                           // the agent does not report it, and no command can start it any more
)

// String returns the presence's name in logs.
func (p TaskPresence) String() string {
	switch p {
	case PresenceAlive:
		return "alive"
	case PresenceExited:
		return "exited"
	case PresenceSessionEnded:
		return "session ended"
	case PresenceAbsent:
		return "absent"
	default:
		return "unknown"
	}
}

// TaskObservation is what the newest report of a machine shows about a task that is bound to it.
type TaskObservation struct {
	Presence        TaskPresence
	State           wire.TaskState // as reported by the agent; empty if the agent does not report the task
	Cause           wire.ExitCause // of the exit; set only for an exited task
	CheckpointSaved bool           // its checkpoint was saved before it exited
	StateSince      time.Time      // when the task was first reported in this state
}

// ObserveTask returns what is known about a task bound to a machine, for an owner with the given fencing token.
func (r *Registry) ObserveTask(binding clusterstate.Binding, machineName string, fencingToken uint64) TaskObservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.machines[machineName]
	if m == nil {
		return TaskObservation{}
	}
	return m.observe(binding, fencingToken)
}

// observe returns what the newest report shows about a binding.
func (m *machine) observe(binding clusterstate.Binding, fencingToken uint64) TaskObservation {
	if m.session.id > binding.Session {
		return TaskObservation{Presence: PresenceSessionEnded}
	}
	if m.session.id < binding.Session {
		return TaskObservation{Presence: PresenceUnknown}
	}
	key := keyOf(binding)
	if task, ok := m.tasks[key]; ok {
		presence := PresenceAlive
		if task.State == wire.TaskExited {
			presence = PresenceExited
		}
		return TaskObservation{presence, task.State, task.ExitCause, task.CheckpointSaved, task.stateSince}
	}
	// Commands of earlier owners are fenced only once the agent reports this owner's token.
	if membership.TokenRangeOf(fencingToken).Contains(m.session.fencingToken) && !m.starts.pending(key) {
		return TaskObservation{Presence: PresenceAbsent}
	}
	return TaskObservation{Presence: PresenceUnknown}
}
