package scheduler

import (
	"math/bits"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/fairshare"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
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
		first, _ := c.firstReachable(times, c.estimatedRunTime(c.cluster.Jobs[id]))
		state.capacityShort[rank] = state.capacityShort[rank] || first.Before(state.attainable[id])
	}
	state.capacityShort[rank] = state.capacityShort[rank] || missed > 0
	for _, job := range waiting {
		total += job.ServiceTime
	}
	c.log.Debug("array objectives assessed", "rank", rank, "waiting", len(waiting), "missed", missed,
		"short", state.capacityShort[rank], "capacity", int(capacity), "backlog", backlog, "service_time", total)
}

// sizeClass is the class of what an array still takes, by powers of two, where capacity is so short that not
// all arrays can meet their objectives; 0 elsewhere. The large would each hold up many that are over soon:
// by the smallest first the mean waiting time is least (Smith, Various optimizers for single-stage
// production, Naval Research Logistics 3, 1956), and with it the reward's responsiveness highest. Within a
// class the nearness of the deadline and the value decide. The owner's estimate tells the jobs of one class
// apart, which the class's median can't.
func (c *cycle) sizeClass(job *clusterstate.Job) int {
	if job.Spec.Kind == wire.KindService && c.serviceCapacityScarce() {
		return 1 + job.BoundCount // the fewest replicas left first
	}
	if job.Spec.Kind != wire.KindArray || !c.order.objectives.capacityShort[c.effectiveRank(job)] {
		return 0
	}
	if c.hasOverdueTurn(job) || c.nearLastObjective(job) {
		return -1
	}
	return 1 + bits.Len(uint(float64(job.PendingCount())*c.estimatedRunTime(job).Seconds()))
}

// serviceCapacityScarce reports whether services have found no capacity of late, as after the loss of a zone.
// Then one replica of each starts before the second of any, and those with the fewest left go first.
func (c *cycle) serviceCapacityScarce() bool {
	return c.now.Sub(c.demand.lastServiceShortage) < tuning.ServicesLack
}

// nearLastObjective reports whether an array has to start soon to meet the last of its objectives, which it
// can. Behind smaller ones that keep coming a large one would miss it though there is capacity for all by
// then: one in a hundred did where capacity was a little short.
func (c *cycle) nearLastObjective(job *clusterstate.Job) bool {
	if _, ok := c.order.objectives.attainable[job.Spec.ID]; !ok {
		return false
	}
	objectives, runTime := c.objectiveTimes(job), c.estimatedRunTime(job)
	slack := objectives[len(objectives)-1].Sub(c.now) - runTime
	return slack >= 0 && slack < max(runTime, tuning.LastCall)
}

// turn is a second of the cycle of tuning.FloorTurns in which certain arrays come first while capacity is
// short. All nodes find the same turn by the clock.
type turn int64

const (
	turnOfClasses      turn = 0 // arrays of underserved classes
	turnOfTeams        turn = 1 // arrays of underserved teams
	turnOfClassesAgain turn = 2 // classes have two turns, as they differ most
	turnOfOverdue      turn = tuning.FloorTurns - 1
)

// String names a turn for messages.
func (t turn) String() string {
	switch t {
	case turnOfClasses, turnOfClassesAgain:
		return "classes"
	case turnOfTeams:
		return "teams"
	default:
		return "overdue"
	}
}

// currentTurn is the turn at the time of the cycle.
func (c *cycle) currentTurn() turn { return turn(c.now.Unix() % tuning.FloorTurns) }

// hasUnderservedTurn reports whether it is the turn of an array whose class or team has had least of what is
// due while capacity is short. By size alone a class of large arrays would wait for as long as smaller ones
// keep coming. Their arrays come first in their turn, in the order that holds among all.
func (c *cycle) hasUnderservedTurn(job *clusterstate.Job) bool {
	state := &c.order.objectives
	if len(state.underserved) == 0 || job.Spec.Kind != wire.KindArray || !state.capacityShort[c.effectiveRank(job)] {
		return false
	}
	switch c.currentTurn() {
	case turnOfClasses, turnOfClassesAgain:
		return state.underserved[fairshare.Class(job.Spec.Class)]
	case turnOfTeams:
		return state.underserved[fairshare.Team(job.Spec.Team)]
	default:
		return false
	}
}

// hasOverdueTurn reports whether it is the turn of arrays that have missed their objectives for long. Behind
// what can be in time they would wait as long as capacity is short, be it for hours; so in their turn they
// come first, the oldest of them before the others.
func (c *cycle) hasOverdueTurn(job *clusterstate.Job) bool {
	return c.order.objectives.unattainable[job.Spec.ID] && c.now.Sub(job.ReadySince()) > tuning.FloorAfter &&
		c.currentTurn() == turnOfOverdue
}

// missesObjectives reports whether an array stands behind those that can be in time: it can't, and it is not
// its turn.
func (c *cycle) missesObjectives(job *clusterstate.Job) bool {
	return c.order.objectives.unattainable[job.Spec.ID] && !c.hasOverdueTurn(job)
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
