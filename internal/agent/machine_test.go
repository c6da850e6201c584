package agent

import (
	"testing"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

func newReport(session, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m", Session: session, Sequence: seq, FencingToken: token, Tasks: tasks}
}

func bindingOf(session uint64) (map[record.TaskRef]clusterstate.Binding, clusterstate.Binding) {
	b := clusterstate.Binding{Ref: record.TaskRef{Job: "run-1"}, Job: &clusterstate.Job{}, Attempt: 1, Session: session}
	return map[record.TaskRef]clusterstate.Binding{b.Ref: b}, b
}

func attemptAlwaysEnded(record.TaskRef, uint64) bool { return true }

func noStopRequest(clusterstate.Binding) (stopRequest, bool) { return stopRequest{}, false }

// TestStartInDoubt: a direct start without an answer may arrive minutes later.
// Until it is fenced the task counts as there, and its exit is not forgotten.
func TestUnresolvedStart(t *testing.T) {
	now := time.Unix(100, 0)
	for name, fence := range map[string]*wire.Heartbeat{"higher token": newReport(1, 9, 6), "new session": newReport(2, 1, 0)} {
		t.Run(name, func(t *testing.T) {
			m := newMachine("m")
			m.applyReport(newReport(1, 1, 5), true, now)
			set, b := bindingOf(1)
			sent := m.commands(set, attemptAlwaysEnded, noStopRequest, 5, 0, now)
			if len(sent) != 1 || sent[0].Kind != wire.CommandStart {
				t.Fatalf("orders %+v", sent)
			}
			m.resolveStarts(sent, 1, 5, false)
			m.applyReport(newReport(1, 2, 5), true, now)
			if f, _ := m.presence(b, 5); f != PresenceUnknown {
				t.Fatalf("fate %v while the start is in doubt", f)
			}
			exited := wire.TaskStatus{Task: "run-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}
			m.applyReport(newReport(1, 3, 5, exited), true, now)
			if o := m.commands(nil, attemptAlwaysEnded, noStopRequest, 5, 3, now); len(o) != 0 {
				t.Fatalf("forgotten while the start is in doubt: %+v", o)
			}
			m.applyReport(fence, true, now)
			if m.startPending(attemptKey{b.Ref, 1}) {
				t.Fatal("still in doubt after the fence")
			}
		})
	}
}

// TestAnswerSettlesStarts: starts in the answer to a report are settled by the
// worker's next report, not by an answer to a direct command.
func TestNextHeartbeatResolvesStarts(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMachine("m")
	m.applyReport(newReport(1, 1, 5), true, now)
	set, b := bindingOf(1)
	m.commands(set, attemptAlwaysEnded, noStopRequest, 5, 1, now)
	m.applyReport(newReport(1, 2, 5), false, now)
	if f, _ := m.presence(b, 5); f != PresenceUnknown {
		t.Fatalf("fate %v while the answer may still be carried out", f)
	}
	m.applyReport(newReport(1, 3, 5), true, now)
	if f, _ := m.presence(b, 5); f != PresenceAbsent {
		t.Fatalf("fate %v after the next report", f)
	}
	if f, _ := m.presence(b, 6); f != PresenceUnknown {
		t.Fatalf("fate %v though earlier owners are not fenced", f)
	}
}

// TestLateReports: an older report never changes what is known.
func TestDelayedReportsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	m := newMachine("m")
	running := wire.TaskStatus{Task: "run-1/0", Attempt: 1, State: wire.TaskRunning}
	m.applyReport(newReport(2, 7, 5, running), true, now)
	for _, old := range []*wire.Heartbeat{newReport(2, 7, 5), newReport(2, 6, 9), newReport(1, 99, 9)} {
		if newer, _ := m.applyReport(old, true, now.Add(time.Second)); newer || !m.lastHeard.Equal(now) {
			t.Fatalf("took %+v", old)
		}
	}
	_, b := bindingOf(2)
	if f, _ := m.presence(b, 5); f != PresenceAlive {
		t.Fatalf("fate %v", f)
	}
	_, b = bindingOf(1)
	if f, _ := m.presence(b, 5); f != PresenceSessionEnded {
		t.Fatalf("fate %v of a binding of an ended session", f)
	}
}
