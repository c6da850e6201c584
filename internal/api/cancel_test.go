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

// boundTasks are the tasks of a job with one of them on a machine.
func boundTasks() []record.Task {
	return []record.Task{{State: record.TaskBound, Attempt: 1, Machine: "vm-000001", Session: 1}}
}

// TestCancellations: a cancellation of a live job is committed under the condition that its record has not
// changed; a job that is over stays so, and one that never was is 404.
func TestCancellations(t *testing.T) {
	server := newTestServer()
	if status, _ := server.cancel("run-000009"); status != http.StatusNotFound {
		t.Errorf("unknown job: %d", status)
	}
	server.putFinalRecord(otherJobID, wire.JobDone)
	if status, state := server.cancel(otherJobID); status != http.StatusOK || state != wire.JobDone {
		t.Errorf("done job: %d %q", status, state)
	}
	server.putJob(record.Job{Spec: testSpec()})
	status, state := server.cancel(testJobID)
	if status != http.StatusOK || state != wire.JobCancelled || len(server.committed) != 1 {
		t.Errorf("live job: %d %q, %d writes", status, state, len(server.committed))
	}
	unchanged := wire.Condition{Key: record.JobKey(testJobID), ModRevision: initialRevision}
	if conditions := server.committed[0].Conditions; !slices.Contains(conditions, unchanged) {
		t.Errorf("conditions %+v", conditions)
	}
	server.commitErr = kvstore.ErrOutcomeUnknown
	if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("no answer: %d", status)
	}
}

// TestCancellationIsConfirmedAfterRelease: while a task of the job may be on a machine, or the cluster state
// may lack a binding from just before the cancellation, neither the request nor a poll says `cancelled`: a
// controller behind a partition might be renewing its lease.
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
				t.Errorf("a task is on a machine: %d, %d writes", status, len(server.committed))
			}
			if _, state := server.poll(testJobID); state != wire.JobRunning {
				t.Errorf("a task is on a machine: %q", state)
			}
			if status, _ := server.cancel(testJobID); status != unavailable || len(server.committed) != 1 {
				t.Errorf("asked again: %d, %d writes", status, len(server.committed))
			}
			server.putJob(cancelled)
			server.revision = initialRevision - 1
			if _, state := server.poll(testJobID); state == wire.JobCancelled {
				t.Error("confirmed though the cluster state may lack a binding")
			}
			server.revision = initialRevision
			if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
				t.Errorf("no task is left: %d %q", status, state)
			}
			if _, state := server.poll(testJobID); state != wire.JobCancelled {
				t.Errorf("no task is left: %q to a poll", state)
			}
		})
	})
	t.Run("released while the request waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := runningServer()
			server.onCommit = func() { server.putJob(cancelled) }
			if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
				t.Errorf("%d %q", status, state)
			}
		})
	})
}

// completingJob is a job with two records: all tasks of the first are done, and all but one of the second.
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

// TestCancellationAtCompletion: the last task of a job with several records ends in a change of a further one,
// with which a cancellation at that moment does not collide. Such a job is done, for every node and every
// question, since users may have had that answer before it was marked; what depends on it may start. Once it was
// called cancelled, and done when the leader had ended it.
func TestCancellationAtCompletion(t *testing.T) {
	const whileMarked = "while it is marked"
	job := newCompletingJob()
	for name, prepare := range map[string]func(*testServer){
		"before it is marked": func(s *testServer) { job.putComplete(s); job.putCancelled(s) },
		whileMarked: func(s *testServer) {
			s.onCommit = func() { job.putComplete(s); job.putCancelled(s) }
		},
		"complete, not yet over": job.putComplete,
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer()
			server.putSchemaVersion(tuning.SchemaVersionConfirmedCancel)
			job.putLive(server)
			prepare(server)
			for i, ask := range []func(string) (int, wire.JobState){server.cancel, server.poll, server.cancel} {
				if status, state := ask(job.spec.ID); status != http.StatusOK || state != wire.JobDone {
					t.Errorf("question %d: %d %q, want done", i, status, state)
				}
			}
			if want := name == whileMarked; want != (len(server.committed) == 1) {
				t.Errorf("%d changes", len(server.committed))
			}
		})
	}
}

// TestCancellationWithOlderVersions: nodes of an older version confirm cancellations at once. Until all nodes
// confirm them after release the new ones do as they do, or a poll would call a job running that was called
// cancelled, as it did on days with an upgrade; the schema version is a condition of such a cancellation.
// What was confirmed before stays confirmed; of what may be the late change of a process that has ended
// neither is answered.
func TestCancellationWithOlderVersions(t *testing.T) {
	confirmedAtOnce := record.Job{Spec: testSpec(), Tasks: boundTasks(), CancelledAtMs: 5}
	server := newTestServer()
	server.putJob(record.Job{Spec: testSpec(), Tasks: boundTasks()})
	if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Fatalf("not all nodes confirm late: %d %q", status, state)
	}
	versionUnchanged := wire.Condition{Key: record.SchemaVersionKey}
	if conditions := server.committed[0].Conditions; !slices.Contains(conditions, versionUnchanged) {
		t.Errorf("the schema version is no condition: %+v", conditions)
	}
	server.putJob(confirmedAtOnce)
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Errorf("confirmed by another node: %d %q", status, state)
	}
	server.putSchemaVersion(tuning.SchemaVersionConfirmedCancel) // at the same revision: not before it
	if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobCancelled {
		t.Errorf("confirmed before the version: %d %q", status, state)
	}
	server.putAt(record.JobKey(testJobID), confirmedAtOnce, initialRevision+1)
	if status, state := server.poll(testJobID); status != http.StatusServiceUnavailable {
		t.Errorf("written after the version without its mark: %d %q", status, state)
	}
}
