package scheduler

import (
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// bindToOwnMachines binds waiting tasks of a job to those of the machines that are this
// node's.
func (c *cycle) bindToOwnMachines(queued *queuedJob, record int, picks []*binpack.MachineInfo) {
	c.bindTasks(queued, record, slices.DeleteFunc(picks, func(candidate *binpack.MachineInfo) bool { return !candidate.Owned }), -1)
}

// bindTasks binds waiting tasks of a job to machines, at the charge of one part
// or, without it, of each machine's own.
func (c *cycle) bindTasks(queued *queuedJob, first int, picks []*binpack.MachineInfo, charged int) {
	job, spec := queued.job, &queued.job.Spec
	if queued.deferred {
		return
	}
	examined := 0
	start, end := job.TaskRange(first)
	if !spec.Spread {
		end = spec.TaskCount
	}
	for i := start; i < end && len(picks) > 0 && examined < tuning.JobSlice; i++ {
		record := job.ChunkOf(i)
		lo, hi := job.TaskRange(record)
		if i == lo && (job.ChunkFullyAssigned(record) || c.keysInFlight[job.ChunkKey(record)]) {
			i = hi - 1 // nothing waits in this record, or it can't be changed now
			continue
		}
		task := c.taskState(job, i)
		if task.State != clusterstate.TaskPending || c.inRetryBackoff(job, i) {
			continue
		}
		if c.recordFull(job, record, 1, picks[0].Machine.Name) {
			c.logWaiting(job, "its record is full", nil)
			i = hi - 1
			continue
		}
		examined++
		candidate := picks[0]
		shard := charged
		if shard < 0 {
			shard = candidate.Machine.Shard
		}
		if !c.bindTask(queued, i, task.Attempt+1, candidate, shard) {
			return
		}
		picks = picks[1:]
	}
}

// bindTask adds a task to the records' changes, if its team's grant of a part
// covers it.
func (c *cycle) bindTask(queued *queuedJob, index int, attempt uint64, candidate *binpack.MachineInfo, charged int) bool {
	job := queued.job
	team := job.Spec.Team
	if c.failingJobs[job.Spec.ID] {
		return false // in the same change as its end it would be bound to a job that is over
	}
	if job.HasUnmetDependencies() || job.OffloadedTo != nil || !c.holdsStartRight(job) {
		// Every way to a machine comes through here: queues may err, this may not.
		c.log.Error("a job that waits for others, or is with another cell, was about to start", "job", job.Spec.ID)
		return false
	}
	if job.Spec.Kind != wire.KindGang && c.tasksBound >= tuning.RoundTasks || !c.quota.Allows(charged, team, c.usage(charged, team).AddTimes(queued.Need, 1)) {
		c.logWaiting(job, "its team's grant in this part, or the round is full", candidate)
		return false
	}
	edit := c.editRecord(job, index)
	if edit == nil {
		c.logWaiting(job, "a change of its record is on its way", nil)
		return false
	}
	session := max(candidate.Machine.Session, 1)
	if candidate.Owned {
		session = c.agents.MachineStatus(candidate.Machine.Name, c.fencingTokens[candidate.Machine.Shard]).Session
	}
	ref := clusterstate.TaskRef{Job: job.Spec.ID, Index: index}
	task := clusterstate.Task{Index: index, State: clusterstate.TaskBound, Attempt: attempt, Machine: candidate.Machine.Name, Session: session, Failures: c.taskState(job, index).Failures}
	if charged != candidate.Machine.Shard {
		task.ChargedShard = charged + 1
	}
	edit.tasks[index] = task
	edit.shards[charged] = true
	edit.shards[candidate.Machine.Shard] = true
	edit.encodedSize += maxBindingBytes(candidate.Machine.Name)
	binding := pendingBinding{ref, candidate.Machine.Name, charged, team, queued.Need}
	edit.bindings = append(edit.bindings, binding)
	c.addInFlight(binding)
	c.tasksBound++
	c.recordDecision(queued, binding, attempt)
	delete(c.ownerWaits, job.Spec.ID)
	delete(c.demand.unplacedSince, job.Spec.ID)
	if candidate.ReservedFor == job.Spec.ID {
		delete(c.reservations, candidate.Machine.Name)
		c.inventory.ReserveFor(candidate.Machine.Name, "")
	}
	c.log.Debug("task placed", "task", ref, "attempt", attempt, "machine", candidate.Machine.Name, "image", c.inventory.HasImage(job.Spec.Image, candidate))
	return true
}
