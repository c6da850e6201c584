package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/reconcile"
	"sableusher/internal/record"
	"sableusher/internal/retry"
	"sableusher/internal/wire"
)

// releaseTask ends a binding in the record.
// It gives the change that it is part of; nil if it is none, or can't be made just now.
func (c *cycle) releaseTask(binding clusterstate.Binding, machineName string, state record.TaskState, reason string) *recordEdit {
	c.releaseBlocked = true
	edit := c.editRecord(binding.Job, binding.Ref.Index)
	if edit == nil {
		return nil
	}
	task := c.taskState(binding.Job, binding.Ref.Index)
	if task.State != record.TaskBound || task.Attempt != binding.Attempt || task.Machine != machineName {
		return nil
	}
	released := record.Task{Index: binding.Ref.Index, State: state, Attempt: binding.Attempt}
	if state != record.TaskDone {
		released.Failures = task.Failures
	}
	edit.tasks[binding.Ref.Index] = released
	// A gang's tasks end together, also those in other nodes' parts: there the
	// job's record alone is the guard, as this node doesn't own the part.
	if shard := record.ShardOf(machineName, c.cluster.ShardCount); c.shards.revisions[shard] != 0 {
		edit.shards[shard] = true
	}
	c.learning.recordEnd(c.now, c.cluster, binding, state == record.TaskDone, machineName)
	c.log.Debug("task leaves machine", "task", binding.Ref, "attempt", binding.Attempt, "machine", machineName, "why", reason)
	return edit
}

// countFailure counts a failure with the change that ends its attempt: it is in the records or
// it has not been told, whoever ends in between. With the last repeat the job ends.
func (c *cycle) countFailure(binding clusterstate.Binding, edit *recordEdit, lastRetry bool) {
	task := edit.tasks[binding.Ref.Index]
	task.Failures++
	edit.tasks[binding.Ref.Index] = task
	if lastRetry {
		edit.failsJob, c.failingJobs[binding.Ref.JobID] = true, true
	}
	c.log.Info("task failed", "task", binding.Ref, "attempt", binding.Attempt, "failures", task.Failures, "repeats", *binding.Job.Spec.MaxRetries, "ends", lastRetry)
}

// reconcileMachines carries out what became of the tasks bound in this node's parts, on
// machines of which something new is known. One with a task that is to leave it
// is looked at again until it has left.
func (c *cycle) reconcileMachines() {
	for _, name := range c.machinesToReconcile.drain() {
		machine := c.cluster.Machines[name]
		if machine == nil {
			continue
		}
		token, owned := c.shards.fencingTokens[machine.Shard]
		if !owned {
			continue
		}
		c.releaseBlocked = false
		if status := c.agents.MachineStatus(name, token); !status.ReclaimAt.IsZero() {
			c.evacuateMachine(machine)
		}
		deleted := (machine.Deleting || machine.Draining) && c.deletedMachines.isConfirmed(name)
		for _, binding := range machine.Bindings {
			if deleted {
				c.releaseTask(binding, name, record.TaskPending, "machine deleted")
				continue
			}
			c.reconcileTask(binding, name, token)
		}
		if c.releaseBlocked || deleted {
			c.machinesToReconcile.add(name)
		}
		if deleted && len(machine.Bindings) == 0 && machine.ModRevision != 0 && !c.cluster.ListedInRental(name) && !c.changes.inFlight(record.MachineKey(name)) {
			c.outgoing = append(c.outgoing, &recordChange{
				description: "forget machine " + name, keys: []string{record.MachineKey(name)}, shards: []int{machine.Shard},
				transaction: kvstore.Transaction{
					Conditions: []wire.Condition{{Key: record.ShardKey(machine.Shard), ModRevision: c.shards.revisions[machine.Shard]}, {Key: record.MachineKey(name), ModRevision: machine.ModRevision}},
					Ops:        []wire.Op{kvstore.DeleteOp(record.MachineKey(name))},
					Priority:   kvstore.PriorityBackground, // its record says that it is being deleted, so nobody counts on it
				},
			})
		}
	}
	for name, bindings := range c.cluster.OrphanBindings {
		if _, owned := c.shards.fencingTokens[record.ShardOf(name, c.cluster.ShardCount)]; owned && c.deletedMachines.isConfirmed(name) {
			for _, binding := range bindings {
				c.releaseTask(binding, name, record.TaskPending, "machine deleted")
			}
		}
	}
	c.deletedMachines.forgetConfirmed(func(name string) bool {
		return c.cluster.Machines[name] == nil && c.cluster.OrphanBindings[name] == nil
	})
	c.finishJobs()
}

// reconcileTask carries out what is to become of one bound task.
func (c *cycle) reconcileTask(binding clusterstate.Binding, machineName string, token uint64) {
	spec := &binding.Job.Spec
	task := reconcile.BoundTask{TaskObservation: c.agents.ObserveTask(binding, machineName, token), JobKind: spec.Kind, JobCancelled: binding.Job.Cancelled(), StopRequested: c.agents.StopRequested(binding),
		RetriesLimited: spec.MaxRetries != nil, RetriesExhausted: retry.Exhausted(spec.MaxRetries, c.taskState(binding.Job, binding.Ref.Index).Failures)}
	decision := reconcile.Decide(task)
	if decision.ResendCommands {
		c.agents.RequestDispatch(machineName)
	}
	if machine := c.cluster.Machines[machineName]; decision.ImagePresent && machine != nil {
		c.agents.RecordImageUse(machineName, spec.Image, spec.ImageSizeGB, c.cluster.Catalog.Types[machine.Type].ImageCacheGB)
	}
	if decision.TaskFailed {
		c.agents.RecordTaskFailure(machineName, spec.ID)
		c.inventoryCache.toRefresh.add(machineName)
	}
	if decision.PlacementRefused {
		c.agents.RecordStartRefusal(machineName)
		c.inventoryCache.toRefresh.add(machineName)
	}
	if decision.BackOffJob {
		c.backoffs.extend(spec.ID, c.now)
	}
	if task.Presence == agent.PresenceExited && task.Cause != wire.ExitCauseDone && (task.Cause != wire.ExitCauseStopped || !task.Saved) {
		c.log.Debug("task ended without being done", "task", binding.Ref, "cause", task.Cause, "machine", machineName)
	}
	switch {
	case decision.WholeGang:
		for taskIndex := range spec.TaskCount {
			if other := c.taskState(binding.Job, taskIndex); other.State == record.TaskBound && other.Attempt == binding.Attempt {
				c.releaseTask(clusterstate.Binding{Ref: record.TaskRef{JobID: spec.ID, Index: taskIndex}, Job: binding.Job, Attempt: other.Attempt, Session: other.Session}, other.Machine, decision.NextState, "done with its gang")
			}
		}
	case decision.Release:
		if edit := c.releaseTask(binding, machineName, decision.NextState, decision.Reason); edit != nil && decision.CountFailure {
			c.countFailure(binding, edit, decision.FailJob)
		}
	case task.Presence == agent.PresenceAlive:
		c.learning.recordRunning(c.now, binding, task.TaskObservation)
	}
	if spec.Kind != wire.KindGang || task.Presence == agent.PresenceExited || task.Presence == agent.PresenceSessionEnded {
		return
	}
	if binding.Job.PreemptedAttempt == binding.Attempt {
		c.agents.RequestStop(binding, machineName, stopGraceSeconds(spec))
	}
	if !c.agents.StopRequested(binding) && c.gangBroken(binding) {
		c.agents.RequestStop(binding, machineName, 0)
	}
}

// gangBroken tells whether a gang's attempt can no longer run whole: a task of it
// has ended, or it was not bound whole in time.
func (c *cycle) gangBroken(binding clusterstate.Binding) bool {
	attempt := gangAttempt{binding.Job, binding.Attempt}
	broken, ok := c.brokenAttempts[attempt]
	if !ok {
		broken = c.checkGang(binding)
		c.brokenAttempts[attempt] = broken
	}
	return broken
}

func (c *cycle) checkGang(binding clusterstate.Binding) bool {
	job := binding.Job
	switch reconcile.GangStateOf(job.Spec.TaskCount, func(i int) record.Task { return c.taskState(job, i) }, binding.Attempt) {
	case reconcile.GangBroken:
		return true
	case reconcile.GangWhole:
		c.gangFormation.formed(job.Spec.ID)
		return false
	}
	return c.gangFormation.timedOut(job.Spec.ID, job.Spec.TaskCount, c.now)
}

// finishJobs ends jobs whose tasks are all done, or that are cancelled and have
// left every machine, where no change of a single record could end them. Only
// the leader does so; it also sweeps chunks left by long jobs.
func (c *cycle) finishJobs() {
	if _, leads := c.membership.Ownership(record.LeaderShard); !leads {
		return
	}
	for id, job := range c.cluster.Jobs {
		key := record.JobKey(id)
		if c.changes.inFlight(key) {
			continue
		}
		if job.Spec.Kind == wire.KindGang && job.DoneCount > 0 && job.BoundCount == 0 && job.HasRecord && !job.Complete() && !job.Cancelled() {
			c.completeGang(job)
			continue
		}
		var ops []wire.Op
		condition := wire.Condition{Key: key, ModRevision: job.ModRevision}
		switch {
		case !job.HasRecord:
			ops, condition.ModRevision = c.deleteRecordOps(job, 0), 0
		case job.Complete():
			ops = c.finalOps(job, wire.JobDone, job.DoneCount)
		// No task can be bound after the cancellation, and the view holds all before it.
		case job.Cancelled() && job.FullyReleased() && c.membership.HasReached(job.ModRevision):
			ops = c.finalOps(job, job.CancelledStatus(), job.DoneCount)
		}
		if len(ops) > 0 {
			c.outgoing = append(c.outgoing, &recordChange{description: "finish " + id, keys: []string{key}, transaction: kvstore.Transaction{Conditions: []wire.Condition{condition}, Ops: ops}})
		}
	}
}

// completeGang ends the tasks of a gang of which some are done and none is on a machine any
// more. A gang completes together, so they are done as well: their own reports of it were
// lost, with a worker's session or its machine, before the first one came through. Such a
// gang once stood still for ever, since its last attempt looked as if it had not left.
func (c *cycle) completeGang(job *clusterstate.Job) {
	for taskIndex := range job.Spec.TaskCount {
		if task := c.taskState(job, taskIndex); task.State == record.TaskPending {
			if edit := c.editRecord(job, taskIndex); edit != nil {
				edit.tasks[taskIndex] = record.Task{Index: taskIndex, State: record.TaskDone, Attempt: task.Attempt}
			}
		}
	}
	c.log.Info("gang completed by the report of some of its tasks", "job", job.Spec.ID, "done", job.DoneCount, "tasks", job.Spec.TaskCount)
}

// adoptMachines records machines that reported and whose records are missing or behind.
func (c *cycle) adoptMachines() {
	reports := c.agents.TakeAdoptions()
	// Small machines first: what the state service takes in a second is few beside a fleet that is
	// up at the start, and services, which come first then, should find those before they take
	// the place of larger tasks for as long as they run.
	names := slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.cluster.Catalog.Types[reports[a].MachineType].CPUs, c.cluster.Catalog.Types[reports[b].MachineType].CPUs), cmp.Compare(a, b))
	})
	for _, name := range names {
		report := reports[name]
		shard := record.ShardOf(name, c.cluster.ShardCount)
		key := record.MachineKey(name)
		machine := c.cluster.Machines[name]
		if _, owned := c.shards.revisions[shard]; !owned || c.changes.inFlight(key) || machine != nil && machine.Deleting {
			continue
		}
		// A report that a cut has held back may come long after its machine was deleted:
		// a record of it would be room that is not there.
		if machine == nil && c.deletedMachines.hasTombstone(name) {
			continue
		}
		machineRecord := record.Machine{CreatedAtMs: c.now.UnixMilli()}
		var modRevision uint64
		if machine != nil {
			machineRecord, modRevision = machine.Machine, machine.ModRevision
		} else {
			c.log.Info("adopting a machine", "machine", name, "type", report.MachineType, "zone", report.Zone)
		}
		session := report.Session
		if session == 1 {
			session = 0
		}
		newSession := machine != nil && machineRecord.Session != session
		// A new session of a machine that hears nothing or reaches no node is recorded, but not that it is up.
		status := c.agents.MachineStatus(name, c.shards.fencingTokens[shard])
		up := !status.OutboundLost && (status.InboundConfirmed || !status.InboundLost && (machineRecord.Up || machineRecord.Address == ""))
		machineRecord.Type, machineRecord.Zone, machineRecord.Spot, machineRecord.Address, machineRecord.Up, machineRecord.Session = report.MachineType, report.Zone, report.Spot, report.Address, up, session
		transaction := c.updateMachineRecord("machine is up "+name, name, shard, machineRecord, modRevision)
		// That it is up can wait: others only plan with it, its owner uses it at once. A new
		// session can't: others bind gangs and services to the one on record, which
		// this node ends at once, and both over and over. After a zone's leases had run
		// out that used up the whole budget, so that the records were never mended.
		switch {
		case newSession:
			transaction.Priority = kvstore.PriorityUrgent
		case machine != nil:
			transaction.Priority = kvstore.PriorityBackground
		}
	}
}

// evacuateMachine stops what gains by it on a machine that the cloud takes away: tasks
// that can save do so, services start again elsewhere at once. What can't save
// may still end in time, and a gang of several tasks must be stopped as a whole.
func (c *cycle) evacuateMachine(machine *clusterstate.Machine) {
	for _, binding := range machine.Bindings {
		spec := &binding.Job.Spec
		switch {
		case c.agents.StopRequested(binding):
		case spec.Kind == wire.KindGang && spec.TaskCount > 1:
			if spec.CheckpointIntervalSeconds > 0 {
				c.requestGangStop(binding, machine)
			}
		case spec.CheckpointIntervalSeconds > 0:
			c.agents.RequestStop(binding, machine.Name, stopGraceSeconds(spec))
		case spec.Kind == wire.KindService:
			c.agents.RequestStop(binding, machine.Name, 0)
		}
	}
}

// requestGangStop marks a gang's attempt to be stopped as a whole. The owners of all its
// tasks see the record at once and tell their workers within the time in which a
// gang's saves must begin.
func (c *cycle) requestGangStop(binding clusterstate.Binding, machine *clusterstate.Machine) {
	key := record.JobKey(binding.Ref.JobID)
	if binding.Job.PreemptedAttempt == binding.Attempt || c.changes.inFlight(key) || c.recordEdits[recordKey{binding.Job, 0}] != nil || c.needsMigration(binding.Job) {
		return
	}
	c.changes.reserveKey(key)
	marked := *binding.Job
	marked.PreemptedAttempt = binding.Attempt
	op := marked.EncodeChunk(0, nil)
	c.outgoing = append(c.outgoing, &recordChange{
		description: "stop gang " + binding.Ref.JobID, keys: []string{key}, shards: []int{machine.Shard},
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: binding.Job.ModRevision}, {Key: record.ShardKey(machine.Shard), ModRevision: c.shards.revisions[machine.Shard]}},
			Ops:        []wire.Op{op}, Priority: kvstore.PriorityUrgent,
		},
	})
}

func (c *cycle) hasStoppingTask(machine *clusterstate.Machine) bool {
	for _, binding := range machine.Bindings {
		if c.agents.StopRequested(binding) {
			return true
		}
	}
	return false
}
