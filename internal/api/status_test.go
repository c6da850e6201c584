package api

import (
	"net/http"
	"testing"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestStatusRequests: a poll waits for the read barrier, and says 404 only when it is certain.
func TestStatusRequests(t *testing.T) {
	server := newTestServer()
	if status, _ := server.poll("run-000009"); status != http.StatusNotFound || server.barriers != 1 {
		t.Errorf("unknown job: %d after %d barriers", status, server.barriers)
	}
	server.barrierErr = kvstore.ErrUnavailable
	if status, _ := server.poll("run-000009"); status != http.StatusServiceUnavailable {
		t.Errorf("uncertain: %d", status)
	}
	server.barrierErr = nil
	// The cluster state lags: only the barrier brings the cancellation that another node confirmed.
	server.putJob(record.Job{Spec: testSpec()})
	server.onBarrier = func() { server.putJob(record.Job{Spec: testSpec(), CancelledAtMs: 5}) }
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Errorf("%d %q", status, state)
	}
	if status, _ := server.poll("nonsense"); status != http.StatusNotFound {
		t.Errorf("bad id: %d", status)
	}
}

// TestFailedJobIsFinalWithoutTasks: a job that ended itself is called failed once no task of it is left, to
// those who poll and to those who cancel; until then it runs.
func TestFailedJobIsFinalWithoutTasks(t *testing.T) {
	server := newTestServer()
	job := record.Job{Spec: testSpec(), CancelledAtMs: 5, CancelAfterRelease: true, Failed: true,
		Tasks: []record.Task{{Index: 1, State: record.TaskBound, Attempt: 1, Machine: "m", Session: 1}}}
	server.putJob(job)
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobRunning {
		t.Errorf("with a task on a machine: %d %q", status, state)
	}
	job.Tasks = nil
	server.putJob(job)
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobFailed {
		t.Errorf("%d %q", status, state)
	}
	if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobFailed {
		t.Errorf("cancelled: %d %q", status, state)
	}
}

// TestDependentOfCancelledJobIsNotPending: between the cancellation of a job and the record of one that
// depends on it, a poll must not call that one pending.
func TestDependentOfCancelledJobIsNotPending(t *testing.T) {
	server := newTestServer()
	first, second := testSpec(), testSpec()
	first.ID, second.Dependencies = otherJobID, []string{otherJobID}
	server.putJob(record.Job{Spec: second, SubmittedAtMs: 1})
	if status, _ := server.poll(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("status %d before it is known what became of the first", status)
	}
	server.putJob(record.Job{Spec: first, SubmittedAtMs: 1})
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobPending {
		t.Errorf("status %d, %s while the first is live", status, state)
	}
	server.putJob(record.Job{Spec: first, SubmittedAtMs: 1, CancelledAtMs: 2})
	if status, _ := server.poll(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("status %d after the first was cancelled", status)
	}
}
