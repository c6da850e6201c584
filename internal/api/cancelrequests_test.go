package api

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const testShardCount = 3

// putOwners assigns each shard to a node of its own. The record of the first node is firstOwner; if that is nil, the
// node has no session. All other nodes honor cancellation requests.
func (s *testServer) putOwners(firstOwner *record.Node) {
	for shard := range testShardCount {
		name := []string{"node-0", "node-1", "node-2"}[shard]
		s.put(record.ShardKey(shard), record.Shard{Owner: name, OwnerIncarnation: 1, FencingToken: 1})
		if shard > 0 {
			s.put(record.NodeKey(name), record.Node{Incarnation: 1, HonorsCancelRequests: true})
		} else if firstOwner != nil {
			s.put(record.NodeKey(name), *firstOwner)
		}
	}
}

// lastJobWritten returns the job's record that the last transaction writes.
func (s *testServer) lastJobWritten(t *testing.T) (job record.Job) {
	t.Helper()
	if len(s.committed) == 0 {
		t.Fatal("no transaction was committed")
	}
	if err := wire.Decode(s.committed[len(s.committed)-1].Ops[0].Value, &job); err != nil {
		t.Fatal(err)
	}
	return job
}

// checkRequested fails the test unless the last transaction requests the cancellation of the job and is conditional
// on the owners of all shards and the schema version being unchanged.
func (s *testServer) checkRequested(t *testing.T) {
	t.Helper()
	written := s.lastJobWritten(t)
	if written.CancelledAtMs != 0 || written.CancelRequestedAtMs == 0 {
		t.Errorf("cancelled at %d, requested at %d", written.CancelledAtMs, written.CancelRequestedAtMs)
	}
	conditions := s.committed[len(s.committed)-1].Conditions
	unchanged := []wire.Condition{{Key: record.SchemaVersionKey}}
	for shard := range testShardCount {
		unchanged = append(unchanged, wire.Condition{Key: record.ShardKey(shard), ModRevision: initialRevision})
	}
	for _, condition := range unchanged {
		if !slices.Contains(conditions, condition) {
			t.Errorf("condition %+v is missing in %+v", condition, conditions)
		}
	}
}

func runningJob() record.Job { return record.Job{Spec: testSpec(), Tasks: boundTasks()} }

// TestCancellationIsRequestedFirst checks how a job with bound tasks is cancelled before the activation of
// tuning.SchemaVersionConfirmedCancel: the request is written to the job's record and the user receives 503; the job
// is marked as cancelled once none of its tasks is bound. The mark must not be written earlier, because a node of an
// older version reports the job as cancelled as soon as it reads the mark. A job was reported as cancelled in this
// way while a machine was still fetching the image of a task, and the task started afterwards.
func TestCancellationIsRequestedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		server.putOwners(&record.Node{Incarnation: 1, HonorsCancelRequests: true})
		requested := runningJob()
		requested.RequestCancel(5)
		server.putJob(runningJob())
		server.onCommit = func() { server.putJob(requested) }
		if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable {
			t.Errorf("a task is bound: status %d", status)
		}
		server.checkRequested(t)
		if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobRunning {
			t.Errorf("poll while a task is bound: status %d, state %q", status, state)
		}
		status, _ := server.cancel(testJobID)
		if status != http.StatusServiceUnavailable || len(server.committed) != 1 {
			t.Errorf("repeated request: status %d, %d transactions", status, len(server.committed))
		}
		requested.Tasks = nil
		server.putJob(requested)
		server.onCommit = nil
		if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
			t.Errorf("no task is bound: status %d, state %q", status, state)
		}
		written := server.lastJobWritten(t)
		if written.CancelledAtMs == 0 || written.CancelAfterRelease || written.CancelRequestedAtMs != 0 {
			t.Errorf("no task is bound: wrote %+v", written)
		}
	})
}

// TestCancelRequestOfSeveralRecords: a task in another record of the job may have been bound just before the request;
// the two writes do not conflict. The mark is therefore written only once the cluster state is as new as the request.
func TestCancelRequestOfSeveralRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		server.putOwners(&record.Node{Incarnation: 1, HonorsCancelRequests: true})
		job := record.Job{Spec: testSpec()}
		job.Spec.TaskCount = tuning.FixedChunkTasks + 2
		server.putJob(job)
		job.RequestCancel(5)
		markedAt := uint64(0)
		server.onCommit = func() {
			server.putJob(job)
			revision := uint64(initialRevision - 2)
			server.setRevision(revision)
			server.onBarrier = func() { // a binding may still be missing after the first barrier
				revision++
				server.setRevision(revision)
			}
			server.onCommit = func() { markedAt = revision }
		}
		if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
			t.Errorf("status %d, state %q, want 200, cancelled", status, state)
		}
		if len(server.committed) != 2 || markedAt != initialRevision {
			t.Fatalf("%d transactions, want the request and the mark; marked at revision %d",
				len(server.committed), markedAt)
		}
		if written := server.lastJobWritten(t); written.CancelledAtMs == 0 {
			t.Errorf("the last transaction does not mark the job: %+v", written)
		}
	})
}

// TestMarkOfSeveralRecordsNeedsAllOwners: while the owner of a shard has no session, its version is unknown. It may
// ignore the request and bind tasks in another record of the job, which does not conflict with the mark. Nothing is
// written until the owner has a session.
func TestMarkOfSeveralRecordsNeedsAllOwners(t *testing.T) {
	server := newTestServer()
	server.putOwners(nil)
	job := record.Job{Spec: testSpec()}
	job.Spec.TaskCount = tuning.FixedChunkTasks + 2
	job.RequestCancel(5)
	server.putJob(job)
	if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable || len(server.committed) > 0 {
		t.Errorf("status %d, %d transactions, want 503 and none", status, len(server.committed))
	}
}

// TestCancelRequestsNeedAllOwners: an owner of an older version ignores cancellation requests. If a shard has such an
// owner, the job is marked and confirmed at once, as that owner would do. While an owner has no session nothing is
// written.
func TestCancelRequestsNeedAllOwners(t *testing.T) {
	for name, test := range map[string]struct {
		owner            *record.Node
		wantStatus       int
		wantTransactions int
	}{
		"owner of an older version": {&record.Node{Incarnation: 1}, http.StatusOK, 1},
		"owner without a session":   {nil, http.StatusServiceUnavailable, 0},
		"owner is a process that has ended": {
			&record.Node{Incarnation: 2, HonorsCancelRequests: true}, http.StatusServiceUnavailable, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer()
			server.putOwners(test.owner)
			server.putJob(runningJob())
			status, _ := server.cancel(testJobID)
			if status != test.wantStatus || len(server.committed) != test.wantTransactions {
				t.Errorf("status %d, %d transactions; want %d, %d",
					status, len(server.committed), test.wantStatus, test.wantTransactions)
			}
		})
	}
}

// TestActivationAfterCancelRequest: once tuning.SchemaVersionConfirmedCancel is active, a pending cancellation request
// is replaced by a mark with CancelAfterRelease, which is confirmed only once no task is bound.
func TestActivationAfterCancelRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		server.putSchemaVersion(tuning.SchemaVersionConfirmedCancel)
		requested := runningJob()
		requested.RequestCancel(5)
		server.putJob(requested)
		marked := runningJob()
		marked.MarkCancelled(6, true)
		server.onCommit = func() { server.putJob(marked) }
		if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable {
			t.Errorf("a task is bound: status %d", status)
		}
		written := server.lastJobWritten(t)
		if written.CancelledAtMs == 0 || !written.CancelAfterRelease || written.CancelRequestedAtMs != 0 {
			t.Errorf("the request was not replaced by a mark with CancelAfterRelease: %+v", written)
		}
	})
}
