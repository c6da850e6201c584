package api

import (
	"net/http"
	"testing"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestStatusRequests: a poll waits for the read barrier, and is answered with 404 only if the job certainly does not
// exist.
func TestStatusRequests(t *testing.T) {
	server := newTestServer()
	if status, _ := server.poll("run-000009"); status != http.StatusNotFound || server.barriers != 1 {
		t.Errorf("unknown job: %d after %d barriers", status, server.barriers)
	}
	server.barrierErr = kvstore.ErrUnavailable
	if status, _ := server.poll("run-000009"); status != http.StatusServiceUnavailable {
		t.Errorf("failed read barrier: status %d", status)
	}
	server.barrierErr = nil
	// The cluster state is stale: it shows the cancellation confirmed by another node only after the barrier.
	server.putJob(record.Job{Spec: testSpec()})
	server.onBarrier = func() { server.putJob(record.Job{Spec: testSpec(), CancelledAtMs: 5}) }
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Errorf("cancelled after the barrier: status %d, state %q", status, state)
	}
	if status, _ := server.poll("nonsense"); status != http.StatusNotFound {
		t.Errorf("malformed id: status %d", status)
	}
}

// TestFailedJobIsFinalWithoutTasks: a job that the scheduler ended as failed is reported as running while a task of it
// is bound, and as failed afterwards, both to polls and to cancellations.
func TestFailedJobIsFinalWithoutTasks(t *testing.T) {
	server := newTestServer()
	job := record.Job{Spec: testSpec(), CancelledAtMs: 5, CancelAfterRelease: true, Failed: true,
		Tasks: []record.Task{{Index: 1, State: record.TaskBound, Attempt: 1, Machine: "m", Session: 1}}}
	server.putJob(job)
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobRunning {
		t.Errorf("a task is bound: status %d, state %q", status, state)
	}
	job.Tasks = nil
	server.putJob(job)
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobFailed {
		t.Errorf("no task is bound: status %d, state %q", status, state)
	}
	if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobFailed {
		t.Errorf("cancellation of a failed job: status %d, state %q", status, state)
	}
}

// TestDependentOfCancelledJobIsNotPending: when a job is cancelled, a job that depends on it is cancelled by a later
// write. Until then a poll must not report the dependent job as pending.
func TestDependentOfCancelledJobIsNotPending(t *testing.T) {
	server := newTestServer()
	first, second := testSpec(), testSpec()
	first.ID, second.Dependencies = otherJobID, []string{otherJobID}
	server.putJob(record.Job{Spec: second, SubmittedAtMs: 1})
	if status, _ := server.poll(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the outcome of the first job is unknown", status)
	}
	server.putJob(record.Job{Spec: first, SubmittedAtMs: 1})
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobPending {
		t.Errorf("status %d, %s while the first job is live", status, state)
	}
	server.putJob(record.Job{Spec: first, SubmittedAtMs: 1, CancelledAtMs: 2})
	if status, _ := server.poll(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("status %d after the first job was cancelled", status)
	}
}
