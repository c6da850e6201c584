package agent

import (
	"testing"
	"time"

	"sableusher/internal/wire"
)

// TestUnresolvedStart: a direct start without an answer may arrive minutes later. Until it is fenced the task
// counts as there, and its exit is not forgotten.
func TestUnresolvedStart(t *testing.T) {
	now := time.Unix(100, 0)
	for name, fence := range map[string]*wire.Heartbeat{
		"higher token": newReport(1, 9, testToken+1),
		"new session":  newReport(2, 1, 0),
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.applyReport(newReport(1, 1, testToken), fromHeartbeat, now)
			bindings, binding := newBinding(1)
			sent := planCommands(m, bindings, 0, now)
			if len(sent) != 1 || sent[0].Kind != wire.CommandStart {
				t.Fatalf("commands %+v", sent)
			}
			m.resolveCommand(&wire.CommandRequest{Session: 1, FencingToken: testToken, Commands: sent}, false)
			m.applyReport(newReport(1, 2, testToken), fromHeartbeat, now)
			expectPresence(t, m, binding, testToken, PresenceUnknown, "while the start is unresolved")
			exited := wire.TaskStatus{
				Task: "run-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone,
			}
			m.applyReport(newReport(1, 3, testToken, exited), fromHeartbeat, now)
			if commands := planCommands(m, nil, 3, now); len(commands) != 0 {
				t.Fatalf("forgotten while the start is unresolved: %+v", commands)
			}
			m.applyReport(fence, fromHeartbeat, now)
			if m.starts.pending(keyOf(binding)) {
				t.Fatal("still pending after the fence")
			}
		})
	}
}

// TestNextHeartbeatResolvesStarts: starts in the answer to a heartbeat are resolved by the agent's next
// heartbeat, not by an answer to a direct command.
func TestNextHeartbeatResolvesStarts(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMachine()
	m.applyReport(newReport(1, 1, testToken), fromHeartbeat, now)
	bindings, binding := newBinding(1)
	planCommands(m, bindings, 1, now)
	m.applyReport(newReport(1, 2, testToken), fromCommandResponse, now)
	expectPresence(t, m, binding, testToken, PresenceUnknown, "while the answer may still be carried out")
	m.applyReport(newReport(1, 3, testToken), fromHeartbeat, now)
	expectPresence(t, m, binding, testToken, PresenceAbsent, "after the next heartbeat")
	expectPresence(t, m, binding, testToken+1, PresenceUnknown, "though earlier owners are not fenced")
}
