package scheduler

import (
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// chargeMachineShard, as the charged shard of a binding, stands for the shard of the machine.
const chargeMachineShard = -1

// bindToOwnMachines is like bindTasks, but uses only those of the picked machines that this node owns, and charges each
// binding to the shard of its machine.
func (c *cycle) bindToOwnMachines(queued *queuedJob, picks []*binpack.MachineInfo) {
	picks = slices.DeleteFunc(picks, func(candidate *binpack.MachineInfo) bool { return !candidate.Owned })
	c.bindTasks(queued, picks, chargeMachineShard)
}

// bindTasks binds pending tasks of a job to the picked machines, one task each. The bindings are charged to the quota
// grant of the charged shard, or to that of each machine's own shard for chargeMachineShard.
func (c *cycle) bindTasks(queued *queuedJob, picks []*binpack.MachineInfo, charged int) {
	if queued.deferred || len(picks) == 0 {
		return
	}
	binder := taskBinder{cycle: c, queued: queued, charged: charged, examinable: tuning.TasksPerJobPerCycle}
	if queued.job.Spec.Spread {
		binder.bindSpread(picks)
		return
	}
	for chunk := range queued.job.ChunkCount() {
		rest, ok := binder.bindChunk(chunk, picks)
		if !ok || len(rest) == 0 {
			return
		}
		picks = rest
	}
}

// chunkBindable reports whether a chunk has a pending task and may be changed now.
func (c *cycle) chunkBindable(job *clusterstate.Job, chunk int) bool {
	if job.ChunkFullyAssigned(chunk) || c.changes.inFlight(job.ChunkKey(chunk)) {
		return false
	}
	if !c.chunkIsFree(chunkKey{job: job, chunk: chunk}) {
		c.logWaiting(job, waitChangeInFlight, nil)
		return false
	}
	return true
}

// taskStart is the start of a task on the machine that a cycle has chosen for it.
type taskStart struct {
	task      record.TaskRef
	attempt   uint64
	failures  int // number of failed attempts before this one
	candidate *binpack.MachineInfo
	charged   int // shard whose quota grant the task uses
}

func newTaskStart(
	task record.Task, job string, attempt uint64, candidate *binpack.MachineInfo, charged int,
) taskStart {
	if charged == chargeMachineShard {
		charged = candidate.Machine.Shard
	}
	return taskStart{
		task:    record.TaskRef{JobID: job, Index: task.Index},
		attempt: attempt, failures: task.Failures, candidate: candidate, charged: charged,
	}
}

// bindTask adds a binding to the edit of its chunk. It returns false, and changes nothing, if the task may not start
// now.
func (c *cycle) bindTask(queued *queuedJob, start taskStart) bool {
	job, machine := queued.job, start.candidate.Machine
	if !c.mayBind(queued, start) {
		return false
	}
	edit := c.editChunk(job, start.task.Index)
	if edit == nil {
		c.logWaiting(job, waitChangeInFlight, nil)
		return false
	}
	edit.shards[start.charged] = true
	edit.shards[machine.Shard] = true
	pending := inFlightBinding{
		task: start.task, machine: machine.Name, chargedShard: start.charged, team: job.Spec.Team, need: queued.Need,
	}
	edit.addBinding(c.boundTask(start), pending, c.cluster.SizeLimits(0).GroupedTaskBytes)
	c.inFlight.add(pending)
	c.tasksBound++
	c.recordDecision(queued, pending, start.attempt)
	c.clearWaitState(job.Spec.ID, start.candidate)
	c.log.Debug("task bound", "task", start.task, "attempt", start.attempt, "machine", machine.Name,
		"image_present", c.inventory.HasImage(job.Spec.Image, start.candidate))
	return true
}

// mayBind reports whether a task may be bound now: its job may start tasks here, the cycle has not reached its limit
// of bindings, and the team's grant in the charged shard covers the task.
func (c *cycle) mayBind(queued *queuedJob, start taskStart) bool {
	job := queued.job
	if c.failingJobs[job.Spec.ID] {
		return false // a change of this cycle ends the job, and would contain the binding
	}
	if job.HasUnmetDependencies() || job.OffloadedTo != nil || !c.cellMayStart(job) {
		// Every binding passes this check. Queues may contain such a job by mistake, but it must never start.
		c.log.Error("refused to bind a task of a job that may not start", "job_id", job.Spec.ID)
		return false
	}
	if job.Spec.Kind != wire.KindGang && c.tasksBound >= tuning.BindingsPerCycle ||
		!c.grantCovers(queued, start.charged, 1) {
		c.logWaiting(job, waitGrantOrCycle, start.candidate)
		return false
	}
	return true
}

// grantCovers reports whether a shard's grant of the job's team covers the given number of additional tasks. If it
// doesn't, a larger grant is requested.
func (c *cycle) grantCovers(queued *queuedJob, shard, tasks int) bool {
	team := queued.job.Spec.Team
	return c.quota.Allows(shard, team, c.usage(shard, team).PlusTimes(queued.Need, float64(tasks)))
}

// boundTask returns the record of a binding, with the newest session of the machine that this node knows.
func (c *cycle) boundTask(start taskStart) record.Task {
	machine := start.candidate.Machine
	session := max(machine.Session, 1)
	if start.candidate.Owned {
		session = c.agents.MachineStatus(machine.Name, c.shards.fencingTokens[machine.Shard]).Session
	}
	task := record.Task{
		Index: start.task.Index, State: record.TaskBound, Attempt: start.attempt,
		Machine: machine.Name, Session: session, Failures: start.failures,
	}
	if start.charged != machine.Shard {
		task.ChargedShard = start.charged + 1 // in the record, 0 stands for the machine's own shard
	}
	return task
}

// clearWaitState drops the state that is kept for a job while it waits, because a task of it starts on a machine. If
// that machine was reserved for the job, the reservation is released.
func (c *cycle) clearWaitState(job string, candidate *binpack.MachineInfo) {
	delete(c.pace.ownerWaits, job)
	delete(c.demand.unplacedSince, job)
	if candidate.ReservedFor == job {
		c.reservations.release(candidate.Machine.Name)
		c.inventory.ReserveFor(candidate.Machine.Name, "")
	}
}
