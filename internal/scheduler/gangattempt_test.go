package scheduler

import (
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// finalRecords returns the final records of a job that a cycle's changes write.
func finalRecords(t *testing.T, c *cycle, jobID string) []record.Final {
	t.Helper()
	var finals []record.Final
	for _, change := range c.outgoing {
		for _, op := range change.transaction.Ops {
			if op.PutKey != record.FinalKey(jobID) {
				continue
			}
			var final record.Final
			if err := wire.Decode(op.Value, &final); err != nil {
				t.Errorf("final record of %s: %v", jobID, err)
			}
			finals = append(finals, final)
		}
	}
	return finals
}

// TestGangIsDoneWithOneOfItsTasks checks that a gang is completed when only one of its tasks is reported as done,
// because the other task's agent lost its session after the gang had completed. Otherwise the job waits forever.
func TestGangIsDoneWithOneOfItsTasks(t *testing.T) {
	fixture := newTestCluster(t)
	spec := gangSpec(1, 2)
	fixture.addJob(spec, record.Task{Index: 0, State: record.TaskDone, Attempt: 1}, record.Task{Index: 1, Attempt: 1})
	ended := 0
	for i := range testShards {
		c := fixture.inCycle(i, func(c *cycle) {
			c.reconcileMachines()
			c.buildChanges()
		})
		for _, final := range finalRecords(t, c, spec.ID) {
			ended++
			if final.Status != wire.JobDone || final.DoneCount != 2 {
				t.Errorf("final record %+v, want status done with 2 done tasks", final)
			}
		}
	}
	if ended != 1 {
		t.Errorf("final records written by %d nodes, want 1", ended)
	}
}

// TestPartlyDoneGangIsCancelled checks that the leader completes a gang of which one task is done and none is bound. If
// the gang is marked as cancelled, its user may already have received that state, so it must end as cancelled.
func TestPartlyDoneGangIsCancelled(t *testing.T) {
	for cancelledAtMs, want := range map[int64]wire.JobState{0: wire.JobDone, 5: wire.JobCancelled} {
		fixture := newTestCluster(t)
		spec := gangSpec(1, 2)
		spec.Team, spec.Class = "t", "c"
		job := record.Job{
			Spec: spec, SubmittedAtMs: 1, CancelledAtMs: cancelledAtMs, CancelAfterRelease: cancelledAtMs != 0,
			Tasks: []record.Task{
				{Index: 0, State: record.TaskDone, Attempt: 1},
				{Index: 1, State: record.TaskPending, Attempt: 1},
			},
		}
		fixture.cluster.BeginUpdate()
		// The record has revision 0, so that the cluster state has reached it.
		fixture.cluster.Put(record.JobKey(spec.ID), wire.MustEncode(job), 0)
		fixture.cluster.EndUpdate()
		c := fixture.inCycle(0, func(c *cycle) {
			c.finishJobs()
			c.buildChanges()
		})
		finals := finalRecords(t, c, spec.ID)
		if len(finals) != 1 || finals[0].Status != want {
			t.Errorf("cancelled at %d ms: final records %+v, want %q", cancelledAtMs, finals, want)
		}
	}
}
