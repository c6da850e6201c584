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

// putOwners gives each shard to a node of its own, all of which honor requests to cancel jobs, but for one of the
// nodes, which is as given; nil: that node has no session.
func (s *testServer) putOwners(exception *record.Node) {
	for shard := range testShardCount {
		name := []string{"node-0", "node-1", "node-2"}[shard]
		s.put(record.ShardKey(shard), record.Shard{Owner: name, OwnerIncarnation: 1, FencingToken: 1})
		if shard > 0 {
			s.put(record.NodeKey(name), record.Node{Incarnation: 1, HonorsCancelRequests: true})
		} else if exception != nil {
			s.put(record.NodeKey(name), *exception)
		}
	}
}

// lastJobWritten is the job's record as the last transaction writes it.
func (s *testServer) lastJobWritten(t *testing.T) (job record.Job) {
	t.Helper()
	if len(s.committed) == 0 {
		t.Fatal("no transaction")
	}
	if err := wire.Decode(s.committed[len(s.committed)-1].Ops[0].Value, &job); err != nil {
		t.Fatal(err)
	}
	return job
}

// checkRequested fails unless the last transaction requests that the job be cancelled, under the conditions that the
// owners of all shards and the schema version are as they were.
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
			t.Errorf("%+v is no condition: %+v", condition, conditions)
		}
	}
}

func runningJob() record.Job { return record.Job{Spec: testSpec(), Tasks: boundTasks()} }

// TestCancellationIsRequestedFirst: below tuning.SchemaVersionConfirmedCancel a user was told that a job is cancelled
// while a machine still fetched the image of a task: it started afterwards. A node of an older version reports the
// mark as soon as it reads it, so nothing is marked while a task is bound: the request stands in the record, the
// user gets 503, and the mark follows once nothing is bound.
func TestCancellationIsRequestedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer()
		server.putOwners(&record.Node{Incarnation: 1, HonorsCancelRequests: true})
		requested := runningJob()
		requested.RequestCancel(5)
		server.putJob(runningJob())
		server.onCommit = func() { server.putJob(requested) }
		if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable {
			t.Errorf("a task is bound: %d", status)
		}
		server.checkRequested(t)
		if status, state := server.poll(testJobID); status != http.StatusOK || state != wire.JobRunning {
			t.Errorf("a poll meanwhile: %d %q", status, state)
		}
		status, _ := server.cancel(testJobID)
		if status != http.StatusServiceUnavailable || len(server.committed) != 1 {
			t.Errorf("asked again: %d, %d writes", status, len(server.committed))
		}
		requested.Tasks = nil
		server.putJob(requested)
		server.onCommit = nil
		if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
			t.Errorf("nothing is bound: %d %q", status, state)
		}
		written := server.lastJobWritten(t)
		if written.CancelledAtMs == 0 || written.CancelAfterRelease || written.CancelRequestedAtMs != 0 {
			t.Errorf("nothing is bound: wrote %+v", written)
		}
	})
}

// TestCancelRequestOfSeveralRecords: a task of a further record may have been bound just before the request, which
// does not collide with that. So the mark follows only once the cluster state is as new as the request.
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
			server.revision = initialRevision - 2
			server.onBarrier = func() { server.revision++ } // a binding may still be missing after the first one
			server.onCommit = func() { markedAt = server.revision }
		}
		if status, state := server.cancel(testJobID); status != http.StatusOK || state != wire.JobCancelled {
			t.Errorf("%d %q", status, state)
		}
		if len(server.committed) != 2 || markedAt != initialRevision {
			t.Fatalf("%d writes, want the request and the mark; marked at revision %d", len(server.committed), markedAt)
		}
		if written := server.lastJobWritten(t); written.CancelledAtMs == 0 {
			t.Errorf("wrote %+v", written)
		}
	})
}

// TestMarkOfSeveralRecordsNeedsAllOwners: while an owner has no session it may be of a version that binds tasks of the
// job all the same, in a further record, with which the mark does not collide: nothing is written.
func TestMarkOfSeveralRecordsNeedsAllOwners(t *testing.T) {
	server := newTestServer()
	server.putOwners(nil)
	job := record.Job{Spec: testSpec()}
	job.Spec.TaskCount = tuning.FixedChunkTasks + 2
	job.RequestCancel(5)
	server.putJob(job)
	if status, _ := server.cancel(testJobID); status != http.StatusServiceUnavailable || len(server.committed) > 0 {
		t.Errorf("%d, %d writes", status, len(server.committed))
	}
}

// TestCancelRequestsNeedAllOwners: a request has no effect on an owner of a version that does not know of it: the
// job is marked and confirmed at once, as that owner would. While an owner has no session nothing is written.
func TestCancelRequestsNeedAllOwners(t *testing.T) {
	for name, test := range map[string]struct {
		owner      *record.Node
		wantStatus int
		wantWrites int
	}{
		"owner of a version before": {&record.Node{Incarnation: 1}, http.StatusOK, 1},
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
			if status != test.wantStatus || len(server.committed) != test.wantWrites {
				t.Errorf("%d, %d writes; want %d, %d", status, len(server.committed), test.wantStatus, test.wantWrites)
			}
		})
	}
}

// TestActivationAfterCancelRequest: from tuning.SchemaVersionConfirmedCancel on a request that still stands is
// replaced by the mark of that version, and confirmed only once nothing is bound.
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
			t.Errorf("a task is bound: %d", status)
		}
		written := server.lastJobWritten(t)
		if written.CancelledAtMs == 0 || !written.CancelAfterRelease || written.CancelRequestedAtMs != 0 {
			t.Errorf("wrote %+v", written)
		}
	})
}
