package agent

import (
	"testing"
	"time"

	"sableusher/internal/wire"
)

// TestUnresolvedStart checks that a direct start without a response, which may arrive minutes later, stays pending
// until it is fenced. Until then the task is not proved absent, and the agent is not told to forget its exit.
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
				t.Fatalf("commands while the start is unresolved: %+v", commands)
			}
			m.applyReport(fence, fromHeartbeat, now)
			if m.starts.pending(keyOf(binding)) {
				t.Fatal("start still pending after it was fenced")
			}
		})
	}
}

// TestNextHeartbeatResolvesStarts checks that starts in the response to a heartbeat are resolved by the agent's next
// heartbeat and not by the response to a direct command.
func TestNextHeartbeatResolvesStarts(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMachine()
	m.applyReport(newReport(1, 1, testToken), fromHeartbeat, now)
	bindings, binding := newBinding(1)
	planCommands(m, bindings, 1, now)
	m.applyReport(newReport(1, 2, testToken), fromCommandResponse, now)
	expectPresence(t, m, binding, testToken, PresenceUnknown, "while the start in the response is pending")
	m.applyReport(newReport(1, 3, testToken), fromHeartbeat, now)
	expectPresence(t, m, binding, testToken, PresenceAbsent, "after the next heartbeat")
	expectPresence(t, m, binding, testToken+1, PresenceUnknown, "while earlier owners are not fenced")
}
