package agent

import (
	"testing"
	"time"

	"sableusher/internal/wire"
)

// TestDelayedReportsIgnored checks that an older report changes nothing.
func TestDelayedReportsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMachine()
	running := wire.TaskStatus{Task: "run-1/0", Attempt: 1, State: wire.TaskRunning}
	m.applyReport(newReport(2, 7, testToken, running), fromHeartbeat, now)
	for _, old := range []*wire.Heartbeat{newReport(2, 7, testToken), newReport(2, 6, 9), newReport(1, 99, 9)} {
		effect := m.applyReport(old, fromHeartbeat, now.Add(time.Second))
		if effect != reportOutdated || !m.link.lastReport.Equal(now) {
			t.Fatalf("old report %+v was applied: %v", old, effect)
		}
	}
	_, binding := newBinding(2)
	expectPresence(t, m, binding, testToken, PresenceAlive, "after the delayed reports")
	_, binding = newBinding(1)
	expectPresence(t, m, binding, testToken, PresenceSessionEnded, "of a binding of an ended session")
}
