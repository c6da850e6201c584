package api

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// boundTasks returns the recorded tasks of a job that has one task bound to a machine.
func boundTasks() []record.Task {
	return []record.Task{{State: record.TaskBound, Attempt: 1, Machine: "vm-000001", Session: 1}}
}

// TestCancellations: the cancellation of a live job is committed on the condition that its record has not changed. A
// job that has ended keeps its final state, and an unknown job is answered with 404.
func TestCancellations(t *testing.T) {
	server := newTestServer()
	if status, _ := server.cancel("run-000009"); status != http.StatusNotFound {
		t.Errorf("unknown job: status %d", status)
	}
	server.putFinalRecord(otherJobID, wire.JobDone)
	if status, state := server.cancel(otherJobID); status != http.StatusOK || state != wire.JobDone {
		t.Errorf("done job: status %d, state %q", status, state)
	}
	server.putJob(record.Job{Spec: testSpec()})
	status, state := server.cancel(testJobID)
	if status != http.StatusOK || state != wire.JobCancelled || len(server.committed) != 1 {
		t.Errorf("live job: status %d, state %q, %d transactions", status, state, len(server.committed))
	}
	unchanged := wire.Condition{Key: record.JobKey(testJobID), ModRevision: initialRevision}
	if conditions := server.committed[0].Conditions; !slices.Contains(conditions, unchanged) {
		t.Errorf("no condition on the job's record in %+v", conditions)
	}
	server.commitErr = kvstore.ErrOutcomeUnknown
	if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("unknown outcome of the commit: status %d", status)
	}
}

// TestCancellationIsConfirmedAfterRelease: neither the request nor a poll is answered with `cancelled` while a task of
// the job may be bound, or while the cluster state may lack a binding from just before the cancellation. A node
// on the other side of a network partition might still be renewing the lease of that task.
func TestCancellationIsConfirmedAfterRelease(t *testing.T) {
	cancelled := record.Job{Spec: testSpec(), CancelledAtMs: 5, CancelAfterRelease: true}
	cancelledWithTask := cancelled
	cancelledWithTask.Tasks = boundTasks()
	runningServer := func() *testServer {
		server := newTestServer()
		server.putSchemaVersion(tuning.SchemaVersionConfirmedCancel)
		server.putJob(record.Job{Spec: testSpec(), Tasks: boundTasks()})
		return server
	}
	t.Run("released later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := runningServer()
			server.onCommit = func() { server.putJob(cancelledWithTask) }
			const unavailable = http.StatusServiceUnavailable
			if status, _ := server.cancel(testJobID); status != unavailable || len(server.committed) != 1 {
				t.Errorf("a task is bound: status %d, %d transactions", status, len(server.committed))
			}
			if _, state := server.poll(testJobID); state != wire.JobRunning {
				t.Errorf("a task is bound: poll returned %q", state)
			}
			if status, _ := server.cancel(testJobID); status != unavailable || len(server.committed) != 1 {
				t.Errorf("repeated request: status %d, %d transactions", status, len(server.committed))
			}
			server.putJob(cancelled)
			server.setRevision(initialRevision - 1)
			if _, state := server.poll(testJobID); state == wire.JobCancelled {
				t.Error("confirmed though the cluster state may lack a binding")
			}
			server.setRevision(initialRevision)
			if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
				t.Errorf("no task is bound: status %d, state %q", status, state)
			}
			if _, state := server.poll(testJobID); state != wire.JobCancelled {
				t.Errorf("no task is bound: poll returned %q", state)
			}
		})
	})
	t.Run("released while the request waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := runningServer()
			server.onCommit = func() { server.putJob(cancelled) }
			if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
				t.Errorf("status %d, state %q, want 200, cancelled", status, state)
			}
		})
	})
}

// completingJob is a job whose tasks are spread over two records. All tasks of the first record are done, and all but
// one of the second.
type completingJob struct {
	spec  wire.JobSpec
	first []record.Task
}

func newCompletingJob() *completingJob {
	job := &completingJob{spec: testSpec(), first: make([]record.Task, tuning.FixedChunkTasks)}
	job.spec.TaskCount = tuning.FixedChunkTasks + 2
	for i := range job.first {
		job.first[i] = record.Task{Index: i, State: record.TaskDone, Attempt: 1}
	}
	return job
}

func (j *completingJob) putLive(s *testServer) {
	s.putJob(record.Job{Spec: j.spec, Tasks: j.first})
	last := boundTasks()[0]
	last.Index = j.spec.TaskCount - 1
	j.putSecondChunk(s, last)
}

func (j *completingJob) putComplete(s *testServer) {
	last := boundTasks()[0]
	last.Index, last.State = j.spec.TaskCount-1, record.TaskDone
	j.putSecondChunk(s, last)
}

func (j *completingJob) putSecondChunk(s *testServer, last record.Task) {
	done := record.Task{Index: j.spec.TaskCount - 2, State: record.TaskDone, Attempt: 1}
	chunk := record.FixedChunk{Tasks: []record.Task{done, last}}
	s.put(record.FixedChunkKey(j.spec.ID, 1), chunk)
}

func (j *completingJob) putCancelled(s *testServer) {
	s.putJob(record.Job{Spec: j.spec, Tasks: j.first, CancelledAtMs: 5, CancelAfterRelease: true})
}

// TestCancellationAtCompletion: the last task of a job with several records may complete in a record other than the
// one that the cancellation writes, so the two writes do not conflict. Such a job must be reported as done by every
// node and for every request, because users may have received that response before the job was marked, and jobs that
// depend on it may start. It guards against a job that is first reported as cancelled, and as done after the leader
// has written its final record.
func TestCancellationAtCompletion(t *testing.T) {
	const whileMarked = "completed while it is marked"
	job := newCompletingJob()
	for name, prepare := range map[string]func(*testServer){
		"completed before it is marked": func(s *testServer) { job.putComplete(s); job.putCancelled(s) },
		whileMarked: func(s *testServer) {
			s.onCommit = func() { job.putComplete(s); job.putCancelled(s) }
		},
		"completed without a final record": job.putComplete,
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer()
			server.putSchemaVersion(tuning.SchemaVersionConfirmedCancel)
			job.putLive(server)
			prepare(server)
			for i, request := range []func(string) (int, wire.JobState){server.cancel, server.poll, server.cancel} {
				if status, state := request(job.spec.ID); status != http.StatusOK || state != wire.JobDone {
					t.Errorf("request %d: status %d, state %q, want done", i, status, state)
				}
			}
			if want := name == whileMarked; want != (len(server.committed) == 1) {
				t.Errorf("%d transactions", len(server.committed))
			}
		})
	}
}

// TestCancellationAtCompletionWithOlderNodes: below tuning.SchemaVersionConfirmedCancel, and while an owner ignores
// cancellation requests, a job is marked and confirmed at once. The node's own mark shows ahead of an older change by
// another node that has completed the job in another record. Guards against a job that is reported as cancelled, and
// later as done.
func TestCancellationAtCompletionWithOlderNodes(t *testing.T) {
	job := newCompletingJob()
	server := newTestServer()
	job.putLive(server)
	marked := func() {
		cancelled := record.Job{Spec: job.spec, Tasks: job.first, CancelledAtMs: 5}
		server.putAt(record.JobKey(job.spec.ID), cancelled, initialRevision+2)
	}
	server.onCommit = func() {
		marked()
		server.onBarrier = func() { // the next barrier shows the completion, which is older than the mark
			job.putComplete(server)
			server.setRevision(initialRevision + 2)
		}
	}
	if status, state := server.cancel(job.spec.ID); status != http.StatusOK || state != wire.JobDone {
		t.Errorf("cancellation: status %d, state %q, want done", status, state)
	}
	if len(server.committed) != 1 {
		t.Errorf("%d transactions, want one", len(server.committed))
	}
	server = newTestServer()
	job.putLive(server)
	server.onBarrier = marked // between the barrier's response and the poll's look at the cluster state
	if status, state := server.poll(job.spec.ID); status != http.StatusOK || state != wire.JobRunning {
		t.Errorf("poll: status %d, state %q, want running", status, state)
	}
}

// TestCancellationWithOlderVersions checks cancellations before and after the activation of
// tuning.SchemaVersionConfirmedCancel. Nodes of older versions confirm a cancellation at once, newer ones only after
// the tasks are released. Until the activation, newer nodes therefore also confirm at once; otherwise their polls
// report a job as running that another node has reported as cancelled, as happened during upgrades. Such a
// cancellation is conditional on the schema version. One that was confirmed before the activation stays confirmed.
// One that was written after it may be the delayed write of a process that has ended since, and is neither confirmed
// nor denied.
func TestCancellationWithOlderVersions(t *testing.T) {
	confirmedAtOnce := record.Job{Spec: testSpec(), Tasks: boundTasks(), CancelledAtMs: 5}
	server := newTestServer()
	server.putJob(record.Job{Spec: testSpec(), Tasks: boundTasks()})
	if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Fatalf("older schema version: status %d, state %q", status, state)
	}
	versionUnchanged := wire.Condition{Key: record.SchemaVersionKey}
	if conditions := server.committed[0].Conditions; !slices.Contains(conditions, versionUnchanged) {
		t.Errorf("the transaction is not conditional on the schema version: %+v", conditions)
	}
	server.putJob(confirmedAtOnce)
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Errorf("confirmed by another node: status %d, state %q", status, state)
	}
	server.putSchemaVersion(tuning.SchemaVersionConfirmedCancel) // at the same revision as the cancellation
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Errorf("confirmed before the activation: status %d, state %q", status, state)
	}
	server.putAt(record.JobKey(testJobID), confirmedAtOnce, initialRevision+1)
	if status, state := server.poll(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("written after the activation without CancelAfterRelease: status %d, state %q", status, state)
	}
}
