package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/preemption"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// preemptForTask frees capacity for one of a job's missing tasks by stopping other tasks on the machine where the least
// work is lost, and reports whether some shard can free it. ordinal numbers the missing tasks from 0. It identifies the
// reservation, but is not the index of the pending task that will use the capacity.
//
// All nodes call preemptForTask in their cycles, but only the owner of a shard knows how much work its tasks would
// lose. So the shard is chosen by what all nodes know, and the machine by the shard's owner.
//
// When no shard can free capacity, similar requests of the same rank are not examined again in this cycle. Otherwise
// hundreds of arrays that wait behind a full cluster would each examine all machines.
func (c *cycle) preemptForTask(queued *queuedJob, ordinal int, zones *binpack.ZoneConstraint) bool {
	task := record.TaskRef{JobID: queued.job.Spec.ID, Index: ordinal}
	if c.preempting.awaiting[task] {
		return true // capacity is already being freed for the task
	}
	if c.preempting.machines >= tuning.PreemptMachinesPerCycle ||
		c.preempting.failed[queued.rank].Covers(&queued.Request) {
		return false
	}
	first := (c.firstLiveShard(queued.job) + ordinal + c.shardRotation(queued)) % c.cluster.ShardCount
	for offset := range c.cluster.ShardCount {
		shard := (first + offset) % c.cluster.ShardCount
		if c.preemptInShard(shard, queued, task, zones) {
			return true
		}
	}
	// A request that is restricted to certain zones may have failed only because of that restriction.
	if !queued.job.Spec.SameZone && !queued.job.Spec.Spread {
		c.preempting.failed[queued.rank].Add(&queued.Request)
	}
	return false
}

// preemptInShard frees capacity for a task in a shard if this node owns the shard, and reports whether the shard can
// free it.
func (c *cycle) preemptInShard(
	shard int, queued *queuedJob, task record.TaskRef, zones *binpack.ZoneConstraint,
) bool {
	search := preemption.Search{Request: &queued.Request, Rank: queued.rank, Zones: zones, Limit: 1}
	owned := c.shards.owns(shard)
	if owned {
		// Only a shard's owner compares the machines. In other shards it only matters whether there is one.
		search.Limit = tuning.PreemptMachinesCompared
	}
	candidates := search.Candidates(c.inventory.ReadyMachines(shard))
	if len(candidates) == 0 {
		return false
	}
	if !owned {
		return true
	}
	victimsOn := func(machine *binpack.MachineInfo) []preemption.Victim { return c.preemptibleTasks(machine, queued) }
	if plan, ok := preemption.CheapestPlan(queued.Need, candidates, victimsOn); ok {
		c.preempt(plan, queued, task)
		zones.TasksByZone[plan.Machine.Machine.Zone]++
	}
	return true
}

// shardRotation returns by how many shards the search of preemptForTask is shifted for a job of high or production
// priority: by one for each tuning.PreemptShardInterval since the job first found no capacity. For other jobs it
// returns 0. The shift is needed because other nodes may consider the machines of a shard ready although its owner
// knows that they are not; without it, all nodes would wait for that owner indefinitely. The intervals start when the
// job first found no capacity, because intervals of the wall clock could end while tasks are being stopped, and
// capacity would be freed twice.
func (c *cycle) shardRotation(queued *queuedJob) int {
	since, ok := c.demand.unplacedSince[queued.job.Spec.ID]
	if !ok || !isHighPriority(queued.rank) {
		return 0
	}
	return int(c.now.Sub(since) / tuning.PreemptShardInterval)
}

// countReservedZones adds the machines that are reserved for a job to its number of tasks by zone.
func (c *cycle) countReservedZones(jobID string, zones *binpack.ZoneConstraint) {
	for name, task := range c.reservations.active(c.now) {
		if machine := c.cluster.Machines[name]; machine != nil && task.JobID == jobID {
			zones.TasksByZone[machine.Zone]++
		}
	}
}

// preemptibleTasks returns the tasks on a machine that may be stopped for a waiting job.
func (c *cycle) preemptibleTasks(machine *binpack.MachineInfo, queued *queuedJob) []preemption.Victim {
	preemptor := preemption.Preemptor{
		Rank:                queued.rank,
		Team:                queued.job.Spec.Team,
		WithinGuarantee:     queued.withinGuarantee,
		GuaranteedOnArrival: c.order.guarantees.onArrival[queued.job.Spec.ID],
	}
	var victims []preemption.Victim
	for _, binding := range machine.Machine.Bindings {
		job := binding.Job
		if !preemptor.MayPreempt(c.runningJob(job)) || job.Stopping() || !record.TaskPreemptible(&job.Spec) ||
			c.agents.StopRequested(binding) {
			continue
		}
		victims = append(victims, preemption.Victim{
			Binding:     binding,
			Rank:        c.effectiveRank(job),
			LostSeconds: c.lostSeconds(binding, machine.Machine),
		})
	}
	return victims
}

// runningJob returns the properties of a job that decide whether it may be preempted.
func (c *cycle) runningJob(job *clusterstate.Job) preemption.RunningJob {
	_, guaranteed := c.quota.Guarantee(job.Spec.Team)
	return preemption.RunningJob{
		Rank:             c.effectiveRank(job),
		Team:             job.Spec.Team,
		TeamHasGuarantee: guaranteed,
		WithinGuarantee:  c.order.guarantees.running[job.Spec.ID],
		EndsSoon:         job.Spec.Kind == wire.KindArray && c.predictedRunTime(job) < tuning.PreemptMinRemainingRun,
	}
}

// lostSeconds returns the work lost when a task is stopped, in seconds of run time: its run time so far, but at most
// the interval of its checkpoints. The share of the machine that the task uses is not counted. It adds one second, so
// that each stop counts as a loss, also that of a task that has not begun to run: among plans that lose hardly any
// work, the one that stops the fewest tasks is the cheapest.
func (c *cycle) lostSeconds(binding clusterstate.Binding, machine *clusterstate.Machine) float64 {
	task := c.agents.ObserveTask(binding, machine.Name, c.shards.fencingTokens[machine.Shard])
	ran := 0.0
	if task.State == wire.TaskRunning {
		ran = c.now.Sub(task.StateSince).Seconds()
	}
	if interval := binding.Job.Spec.CheckpointIntervalSeconds; interval > 0 {
		ran = min(ran, interval)
	}
	return 1 + ran
}

// preempt stops the victims of a plan for a pending task and reserves their machine for it.
func (c *cycle) preempt(plan preemption.Plan, queued *queuedJob, task record.TaskRef) {
	machine := plan.Machine.Machine.Name
	c.preempting.machines++
	c.inventory.ReserveAll(plan.Machine, task.JobID)
	c.reservations.reserve(machine, task, c.now.Add(tuning.ReservationTimeout))
	c.preempting.awaiting[task] = true
	for _, victim := range plan.Victims {
		spec := &victim.Binding.Job.Spec
		grace := 0.0
		if queued.rank > 0 && spec.CheckpointIntervalSeconds > 0 {
			grace = stopGraceSeconds(spec)
		}
		c.log.Debug("preempting a task", "task", victim.Binding.Ref, "preemptor", task, "machine", machine)
		c.agents.RequestStop(victim.Binding, machine, grace)
	}
}
