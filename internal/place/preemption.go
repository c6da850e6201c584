package place

import (
	"sableusher/internal/fit"
	"sableusher/internal/preempt"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// preemptFor frees room for a task of higher priority on the machine of this
// node's parts where the least work is lost. All nodes play this round, but only
// an owner knows what its tasks would lose: the part is chosen by what all know,
// the machine by its owner. It tells whether there is a part where room could be made;
// once there is none, like needs of the same rank are not looked at again in this round:
// hundreds of arrays that wait behind a full fleet would each pass all of its machines.
func (r *round) preemptFor(queued *due, taskIndex int, inventory *fit.Inventory, zones *fit.ZoneConstraint) bool {
	task := world.TaskRef{Job: queued.job.Spec.ID, Index: taskIndex}
	if r.freeing[task] {
		return true // room is being freed for it already
	}
	if r.stops >= tuning.RoundStops || r.rigid[queued.rank].Covers(&queued.Request) {
		return false
	}
	first := (r.first(queued.job) + taskIndex + r.shardRotation(queued)) % r.cluster.ShardCount
	for offset := range r.cluster.ShardCount {
		shard := (first + offset) % r.cluster.ShardCount
		_, owned := r.tokens[shard]
		limit := 1 // that there is one is all that matters where another node decides
		if owned {
			limit = tuning.PreemptLook
		}
		candidates := preempt.CandidateMachines(inventory.ReadyMachines(shard), &queued.Request, queued.rank, zones, limit)
		if len(candidates) == 0 {
			continue
		}
		if owned {
			if best, victims := preempt.CheapestMachine(queued.Need, candidates, func(candidate *fit.MachineInfo) []preempt.Victim { return r.preemptibleTasks(candidate, queued) }); best != nil {
				r.preemptTasks(best, queued, task, victims)
				zones.TasksByZone[best.Machine.Zone]++
			}
		}
		return true
	}
	// What must stand in certain zones may have missed for that alone.
	if !queued.job.Spec.SameZone && !queued.job.Spec.Spread {
		r.rigid[queued.rank].Add(&queued.Request)
	}
	return false
}

// shardRotation moves the part at which urgent work that finds no room has it made, every PreemptTurn that
// it still finds none: an owner may know that the machines of its part are not to be had which
// others take for ready, and all would wait for it. By the clock alone the turns passed in the
// midst of stops, and room was made twice.
func (r *round) shardRotation(queued *due) int {
	since, ok := r.unplacedSince[queued.job.Spec.ID]
	if !ok || queued.rank > wire.PriorityRank(wire.PriorityHigh) {
		return 0
	}
	return int(r.now.Sub(since) / tuning.PreemptTurn)
}

// countReservedZones counts with a job's tasks the machines on which room is being freed for it.
func (r *round) countReservedZones(jobID string, zones *fit.ZoneConstraint) {
	for name, reservation := range r.reservations {
		if machine := r.cluster.Machines[name]; machine != nil && reservation.task.Job == jobID && !r.now.After(reservation.expiresAt) {
			zones.TasksByZone[machine.Zone]++
		}
	}
}

// preemptibleTasks gives the tasks on a machine that may be stopped for a job.
func (r *round) preemptibleTasks(candidate *fit.MachineInfo, queued *due) []preempt.Victim {
	preemptor := preempt.Preemptor{Rank: queued.rank, WithinGuarantee: queued.assured, GuaranteedOnArrival: r.guaranteedOnArrival[queued.job.Spec.ID], Team: queued.job.Spec.Team, Need: queued.Need}
	var victims []preempt.Victim
	for _, binding := range candidate.Machine.Bindings {
		if preemptor.MayPreempt(r.runningJob(binding.Job)) && !binding.Job.Cancelled() && world.TaskPreemptible(&binding.Job.Spec) && !r.agents.StopRequested(binding) {
			victims = append(victims, preempt.Victim{Binding: binding, Rank: r.rank(binding.Job), LostMachineSeconds: r.lostMachineSeconds(binding, candidate)})
		}
	}
	return victims
}

// preemptTasks stops tasks on a machine until another has room there, and keeps the room.
func (r *round) preemptTasks(candidate *fit.MachineInfo, queued *due, task world.TaskRef, victims []preempt.Victim) {
	r.stops++
	r.stock.ReserveAll(candidate, task.Job)
	r.reservations[candidate.Machine.Name] = reservation{task, r.now.Add(tuning.PreemptHold)}
	r.freeing[task] = true
	for _, victim := range victims {
		grace := 0.0
		if queued.rank > 0 && victim.Binding.Job.Spec.CheckpointIntervalSeconds > 0 {
			grace = stopGraceSeconds(&victim.Binding.Job.Spec)
		}
		r.log.Debug("stopping a task for one of higher priority", "task", victim.Binding.Ref, "for", task, "machine", candidate.Machine.Name)
		r.agents.RequestStop(victim.Binding, candidate.Machine.Name, grace)
	}
}

// runningJob is what a running job has to say for itself.
func (r *round) runningJob(job *world.Job) preempt.RunningJob {
	_, guaranteed := r.quota.Guarantee(job.Spec.Team)
	return preempt.RunningJob{Rank: r.rank(job), WithinGuarantee: r.runningWithinGuarantee[job.Spec.ID], TeamHasGuarantee: guaranteed, Team: job.Spec.Team,
		EndsSoon: job.Spec.Kind == wire.KindArray && r.run(job) < tuning.Passing}
}

// lostMachineSeconds is the work lost when a task is stopped, in machine seconds.
func (r *round) lostMachineSeconds(binding world.Binding, candidate *fit.MachineInfo) float64 {
	task := r.agents.ObserveTask(binding, candidate.Machine.Name, r.tokens[candidate.Machine.Shard])
	ran := 0.0
	if task.State == wire.TaskRunning {
		ran = r.now.Sub(task.Since).Seconds()
	}
	if checkpointSeconds := binding.Job.Spec.CheckpointIntervalSeconds; checkpointSeconds > 0 {
		ran = min(ran, checkpointSeconds)
	}
	return 1 + ran
}
