package scheduler

import (
	"slices"
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// reconciledChunk reconciles all machines in a cycle of the owner of a machine, and returns the change of the job's
// second chunk: its conditions, and the states of the tasks that it writes.
func (f *testCluster) reconciledChunk(
	t *testing.T, machine, chunkKey string,
) (conditions []wire.Condition, states []record.TaskState) {
	t.Helper()
	owner := record.ShardOf(machine, testShards)
	f.engines[owner].machinesToReconcile.add(machine)
	c := f.inCycle(owner, func(c *cycle) {
		c.reconcileMachines()
		c.buildChanges()
	})
	for _, change := range c.outgoing {
		for _, op := range change.transaction.Ops {
			if op.PutKey != chunkKey {
				continue
			}
			tasks, err := record.DecodeFixedChunk(op.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, task := range tasks {
				states = append(states, task.State)
			}
			conditions = change.transaction.Conditions
		}
	}
	return conditions, states
}

// TestNoTaskIsDoneAfterCancellation: the outcome of a cancelled job is known once every change up to its mark has been
// applied. That a task in a further record becomes done has the job's own record as a condition, so the change of a
// node that has not read the mark fails after it; a node that has read it records the task as not done. Guards against
// a dependent job that is cancelled although the job that it depends on becomes done after its mark.
func TestNoTaskIsDoneAfterCancellation(t *testing.T) {
	fixture := newTestCluster(t)
	machine := fixture.addMachine(1, false)
	spec := arraySpec(1, tuning.FixedChunkTasks+1)
	last := boundTask(tuning.FixedChunkTasks, machine)
	chunkKey := record.FixedChunkKey(spec.ID, 1)
	fixture.addJob(spec)
	submittedAt := fixture.revision
	fixture.put(chunkKey, record.FixedChunk{Tasks: []record.Task{last}})
	fixture.heartbeat(wire.Heartbeat{
		Machine: machine, Zone: testZones[1%len(testZones)], Session: 1, Sequence: 2,
		Tasks: []wire.TaskStatus{{
			Task: record.TaskRef{JobID: spec.ID, Index: last.Index}.String(), Attempt: 1,
			State: wire.TaskExited, ExitCause: wire.ExitCauseDone,
		}},
	})
	conditions, states := fixture.reconciledChunk(t, machine, chunkKey)
	unmarked := wire.Condition{Key: record.JobKey(spec.ID), ModRevision: submittedAt}
	if !slices.Equal(states, []record.TaskState{record.TaskDone}) || !slices.Contains(conditions, unmarked) {
		t.Errorf("before the mark: tasks %v under %+v, want done under %+v", states, conditions, unmarked)
	}
	marked := record.Job{Spec: fixture.cluster.Jobs[spec.ID].Spec, SubmittedAtMs: testNow.UnixMilli()}
	marked.MarkCancelled(testNow.UnixMilli(), true)
	fixture.put(record.JobKey(spec.ID), marked)
	_, states = fixture.reconciledChunk(t, machine, chunkKey)
	if !slices.Equal(states, []record.TaskState{record.TaskPending}) {
		t.Errorf("after the mark: tasks %v, want pending", states)
	}
}
