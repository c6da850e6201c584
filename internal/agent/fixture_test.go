package agent

import (
	"testing"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/wire"
)

// testToken is the fencing token of all shards at first.
const testToken = 5

// newReport makes a report of machine "m".
func newReport(session, sequence, fencingToken uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m", Session: session, Sequence: sequence, FencingToken: fencingToken, Tasks: tasks}
}

// newBinding makes the binding of a task to a session of its agent, alone and among those of its machine.
func newBinding(session uint64) (map[clusterstate.TaskRef]clusterstate.Binding, clusterstate.Binding) {
	binding := clusterstate.Binding{
		Ref: clusterstate.TaskRef{Job: "run-1"}, Job: &clusterstate.Job{}, Attempt: 1, Session: session,
	}
	return map[clusterstate.TaskRef]clusterstate.Binding{binding.Ref: binding}, binding
}

// planCommands gives the commands for a machine whose reported attempts have all ended in the records, and
// for which no stop is wanted.
func planCommands(
	m *machine, bindings map[clusterstate.TaskRef]clusterstate.Binding, heartbeatSequence uint64, now time.Time,
) []wire.Command {
	plan := commandPlan{
		machine: m, bindings: bindings,
		attemptEnded: func(clusterstate.TaskRef, uint64) bool { return true },
		stopRequest:  func(clusterstate.Binding) (stopRequest, bool) { return stopRequest{}, false },
		fencingToken: testToken, heartbeatSequence: heartbeatSequence, now: now,
	}
	return plan.commands()
}

// expectPresence fails the test if the reports of a machine prove anything else of a binding.
func expectPresence(
	t *testing.T, m *machine, binding clusterstate.Binding, fencingToken uint64, want TaskPresence, when string,
) {
	t.Helper()
	if got := m.observe(binding, fencingToken).Presence; got != want {
		t.Fatalf("presence %v %s, want %v", got, when, want)
	}
}
