package scheduler

import (
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestGangIsDoneWithOneOfItsTasks: where one task's worker has lost its session after the
// gang had completed, the other's report tells it of both. The job once waited for ever.
func TestGangIsDoneWithOneOfItsTasks(t *testing.T) {
	fixture := newTestCluster(t)
	fixture.addJob(gangSpec(1, 2), record.Task{Index: 0, State: record.TaskDone, Attempt: 1}, record.Task{Index: 1, Attempt: 1})
	ended := 0
	for i := range testShards {
		fixture.cluster.RLock()
		c := fixture.engines[i].newCycle(testNow)
		c.reconcileMachines()
		c.buildChanges()
		fixture.cluster.RUnlock()
		for _, change := range c.outgoing {
			if op := change.transaction.Ops[0]; op.PutKey == record.FinalKey("run-1") {
				ended++
				var rec record.Final
				if err := wire.Decode(op.Value, &rec); err != nil || rec.Status != wire.JobDone || rec.DoneCount != 2 {
					t.Errorf("%+v, %v", rec, err)
				}
			}
		}
	}
	if ended != 1 {
		t.Errorf("ended by %d nodes", ended)
	}
}

// TestPartlyDoneGangIsCancelled: a gang of which one task is done and none is on a machine is completed by
// the leader; once it is marked as cancelled its user may have been told so, and it ends as that.
func TestPartlyDoneGangIsCancelled(t *testing.T) {
	for _, cancelMs := range []int64{0, 5} {
		fixture := newTestCluster(t)
		spec := gangSpec(1, 2)
		spec.Team, spec.Class = "t", "c"
		rec := record.Job{Spec: spec, SubmittedAtMs: 1, CancelledAtMs: cancelMs, CancelAfterRelease: cancelMs != 0,
			Tasks: []record.Task{{Index: 0, State: record.TaskDone, Attempt: 1}, {Index: 1, State: record.TaskPending, Attempt: 1}}}
		fixture.cluster.BeginUpdate()
		fixture.cluster.Put(record.JobKey(spec.ID), wire.MustEncode(rec), 0) // the view holds all up to it
		fixture.cluster.EndUpdate()
		fixture.cluster.RLock()
		c := fixture.engines[0].newCycle(testNow)
		c.finishJobs()
		c.buildChanges()
		fixture.cluster.RUnlock()
		want := wire.JobDone
		if cancelMs != 0 {
			want = wire.JobCancelled
		}
		var final record.Final
		for _, change := range c.outgoing {
			for _, o := range change.transaction.Ops {
				if o.PutKey == record.FinalKey(spec.ID) {
					_ = wire.Decode(o.Value, &final)
				}
			}
		}
		if final.Status != want {
			t.Errorf("cancelled at %d: ends as %q, want %q", cancelMs, final.Status, want)
		}
	}
}
