package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sableusher/internal/fleet"
	"sableusher/internal/repeats"
	"sableusher/internal/settle"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// releaseTask ends a binding in the record.
// It gives the change that it is part of; nil if it is none, or can't be made just now.
func (r *round) releaseTask(binding world.Binding, machineName string, state int, reason string) *recordEdit {
	r.blocked = true
	edit := r.editRecord(binding.Job, binding.Ref.Index)
	if edit == nil {
		return nil
	}
	task := r.taskState(binding.Job, binding.Ref.Index)
	if task.State != world.TaskBound || task.Attempt != binding.Attempt || task.Machine != machineName {
		return nil
	}
	released := world.Task{Index: binding.Ref.Index, State: state, Attempt: binding.Attempt}
	if state != world.TaskDone {
		released.Failures = task.Failures
	}
	edit.tasks[binding.Ref.Index] = released
	// A gang's tasks end together, also those in other nodes' parts: there the
	// job's record alone is the guard, as this node doesn't own the part.
	if shard := world.ShardOf(machineName, r.cluster.ShardCount); r.stamps[shard] != 0 {
		edit.shards[shard] = true
	}
	r.ended(binding, state == world.TaskDone, machineName)
	r.log.Debug("task leaves machine", "task", binding.Ref, "attempt", binding.Attempt, "machine", machineName, "why", reason)
	return edit
}

// countFailure counts a failure with the change that ends its attempt: it is in the records or
// it has not been told, whoever ends in between. With the last repeat the job ends.
func (r *round) countFailure(binding world.Binding, edit *recordEdit, lastRetry bool) {
	task := edit.tasks[binding.Ref.Index]
	task.Failures++
	edit.tasks[binding.Ref.Index] = task
	if lastRetry {
		edit.failsJob, r.ending[binding.Ref.Job] = true, true
	}
	r.log.Info("task failed", "task", binding.Ref, "attempt", binding.Attempt, "failures", task.Failures, "repeats", *binding.Job.Spec.MaxRetries, "ends", lastRetry)
}

// reconcileMachines carries out what became of the tasks bound in this node's parts, on
// machines of which something new is known. One with a task that is to leave it
// is looked at again until it has left.
func (r *round) reconcileMachines() {
	names := slices.Sorted(maps.Keys(r.machinesToReconcile))
	clear(r.machinesToReconcile)
	for _, name := range names {
		machine := r.cluster.Machines[name]
		if machine == nil {
			continue
		}
		token, owned := r.tokens[machine.Shard]
		if !owned {
			continue
		}
		r.blocked = false
		if status := r.agents.MachineStatus(name, token); !status.ReclaimAt.IsZero() {
			r.evacuateMachine(machine)
		}
		deleted := (machine.Deleting || machine.Draining) && r.deletedMachines[name]
		for _, binding := range machine.Bindings {
			if deleted {
				r.releaseTask(binding, name, world.TaskPending, "machine deleted")
				continue
			}
			r.reconcileTask(binding, name, token)
		}
		if r.blocked || deleted {
			r.machinesToReconcile[name] = struct{}{}
		}
		if deleted && len(machine.Bindings) == 0 && machine.ModRevision != 0 && !r.cluster.ListedInRental(name) && !r.keysInFlight[world.MachineKey(name)] {
			r.out = append(r.out, &recordChange{
				description: "forget machine " + name, keys: []string{world.MachineKey(name)}, shards: []int{machine.Shard},
				transaction: store.Transaction{
					Conditions: []wire.Condition{{Key: world.ShardKey(machine.Shard), ModRevision: r.stamps[machine.Shard]}, {Key: world.MachineKey(name), ModRevision: machine.ModRevision}},
					Ops:        []wire.Op{store.DeleteOp(world.MachineKey(name))},
					Background: true, // its record says that it is being deleted, so nobody counts on it
				},
			})
		}
	}
	for name, bindings := range r.cluster.OrphanBindings {
		if _, owned := r.tokens[world.ShardOf(name, r.cluster.ShardCount)]; owned && r.deletedMachines[name] {
			for _, binding := range bindings {
				r.releaseTask(binding, name, world.TaskPending, "machine deleted")
			}
		}
	}
	for name := range r.deletedMachines {
		if r.cluster.Machines[name] == nil && r.cluster.OrphanBindings[name] == nil {
			delete(r.deletedMachines, name)
		}
	}
	r.finishJobs()
}

// reconcileTask carries out what is to become of one bound task.
func (r *round) reconcileTask(binding world.Binding, machineName string, token uint64) {
	spec := &binding.Job.Spec
	task := settle.BoundTask{TaskObservation: r.agents.ObserveTask(binding, machineName, token), JobKind: spec.Kind, JobCancelled: binding.Job.Cancelled(), StopRequested: r.agents.StopRequested(binding),
		RetriesLimited: spec.MaxRetries != nil, RetriesExhausted: repeats.Spent(spec.MaxRetries, r.taskState(binding.Job, binding.Ref.Index).Failures)}
	decision := settle.Decide(task)
	if decision.ResendCommands {
		r.agents.RequestDispatch(machineName)
	}
	if machine := r.cluster.Machines[machineName]; decision.ImagePresent && machine != nil {
		r.agents.RecordImageUse(machineName, spec.Image, spec.ImageSizeGB, r.cluster.Types[machine.Type].ImageCacheGB)
	}
	if decision.TaskFailed {
		r.agents.RecordTaskFailure(machineName, spec.ID)
		r.machinesToRefresh[machineName] = struct{}{}
	}
	if decision.PlacementRefused {
		r.agents.RecordStartRefusal(machineName)
		r.machinesToRefresh[machineName] = struct{}{}
	}
	if decision.BackOffJob {
		r.backOffJob(spec.ID, r.now)
	}
	if task.Presence == fleet.PresenceExited && task.Cause != wire.ExitCauseDone && (task.Cause != wire.ExitCauseStopped || !task.Saved) {
		r.log.Debug("task ended without being done", "task", binding.Ref, "cause", task.Cause, "machine", machineName)
	}
	switch {
	case decision.WholeGang:
		for taskIndex := range spec.TaskCount {
			if other := r.taskState(binding.Job, taskIndex); other.State == world.TaskBound && other.Attempt == binding.Attempt {
				r.releaseTask(world.Binding{Ref: world.TaskRef{Job: spec.ID, Index: taskIndex}, Job: binding.Job, Attempt: other.Attempt, Session: other.Session}, other.Machine, decision.NextState, "done with its gang")
			}
		}
	case decision.Release:
		if edit := r.releaseTask(binding, machineName, decision.NextState, decision.Reason); edit != nil && decision.CountFailure {
			r.countFailure(binding, edit, decision.FailJob)
		}
	case task.Presence == fleet.PresenceAlive:
		r.alive(binding, task.TaskObservation)
	}
	if spec.Kind != wire.KindGang || task.Presence == fleet.PresenceExited || task.Presence == fleet.PresenceSessionEnded {
		return
	}
	if binding.Job.PreemptedAttempt == binding.Attempt {
		r.agents.RequestStop(binding, machineName, stopGraceSeconds(spec))
	}
	if !r.agents.StopRequested(binding) && r.gangBroken(binding) {
		r.agents.RequestStop(binding, machineName, 0)
	}
}

// gangBroken tells whether a gang's attempt can no longer run whole: a task of it
// has ended, or it was not bound whole in time.
func (r *round) gangBroken(binding world.Binding) bool {
	attempt := gangAttempt{binding.Job, binding.Attempt}
	broken, ok := r.gangs[attempt]
	if !ok {
		broken = r.checkGang(binding)
		r.gangs[attempt] = broken
	}
	return broken
}

func (r *round) checkGang(binding world.Binding) bool {
	job := binding.Job
	switch settle.GangStateOf(job.Spec.TaskCount, func(i int) world.Task { return r.taskState(job, i) }, binding.Attempt) {
	case settle.GangBroken:
		return true
	case settle.GangWhole:
		delete(r.gangFormingSince, job.Spec.ID)
		return false
	}
	since, ok := r.gangFormingSince[job.Spec.ID]
	if !ok {
		r.gangFormingSince[job.Spec.ID] = r.now
		return false
	}
	return r.now.Sub(since) > tuning.GangForm+time.Duration(job.Spec.TaskCount)*tuning.GangFormTask
}

// finishJobs ends jobs whose tasks are all done, or that are cancelled and have
// left every machine, where no change of a single record could end them. Only
// the leader does so; it also sweeps chunks left by long jobs.
func (r *round) finishJobs() {
	if _, _, leads := r.membership.Owns(world.LeaderShard); !leads {
		return
	}
	for id, job := range r.cluster.Jobs {
		key := world.JobKey(id)
		if r.keysInFlight[key] {
			continue
		}
		if job.Spec.Kind == wire.KindGang && job.DoneCount > 0 && job.BoundCount == 0 && job.HasRecord && !job.Complete() && !job.Cancelled() {
			r.completeGang(job)
			continue
		}
		var ops []wire.Op
		condition := wire.Condition{Key: key, ModRevision: job.ModRevision}
		switch {
		case !job.HasRecord:
			ops, condition.ModRevision = r.deleteRecordOps(job, 0), 0
		case job.Complete():
			ops = r.finalOps(job, wire.JobDone, job.DoneCount)
		// No task can be bound after the cancellation, and the view holds all before it.
		case job.Cancelled() && job.FullyReleased() && r.membership.HasReached(job.ModRevision):
			ops = r.finalOps(job, job.CancelledStatus(), job.DoneCount)
		}
		if len(ops) > 0 {
			r.out = append(r.out, &recordChange{description: "finish " + id, keys: []string{key}, transaction: store.Transaction{Conditions: []wire.Condition{condition}, Ops: ops}})
		}
	}
}

// completeGang ends the tasks of a gang of which some are done and none is on a machine any
// more. A gang completes together, so they are done as well: their own reports of it were
// lost, with a worker's session or its machine, before the first one came through. Such a
// gang once stood still for ever, since its last attempt looked as if it had not left.
func (r *round) completeGang(job *world.Job) {
	for taskIndex := range job.Spec.TaskCount {
		if task := r.taskState(job, taskIndex); task.State == world.TaskPending {
			if edit := r.editRecord(job, taskIndex); edit != nil {
				edit.tasks[taskIndex] = world.Task{Index: taskIndex, State: world.TaskDone, Attempt: task.Attempt}
			}
		}
	}
	r.log.Info("gang completed by the report of some of its tasks", "job", job.Spec.ID, "done", job.DoneCount, "tasks", job.Spec.TaskCount)
}

// adoptMachines records machines that reported and whose records are missing or behind.
func (r *round) adoptMachines() {
	reports := r.agents.TakeAdoptions()
	// Small machines first: what the state service takes in a second is few beside a fleet that is
	// up at the start, and services, which come first then, should find those before they take
	// the place of larger tasks for as long as they run.
	names := slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.cluster.Types[reports[a].MachineType].CPUs, r.cluster.Types[reports[b].MachineType].CPUs), cmp.Compare(a, b))
	})
	for _, name := range names {
		report := reports[name]
		shard := world.ShardOf(name, r.cluster.ShardCount)
		key := world.MachineKey(name)
		machine := r.cluster.Machines[name]
		if _, owned := r.stamps[shard]; !owned || r.keysInFlight[key] || machine != nil && machine.Deleting {
			continue
		}
		// A report that a cut has held back may come long after its machine was deleted:
		// a record of it would be room that is not there.
		if _, tombstone := r.tombstones[name]; machine == nil && tombstone {
			continue
		}
		machineRecord := world.MachineRecord{CreatedAtMs: r.now.UnixMilli()}
		var modRevision uint64
		if machine != nil {
			machineRecord, modRevision = machine.MachineRecord, machine.ModRevision
		} else {
			r.log.Info("adopting a machine", "machine", name, "type", report.MachineType, "zone", report.Zone)
		}
		session := report.Session
		if session == 1 {
			session = 0
		}
		newSession := machine != nil && machineRecord.Session != session
		// A new session of a machine that hears nothing or reaches no node is recorded, but not that it is up.
		status := r.agents.MachineStatus(name, r.tokens[shard])
		up := !status.OutboundLost && (status.InboundConfirmed || !status.InboundLost && (machineRecord.Up || machineRecord.Address == ""))
		machineRecord.Type, machineRecord.Zone, machineRecord.Spot, machineRecord.Address, machineRecord.Up, machineRecord.Session = report.MachineType, report.Zone, report.Spot, report.Address, up, session
		transaction := r.updateMachineRecord("machine is up "+name, name, shard, machineRecord, modRevision)
		// That it is up can wait: others only plan with it, its owner uses it at once. A new
		// session can't: others bind gangs and services to the one on record, which
		// this node ends at once, and both over and over. After a zone's leases had run
		// out that used up the whole budget, so that the records were never mended.
		transaction.Urgent, transaction.Background = newSession, machine != nil && !newSession
	}
}

// evacuateMachine stops what gains by it on a machine that the cloud takes away: tasks
// that can save do so, services start again elsewhere at once. What can't save
// may still end in time, and a gang of several tasks must be stopped as a whole.
func (r *round) evacuateMachine(machine *world.Machine) {
	for _, binding := range machine.Bindings {
		spec := &binding.Job.Spec
		switch {
		case r.agents.StopRequested(binding):
		case spec.Kind == wire.KindGang && spec.TaskCount > 1:
			if spec.CheckpointIntervalSeconds > 0 {
				r.requestGangStop(binding, machine)
			}
		case spec.CheckpointIntervalSeconds > 0:
			r.agents.RequestStop(binding, machine.Name, stopGraceSeconds(spec))
		case spec.Kind == wire.KindService:
			r.agents.RequestStop(binding, machine.Name, 0)
		}
	}
}

// requestGangStop marks a gang's attempt to be stopped as a whole. The owners of all its
// tasks see the record at once and tell their workers within the time in which a
// gang's saves must begin.
func (r *round) requestGangStop(binding world.Binding, machine *world.Machine) {
	key := world.JobKey(binding.Ref.Job)
	if binding.Job.PreemptedAttempt == binding.Attempt || r.keysInFlight[key] || r.edits[recordKey{binding.Job, 0}] != nil || r.needsMigration(binding.Job) {
		return
	}
	r.keysInFlight[key] = true
	marked := *binding.Job
	marked.PreemptedAttempt = binding.Attempt
	op := marked.EncodeChunk(0, nil)
	r.out = append(r.out, &recordChange{
		description: "stop gang " + binding.Ref.Job, keys: []string{key}, shards: []int{machine.Shard},
		transaction: store.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: binding.Job.ModRevision}, {Key: world.ShardKey(machine.Shard), ModRevision: r.stamps[machine.Shard]}},
			Ops:        []wire.Op{op}, Urgent: true,
		},
	})
}

func (r *round) hasStoppingTask(machine *world.Machine) bool {
	for _, binding := range machine.Bindings {
		if r.agents.StopRequested(binding) {
			return true
		}
	}
	return false
}
