package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/reconcile"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// gangAttempt identifies one attempt of a gang.
type gangAttempt struct {
	job     *clusterstate.Job
	attempt uint64
}

// stopGangTask requests the stop of a gang's task if its attempt is marked to be stopped as a whole, or if the tasks of
// the attempt can no longer all run.
func (c *cycle) stopGangTask(binding clusterstate.Binding, machine string) {
	if binding.Job.PreemptedAttempt == binding.Attempt {
		c.agents.RequestStop(binding, machine, stopGraceSeconds(&binding.Job.Spec))
	}
	if !c.agents.StopRequested(binding) && c.isBroken(gangAttempt{job: binding.Job, attempt: binding.Attempt}) {
		c.agents.RequestStop(binding, machine, 0)
	}
}

// isBroken reports whether the tasks of a gang's attempt can no longer all run. The result is cached for the cycle.
func (c *cycle) isBroken(attempt gangAttempt) bool {
	broken, known := c.brokenAttempts[attempt]
	if !known {
		broken = c.computeBroken(attempt)
		c.brokenAttempts[attempt] = broken
	}
	return broken
}

// computeBroken reports, without the cache, whether a task of an attempt has ended or the tasks were not all bound in
// time.
func (c *cycle) computeBroken(attempt gangAttempt) bool {
	spec := &attempt.job.Spec
	taskAt := func(taskIndex int) record.Task { return c.taskState(attempt.job, taskIndex) }
	switch reconcile.GangStateOf(spec.TaskCount, taskAt, attempt.attempt) {
	case reconcile.GangBroken:
		return true
	case reconcile.GangWhole:
		c.gangFormation.recordFormed(spec.ID)
		return false
	default:
		return c.gangFormation.timedOut(spec.ID, spec.TaskCount, c.now)
	}
}

// requestGangStop adds a change that marks a gang's attempt to be stopped as a whole. The owners of the shards in which
// its tasks run see the mark at the same time. So all tasks are stopped, and begin their checkpoints, within the time
// allowed for a gang.
func (c *cycle) requestGangStop(binding clusterstate.Binding, machine *clusterstate.Machine) {
	job, key := binding.Job, record.JobKey(binding.Ref.JobID)
	if job.PreemptedAttempt == binding.Attempt || c.changes.inFlight(key) ||
		c.chunkEdits[chunkKey{job: job, chunk: 0}] != nil || c.needsMigration(job) {
		return
	}
	c.changes.reserveKey(key)
	marked := *job
	marked.PreemptedAttempt = binding.Attempt
	c.outgoing = append(c.outgoing, &recordChange{
		kind: changeOfGangStop, subject: job.Spec.ID, keys: []string{key}, shards: []int{machine.Shard},
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{
				{Key: key, ModRevision: job.ModRevision},
				c.ownershipCondition(machine.Shard),
			},
			Ops:      []wire.Op{marked.EncodeChunk(0, nil)},
			Priority: kvstore.PriorityUrgent,
		},
	})
}

// isPartlyDone reports whether some tasks of a gang are done and none is bound any more.
func isPartlyDone(job *clusterstate.Job) bool {
	return job.Spec.Kind == wire.KindGang && job.DoneCount > 0 && job.BoundCount == 0 && job.HasRecord &&
		!job.Complete() && !job.Stopping()
}

// completeGang marks the pending tasks of a partly done gang as done. The tasks of a gang complete together, so these
// are done too, but the heartbeats that reported it were lost with an agent's session or its machine. If they were left
// pending, the gang would wait forever, because its last attempt would count as not yet released.
func (c *cycle) completeGang(job *clusterstate.Job) {
	for taskIndex := range job.Spec.TaskCount {
		task := c.taskState(job, taskIndex)
		if task.State != record.TaskPending {
			continue
		}
		if edit := c.editChunk(job, taskIndex); edit != nil {
			edit.tasks[taskIndex] = record.Task{Index: taskIndex, State: record.TaskDone, Attempt: task.Attempt}
		}
	}
	c.log.Info("completing a gang of which some tasks are done", "job_id", job.Spec.ID, "done", job.DoneCount,
		"count", job.Spec.TaskCount)
}
