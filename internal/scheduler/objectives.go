package scheduler

import (
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/fairshare"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// objectives is the latest assessment of which service-level objectives waiting arrays can meet with the available
// capacity.
type objectives struct {
	assessedAt time.Time
	// unattainable holds the waiting arrays that can meet none of their objectives.
	unattainable map[string]bool
	// attainable holds, for each other waiting array, the first objective that it can meet.
	attainable map[string]time.Time
	// capacityShort is set, by priority rank, if not all waiting arrays can meet their first attainable objective.
	capacityShort [wire.PriorityCount]bool
	// arrivals tracks the recent arrivals of each class and team. underserved holds the classes and teams whose served
	// share is below both thresholds of fairshare.Tracker.Underserved.
	arrivals    fairshare.Tracker
	underserved map[fairshare.Group]bool
}

// arrayWork is the remaining work of the startable arrays.
type arrayWork struct {
	waiting [wire.PriorityCount][]jobqueue.WaitingJob
	// runningMachineSeconds is the machine time that running tasks still need, in seconds, by priority rank.
	runningMachineSeconds [wire.PriorityCount]float64
	objectives            map[string][]time.Time // by job ID, earliest first
	pending               map[string]int         // number of pending tasks, by job ID
}

// assessObjectives determines which objective each waiting array can meet if the capacity that arrays may use on ready
// machines serves them one after the other. Gangs and services are left out: they precede arrays and take all the
// capacity that they need. The assessment uses records, the inventory, run time estimates and this node's history of
// arrivals, so all nodes get nearly the same result once their histories cover tuning.FairShareWindow.
func (c *cycle) assessObjectives() {
	state := &c.order.objectives
	state.assessedAt, state.unattainable, state.attainable = c.now, map[string]bool{}, map[string]time.Time{}
	state.capacityShort = [wire.PriorityCount]bool{}
	work := c.collectArrayWork()
	state.underserved = state.arrivals.Underserved(c.now, work.pending)
	for rank := range work.waiting {
		if len(work.waiting[rank]) > 0 {
			c.assessRank(rank, work)
		}
	}
}

// collectArrayWork returns the work of all startable arrays, and records their arrival.
func (c *cycle) collectArrayWork() *arrayWork {
	work := &arrayWork{objectives: map[string][]time.Time{}, pending: map[string]int{}}
	for id, job := range c.cluster.Jobs {
		if job.Spec.Kind != wire.KindArray || !job.CanStart() {
			continue
		}
		rank, share, runTime := c.effectiveRank(job), c.machineShare(&job.Spec), c.estimatedRunTime(job)
		c.order.objectives.arrivals.RecordArrival(c.now, fairshare.Arrival{
			JobID: id, Class: job.Spec.Class, Team: job.Spec.Team, Tasks: job.Spec.TaskCount, At: job.ReadySince(),
		})
		// On average a running task has half of its run time left.
		work.runningMachineSeconds[rank] += float64(job.BoundCount) * share * runTime.Seconds() / 2
		pending := job.PendingCount()
		if pending == 0 {
			continue
		}
		work.pending[id] = pending
		times := c.objectiveTimes(job)
		work.objectives[id] = times
		if len(times) == 0 {
			continue
		}
		waiting := jobqueue.WaitingJob{
			JobID: id, ServiceTime: time.Duration(float64(pending) * share * float64(runTime)), TaskRunTime: runTime,
		}
		for _, at := range times {
			waiting.Objectives = append(waiting.Objectives, at.Sub(c.now))
		}
		work.waiting[rank] = append(work.waiting[rank], waiting)
	}
	return work
}

// assessRank determines which objectives the waiting arrays of one priority rank can meet.
func (c *cycle) assessRank(rank int, work *arrayWork) {
	state, waiting := &c.order.objectives, work.waiting[rank]
	capacity := c.capacityForRank(rank)
	if capacity < 1 {
		return // no machine is ready, so no objective can be assessed
	}
	for i := range waiting {
		waiting[i].ServiceTime = time.Duration(float64(waiting[i].ServiceTime) / capacity)
	}
	backlog := time.Duration(work.runningMachineSeconds[rank] / capacity * float64(time.Second))
	missed, total := 0, time.Duration(0)
	for id, attained := range jobqueue.AttainableObjectives(backlog, waiting) {
		if attained < 0 {
			state.unattainable[id] = true
			missed++
			continue
		}
		times := work.objectives[id]
		state.attainable[id] = times[attained]
		first, _ := firstReachable(c.now, times, c.estimatedRunTime(c.cluster.Jobs[id]))
		state.capacityShort[rank] = state.capacityShort[rank] || first.Before(state.attainable[id])
	}
	state.capacityShort[rank] = state.capacityShort[rank] || missed > 0
	for _, job := range waiting {
		total += job.ServiceTime
	}
	c.log.Debug("array objectives assessed", "rank", rank, "waiting", len(waiting), "missed", missed,
		"short", state.capacityShort[rank], "capacity", int(capacity), "backlog", backlog, "service_time", total)
}

// capacityForRank returns the capacity that tasks of a priority rank may use on ready machines: the free capacity and
// the capacity of preemptible tasks of the same or a lower priority. It is in units of machines, or in units of common
// tasks if no job uses GPUs. Without GPUs the free share of a machine would mislead: a machine with space for one
// common task would count as much as one with space for four, and so would one that is too small for any.
func (c *cycle) capacityForRank(rank int) float64 {
	commonTask, sum := c.demand.commonTask, 0.0
	for shard := range c.cluster.ShardCount {
		for _, candidate := range c.inventory.ReadyMachines(shard) {
			free := candidate.Free
			for lower := rank; lower < len(candidate.Machine.PreemptibleByRank); lower++ {
				free = free.Plus(candidate.Machine.PreemptibleByRank[lower])
			}
			if commonTask.CPUs > 0 {
				sum += float64(binpack.TasksThatFit(commonTask, free))
			} else {
				sum += binpack.FreeFraction(free, candidate.Capacity)
			}
		}
	}
	return sum
}

// machineShare returns what a task needs in the unit of capacityForRank: the share of a machine of the type of which it
// needs least, or the multiple of a common task.
func (c *cycle) machineShare(spec *wire.JobSpec) float64 {
	need := record.TaskResources(spec)
	if commonTask := c.demand.commonTask; commonTask.CPUs > 0 {
		return max(need.CPUs/commonTask.CPUs, need.MemoryGB/max(commonTask.MemoryGB, 1))
	}
	least := 1.0
	for _, machineType := range c.cluster.Catalog.Types {
		capacity := record.Capacity(&machineType)
		if need.FitsIn(capacity) {
			least = min(least, 1-binpack.FreeFraction(capacity.Minus(need), capacity))
		}
	}
	return least
}
