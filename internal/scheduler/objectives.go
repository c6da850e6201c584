package scheduler

import (
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/fairshare"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// objectives is the last assessment of the service-level objectives of waiting arrays against the
// capacity there is.
type objectives struct {
	assessedAt time.Time
	// unattainable holds the waiting arrays that can meet none of their objectives.
	unattainable map[string]bool
	// attainable is, for each of the others, the first objective it can meet.
	attainable map[string]time.Time
	// capacityShort tells, by priority rank, that not all waiting arrays can meet their first reachable objective.
	capacityShort [wire.PriorityCount]bool
	// arrivals are the recent arrivals of classes and teams; underserved are those that were served least of theirs.
	arrivals    fairshare.Tracker
	underserved map[fairshare.Group]bool
}

// arrayWork is the work of the arrays that may start.
type arrayWork struct {
	waiting [wire.PriorityCount][]jobqueue.WaitingJob
	// runningMachineS is the machine time that running tasks still take, in seconds.
	runningMachineS [wire.PriorityCount]float64
	objectives      map[string][]time.Time // by job, earliest first
	pending         map[string]int         // tasks by job
}

// assessObjectives finds which objective each waiting array can meet with the capacity there is: the
// capacity that arrays may use, on machines that are up, serves them one after the other. Gangs and
// services are not counted: they come before, and take what they need whole. It reads records and
// estimates only, so that all nodes find nearly the same.
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

// collectArrayWork goes through the arrays that may start, and notes their arrival.
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
		work.runningMachineS[rank] += float64(job.BoundCount) * share * runTime.Seconds() / 2 // half is left on average
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

// assessRank finds which objectives the waiting arrays of one priority rank can meet.
func (c *cycle) assessRank(rank int, work *arrayWork) {
	state, waiting := &c.order.objectives, work.waiting[rank]
	capacity := c.capacityForRank(rank)
	if capacity < 1 {
		return // nothing is up: no objective can be assessed
	}
	for i := range waiting {
		waiting[i].ServiceTime = time.Duration(float64(waiting[i].ServiceTime) / capacity)
	}
	backlog := time.Duration(work.runningMachineS[rank] / capacity * float64(time.Second))
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

// capacityForRank is the capacity, in machines that are up, that work of a priority rank may use: what is
// free and what work of its own rank or below takes. Where work takes no GPUs, it is counted in common
// tasks: by the share that is free, a machine for one of them would count as much as one for four, and so
// would one too small for any.
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

// machineShare is what a task takes of a machine, of the type of which it takes least, or of what a
// common task takes: in the unit that capacityForRank counts in.
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
