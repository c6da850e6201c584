package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/preemption"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// preemptFor frees room for a task of higher priority on the machine of this
// node's parts where the least work is lost. All nodes play this round, but only
// an owner knows what its tasks would lose: the part is chosen by what all know,
// the machine by its owner. It tells whether there is a part where room could be made;
// once there is none, like needs of the same rank are not looked at again in this round:
// hundreds of arrays that wait behind a full fleet would each pass all of its machines.
func (c *cycle) preemptFor(queued *queuedJob, taskIndex int, inventory *binpack.Inventory, zones *binpack.ZoneConstraint) bool {
	task := record.TaskRef{JobID: queued.job.Spec.ID, Index: taskIndex}
	if c.preempting.awaiting[task] {
		return true // room is being freed for it already
	}
	if c.preempting.machines >= tuning.RoundStops || c.preempting.failed[queued.rank].Covers(&queued.Request) {
		return false
	}
	first := (c.firstLiveShard(queued.job) + taskIndex + c.shardRotation(queued)) % c.cluster.ShardCount
	for offset := range c.cluster.ShardCount {
		shard := (first + offset) % c.cluster.ShardCount
		_, owned := c.shards.fencingTokens[shard]
		limit := 1 // that there is one is all that matters where another node decides
		if owned {
			limit = tuning.PreemptLook
		}
		candidates := preemption.CandidateMachines(inventory.ReadyMachines(shard), &queued.Request, queued.rank, zones, limit)
		if len(candidates) == 0 {
			continue
		}
		if owned {
			if best, victims := preemption.CheapestMachine(queued.Need, candidates, func(candidate *binpack.MachineInfo) []preemption.Victim { return c.preemptibleTasks(candidate, queued) }); best != nil {
				c.preemptTasks(best, queued, task, victims)
				zones.TasksByZone[best.Machine.Zone]++
			}
		}
		return true
	}
	// What must stand in certain zones may have missed for that alone.
	if !queued.job.Spec.SameZone && !queued.job.Spec.Spread {
		c.preempting.failed[queued.rank].Add(&queued.Request)
	}
	return false
}

// shardRotation moves the part at which urgent work that finds no room has it made, every PreemptTurn that
// it still finds none: an owner may know that the machines of its part are not to be had which
// others take for ready, and all would wait for it. By the clock alone the turns passed in the
// midst of stops, and room was made twice.
func (c *cycle) shardRotation(queued *queuedJob) int {
	since, ok := c.demand.unplacedSince[queued.job.Spec.ID]
	if !ok || queued.rank > wire.PriorityHigh.Rank() {
		return 0
	}
	return int(c.now.Sub(since) / tuning.PreemptTurn)
}

// countReservedZones counts with a job's tasks the machines on which room is being freed for it.
func (c *cycle) countReservedZones(jobID string, zones *binpack.ZoneConstraint) {
	for name, task := range c.reservations.active(c.now) {
		if machine := c.cluster.Machines[name]; machine != nil && task.JobID == jobID {
			zones.TasksByZone[machine.Zone]++
		}
	}
}

// preemptibleTasks gives the tasks on a machine that may be stopped for a job.
func (c *cycle) preemptibleTasks(candidate *binpack.MachineInfo, queued *queuedJob) []preemption.Victim {
	preemptor := preemption.Preemptor{Rank: queued.rank, WithinGuarantee: queued.withinGuarantee, GuaranteedOnArrival: c.order.guarantees.onArrival[queued.job.Spec.ID], Team: queued.job.Spec.Team, Need: queued.Need}
	var victims []preemption.Victim
	for _, binding := range candidate.Machine.Bindings {
		if preemptor.MayPreempt(c.runningJob(binding.Job)) && !binding.Job.Cancelled() && record.TaskPreemptible(&binding.Job.Spec) && !c.agents.StopRequested(binding) {
			victims = append(victims, preemption.Victim{Binding: binding, Rank: c.effectiveRank(binding.Job), LostMachineSeconds: c.lostMachineSeconds(binding, candidate)})
		}
	}
	return victims
}

// preemptTasks stops tasks on a machine until another has room there, and keeps the room.
func (c *cycle) preemptTasks(candidate *binpack.MachineInfo, queued *queuedJob, task record.TaskRef, victims []preemption.Victim) {
	c.preempting.machines++
	c.inventory.ReserveAll(candidate, task.JobID)
	c.reservations.reserve(candidate.Machine.Name, task, c.now.Add(tuning.PreemptHold))
	c.preempting.awaiting[task] = true
	for _, victim := range victims {
		grace := 0.0
		if queued.rank > 0 && victim.Binding.Job.Spec.CheckpointIntervalSeconds > 0 {
			grace = stopGraceSeconds(&victim.Binding.Job.Spec)
		}
		c.log.Debug("stopping a task for one of higher priority", "task", victim.Binding.Ref, "for", task, "machine", candidate.Machine.Name)
		c.agents.RequestStop(victim.Binding, candidate.Machine.Name, grace)
	}
}

// runningJob is what a running job has to say for itself.
func (c *cycle) runningJob(job *clusterstate.Job) preemption.RunningJob {
	_, guaranteed := c.quota.Guarantee(job.Spec.Team)
	return preemption.RunningJob{Rank: c.effectiveRank(job), WithinGuarantee: c.order.guarantees.running[job.Spec.ID], TeamHasGuarantee: guaranteed, Team: job.Spec.Team,
		EndsSoon: job.Spec.Kind == wire.KindArray && c.predictedRunTime(job) < tuning.Passing}
}

// lostMachineSeconds is the work lost when a task is stopped, in machine seconds.
func (c *cycle) lostMachineSeconds(binding clusterstate.Binding, candidate *binpack.MachineInfo) float64 {
	task := c.agents.ObserveTask(binding, candidate.Machine.Name, c.shards.fencingTokens[candidate.Machine.Shard])
	ran := 0.0
	if task.State == wire.TaskRunning {
		ran = c.now.Sub(task.Since).Seconds()
	}
	if checkpointSeconds := binding.Job.Spec.CheckpointIntervalSeconds; checkpointSeconds > 0 {
		ran = min(ran, checkpointSeconds)
	}
	return 1 + ran
}
