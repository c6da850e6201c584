package scheduler

import (
	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/reconcile"
	"sableusher/internal/record"
	"sableusher/internal/retry"
	"sableusher/internal/wire"
)

// reconcileMachines reconciles the tasks bound in this node's shards, on the machines that changed or whose tasks
// changed since their last reconciliation. It also releases the tasks of deleted machines without a record and ends
// finished jobs.
func (c *cycle) reconcileMachines() {
	for _, name := range c.machinesToReconcile.drain() {
		if machine := c.cluster.Machines[name]; machine != nil && c.shards.owns(machine.Shard) {
			c.reconcileMachine(machine)
		}
	}
	c.releaseOrphans()
	c.deletedMachines.forgetConfirmed(func(name string) bool {
		return c.cluster.Machines[name] == nil && c.cluster.OrphanBindings[name] == nil
	})
	c.finishJobs()
}

// reconcileMachine reconciles a machine's tasks with what its agent reports. A machine with a task that is to leave
// it is reconciled again in each cycle until the task has left. A machine with a tombstone is gone, whatever its
// record says: a transaction may have written the record again.
func (c *cycle) reconcileMachine(machine *clusterstate.Machine) {
	token := c.shards.fencingTokens[machine.Shard]
	if status := c.agents.MachineStatus(machine.Name, token); !status.ReclaimAt.IsZero() {
		c.evacuateMachine(machine)
	}
	deleted := (machine.Deleting || machine.Draining) && c.deletedMachines.isConfirmed(machine.Name)
	if deleted || c.deletedMachines.hasTombstone(machine.Name) {
		c.releaseDeletedMachine(machine)
		return
	}
	leaving := false
	for _, binding := range machine.Bindings {
		if c.reconcileTask(binding, machine, token) {
			leaving = true
		}
	}
	if leaving {
		c.machinesToReconcile.add(machine.Name)
	}
}

// releaseDeletedMachine releases the tasks of a machine whose deletion is confirmed. It deletes the machine's record
// once no task is bound to the machine and no rental lists it.
func (c *cycle) releaseDeletedMachine(machine *clusterstate.Machine) {
	for _, binding := range machine.Bindings {
		c.releaseTask(binding, machine.Name, record.TaskPending, "machine deleted")
	}
	c.machinesToReconcile.add(machine.Name)
	if len(machine.Bindings) > 0 || machine.ModRevision == 0 || c.cluster.ListedInRental(machine.Name) {
		return
	}
	if !c.changes.inFlight(record.MachineKey(machine.Name)) {
		c.deleteMachineRecord(machine)
	}
}

// releaseOrphans releases the tasks bound to machines that have no record and whose deletion is confirmed.
func (c *cycle) releaseOrphans() {
	for name, bindings := range c.cluster.OrphanBindings {
		if !c.shards.owns(record.ShardOf(name, c.cluster.ShardCount)) || !c.deletedMachines.isConfirmed(name) {
			continue
		}
		for _, binding := range bindings {
			c.releaseTask(binding, name, record.TaskPending, "machine deleted")
		}
	}
}

// reconcileTask decides on a bound task by its observed state and applies the decision. It reports whether the task
// is to leave its machine.
func (c *cycle) reconcileTask(
	binding clusterstate.Binding, machine *clusterstate.Machine, token uint64,
) (leaving bool) {
	spec := &binding.Job.Spec
	failures := c.taskState(binding.Job, binding.Ref.Index).Failures
	task := reconcile.BoundTask{
		TaskObservation:  c.agents.ObserveTask(binding, machine.Name, token),
		JobKind:          spec.Kind,
		JobCancelled:     binding.Job.Stopping(),
		StopRequested:    c.agents.StopRequested(binding),
		RetriesLimited:   spec.MaxRetries != nil,
		RetriesExhausted: retry.Exhausted(spec.MaxRetries, failures),
	}
	decision := reconcile.Decide(task)
	c.applyToMachine(decision, machine, spec)
	if task.Presence == agent.PresenceExited && !exitedAsExpected(task.TaskObservation) {
		c.log.Debug("task exited without being done", "task", binding.Ref, "cause", task.Cause, "machine", machine.Name)
	}
	switch {
	case decision.WholeGang:
		leaving = c.releaseGang(binding, decision)
	case decision.Release:
		leaving = true
		edit := c.releaseTask(binding, machine.Name, decision.NextState, decision.Reason)
		if edit != nil && decision.CountFailure {
			c.countFailure(binding, edit, decision)
		}
	case task.Presence == agent.PresenceAlive:
		c.learning.recordRunning(c.now, binding, task.TaskObservation)
	}
	if spec.Kind == wire.KindGang && task.Presence != agent.PresenceExited &&
		task.Presence != agent.PresenceSessionEnded {
		c.stopGangTask(binding, machine.Name)
	}
	return leaving
}

// exitedAsExpected reports whether a task that exited is done, or was stopped with its checkpoint saved.
func exitedAsExpected(task agent.TaskObservation) bool {
	return task.Cause == wire.ExitCauseDone || task.Cause == wire.ExitCauseStopped && task.CheckpointSaved
}

// applyToMachine applies those parts of a decision that concern the task's machine and the backoff of its job.
func (c *cycle) applyToMachine(decision reconcile.Decision, machine *clusterstate.Machine, spec *wire.JobSpec) {
	if decision.ResendCommands {
		c.agents.RequestDispatch(machine.Name)
	}
	if decision.ImagePresent {
		cacheGB := c.cluster.Catalog.Types[machine.Type].ImageCacheGB
		c.agents.RecordImageUse(machine.Name, spec.Image, spec.ImageSizeGB, cacheGB)
	}
	if decision.TaskFailed {
		c.agents.RecordTaskFailure(machine.Name, spec.ID)
		c.inventoryCache.toRefresh.add(machine.Name)
	}
	if decision.PlacementRefused {
		c.agents.RecordStartRefusal(machine.Name)
		c.inventoryCache.toRefresh.add(machine.Name)
	}
	if decision.BackOffJob {
		c.backoffs.extend(spec.ID, c.now)
	}
}

// releaseGang releases all tasks of a gang's attempt that are still bound, including those in other nodes' shards,
// and reports whether there were any.
func (c *cycle) releaseGang(binding clusterstate.Binding, decision reconcile.Decision) (anyBound bool) {
	job := binding.Job
	for taskIndex := range job.Spec.TaskCount {
		task := c.taskState(job, taskIndex)
		if task.State != record.TaskBound || task.Attempt != binding.Attempt {
			continue
		}
		anyBound = true
		member := clusterstate.Binding{
			Ref: record.TaskRef{JobID: job.Spec.ID, Index: taskIndex}, Job: job,
			Attempt: task.Attempt, Session: task.Session,
		}
		c.releaseTask(member, task.Machine, decision.NextState, "released with its gang")
	}
	return anyBound
}

// releaseTask ends a task's binding to a machine. It returns the edit that does so, or nil if the task's chunk can't
// be changed in this cycle or the task is not bound to the machine any more.
func (c *cycle) releaseTask(
	binding clusterstate.Binding, machine string, state record.TaskState, reason string,
) *chunkEdit {
	taskIndex := binding.Ref.Index
	edit := c.editChunk(binding.Job, taskIndex)
	if edit == nil {
		return nil
	}
	task := c.taskState(binding.Job, taskIndex)
	if task.State != record.TaskBound || task.Attempt != binding.Attempt || task.Machine != machine {
		return nil
	}
	released := record.Task{Index: taskIndex, State: state, Attempt: binding.Attempt}
	if state != record.TaskDone {
		released.Failures = task.Failures
	}
	edit.tasks[taskIndex] = released
	// A gang's tasks end together, including those in other nodes' shards. This node doesn't own those shards, so
	// only the condition on the job's record guards their release.
	if shard := record.ShardOf(machine, c.cluster.ShardCount); c.shards.revisions[shard] != 0 {
		edit.shards[shard] = true
	}
	c.learning.recordEnd(c.now, c.cluster, binding, state == record.TaskDone, machine)
	c.log.Debug("task released", "task", binding.Ref, "attempt", binding.Attempt, "machine", machine,
		"session", binding.Session, "revision", c.cluster.AppliedRevision(), "reason", reason)
	return edit
}

// countFailure counts a failure of a task in the same edit that ends the failed attempt, so that it is counted once
// even if the process of a node ends in between. The job fails if no retry is left.
func (c *cycle) countFailure(binding clusterstate.Binding, edit *chunkEdit, decision reconcile.Decision) {
	task := edit.tasks[binding.Ref.Index]
	task.Failures++
	edit.tasks[binding.Ref.Index] = task
	if decision.FailJob {
		edit.failsJob, c.failingJobs[binding.Ref.JobID] = true, true
	}
	c.log.Info("task failed", "task", binding.Ref, "attempt", binding.Attempt, "failures", task.Failures,
		"max_retries", *binding.Job.Spec.MaxRetries, "fails_job", decision.FailJob)
}
