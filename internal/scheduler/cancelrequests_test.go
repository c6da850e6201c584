package scheduler

import (
	"testing"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// setHonorsCancelRequests sets for all nodes whether their processes honor requests to cancel a job.
func (f *testCluster) setHonorsCancelRequests(honor bool) {
	for name, node := range f.cluster.Nodes {
		node.HonorsCancelRequests = honor
		f.cluster.Nodes[name] = node
	}
}

// requestCancel writes a job with a request to cancel it. The record has revision 0, so that the cluster state has
// reached it.
func (f *testCluster) requestCancel(spec wire.JobSpec, tasks ...record.Task) {
	spec.Team, spec.Class = "t", "c"
	job := record.Job{Spec: spec, SubmittedAtMs: testNow.UnixMilli(), Tasks: tasks}
	job.RequestCancel(testNow.UnixMilli())
	f.cluster.BeginUpdate()
	f.cluster.Put(record.JobKey(spec.ID), wire.MustEncode(job), 0)
	f.cluster.EndUpdate()
}

// TestCancelRequestPreventsStarts checks that no task of a job is bound after a request to cancel it, although
// there is free capacity; without the request, tasks are bound.
func TestCancelRequestPreventsStarts(t *testing.T) {
	for _, requested := range []bool{false, true} {
		fixture := newTestCluster(t)
		for i := range 6 {
			fixture.addMachine(i, false)
		}
		fixture.setHonorsCancelRequests(true)
		if spec := arraySpec(1, 3); requested {
			fixture.requestCancel(spec)
		} else {
			fixture.addJob(spec)
		}
		bound := 0
		for node := range testShards {
			_, bindings := fixture.runCycle(node)
			bound += len(bindings)
		}
		if requested == (bound > 0) {
			t.Errorf("cancellation requested: %v, %d tasks bound", requested, bound)
		}
	}
}

// TestRequestedCancellationEndsWithLastTask checks that after a request to cancel a job, the change that releases its
// last task turns its record into the final one.
func TestRequestedCancellationEndsWithLastTask(t *testing.T) {
	fixture := newTestCluster(t)
	machine := fixture.addMachine(1, false)
	spec := arraySpec(1, 2)
	fixture.requestCancel(spec, boundTask(0, machine))
	owner := record.ShardOf(machine, testShards)
	c := fixture.inCycle(owner, func(c *cycle) {
		binding := c.cluster.Machines[machine].Bindings[record.TaskRef{JobID: spec.ID}]
		c.releaseTask(binding, machine, record.TaskPending, "exited")
		c.buildChanges()
	})
	finals := finalRecords(t, c, spec.ID)
	if len(finals) != 1 || finals[0].Status != wire.JobCancelled {
		t.Errorf("final records: %+v", finals)
	}
}

// TestLeaderEndsRequestedCancellation checks that after a request to cancel a job of several records, the leader ends
// it once none of its tasks is bound, with the condition that no shard has changed its owner. It doesn't while an
// owner ignores such requests and might bind a task.
func TestLeaderEndsRequestedCancellation(t *testing.T) {
	for _, honored := range []bool{true, false} {
		fixture := newTestCluster(t)
		fixture.setHonorsCancelRequests(honored)
		spec := arraySpec(1, tuning.FixedChunkTasks+3)
		fixture.requestCancel(spec)
		c := fixture.inCycle(0, (*cycle).finishJobs)
		finals := finalRecords(t, c, spec.ID)
		if !honored {
			if len(finals) != 0 {
				t.Errorf("final records although an owner ignores the request: %+v", finals)
			}
			continue
		}
		if len(finals) != 1 || finals[0].Status != wire.JobCancelled {
			t.Fatalf("final records: %+v", finals)
		}
		_, ownersUnchanged := c.cluster.CancelRequestSupport()
		if conditions := c.outgoing[0].transaction.Conditions; len(conditions) != 1+len(ownersUnchanged) {
			t.Errorf("unexpected conditions: %+v", conditions)
		}
	}
}

// TestRequestedCancellationBecomesOverdue checks that the cancellation of a task on a machine counts as overdue once
// the request to cancel its job is older than the cancellation deadline. The machine is then deleted.
func TestRequestedCancellationBecomesOverdue(t *testing.T) {
	for _, late := range []bool{false, true} {
		fixture := newTestCluster(t)
		machine := fixture.addMachine(1, false)
		fixture.requestCancel(arraySpec(1, 1), boundTask(0, machine))
		fixture.inCycle(record.ShardOf(machine, testShards), func(c *cycle) {
			if late {
				c.now = c.now.Add(c.settings.CancelDeadline() + 1)
			}
			if overdue := c.cancellationOverdue(c.cluster.Machines[machine]); overdue != late {
				t.Errorf("past the deadline: %v, overdue: %v", late, overdue)
			}
		})
	}
}

// TestCancelRequestSupport checks that requests to cancel count as honored only if the owners of all shards honor
// them.
func TestCancelRequestSupport(t *testing.T) {
	fixture := newTestCluster(t)
	expect := func(want clusterstate.CancelRequestSupport) {
		t.Helper()
		if support, _ := fixture.cluster.CancelRequestSupport(); support != want {
			t.Errorf("support %v, want %v", support, want)
		}
	}
	expect(clusterstate.CancelRequestsIgnored)
	fixture.setHonorsCancelRequests(true)
	expect(clusterstate.CancelRequestsHonored)
	delete(fixture.cluster.Nodes, "node-2")
	expect(clusterstate.CancelRequestsUnsettled)
	delete(fixture.cluster.Shards, 4)
	expect(clusterstate.CancelRequestsIgnored)
}
