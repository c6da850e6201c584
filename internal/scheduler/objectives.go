package scheduler

import (
	"math/bits"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/fairshare"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// assignObjectives finds which aim each waiting array can meet with the room there is: the room that
// arrays may use, on machines that are up, serves them one after the other. Gangs and
// services are not held against it: they come before, and take what they need whole.
// It reads records and estimates only, so that all nodes find nearly the same.
func (c *cycle) assignObjectives() {
	c.objectivesAt, c.missesAllObjectives, c.reachableObjective = c.now, map[string]bool{}, map[string]time.Time{}
	c.capacityShort = [wire.PriorityCount]bool{}
	var waitingByRank [wire.PriorityCount][]jobqueue.WaitingJob
	objectives := map[string][]time.Time{}
	waiting := map[string]int{}
	var runningByRank [wire.PriorityCount]float64 // of the machine time that running arrays still take
	for id, job := range c.cluster.Jobs {
		if job.Spec.Kind != wire.KindArray || !job.CanStart() {
			continue
		}
		rank, share, runTime := c.effectiveRank(job), c.machineShare(&job.Spec), c.estimatedRunTime(job)
		c.recentArrivals.RecordArrival(c.now, fairshare.Arrival{
			JobID: id, Class: job.Spec.Class, Team: job.Spec.Team, Tasks: job.Spec.TaskCount, At: job.ReadySince(),
		})
		runningByRank[rank] += float64(job.BoundCount) * share * runTime.Seconds() / 2 // half is left on average
		if job.PendingCount() == 0 {
			continue
		}
		waiting[id] = job.PendingCount()
		if objectives[id] = c.objectiveTimes(job); len(objectives[id]) == 0 {
			continue
		}
		item := jobqueue.WaitingJob{JobID: id, ServiceTime: time.Duration(float64(job.PendingCount()) * share * float64(runTime)), TaskRunTime: runTime}
		for _, at := range objectives[id] {
			item.Objectives = append(item.Objectives, at.Sub(c.now))
		}
		waitingByRank[rank] = append(waitingByRank[rank], item)
	}
	c.underserved = c.recentArrivals.Underserved(c.now, waiting)
	for rank, work := range waitingByRank {
		if len(work) == 0 {
			continue
		}
		capacity := c.capacityForRank(rank)
		if capacity < 1 {
			continue // nothing is up: who could be in time can't be told
		}
		for i := range work {
			work[i].ServiceTime = time.Duration(float64(work[i].ServiceTime) / capacity)
		}
		backlog := time.Duration(runningByRank[rank] / capacity * float64(time.Second))
		missed, total := 0, time.Duration(0)
		for id, met := range jobqueue.AttainableObjectives(backlog, work) {
			if met < 0 {
				c.missesAllObjectives[id] = true
				missed++
				continue
			}
			c.reachableObjective[id] = objectives[id][met]
			first, _ := c.firstReachable(objectives[id], c.estimatedRunTime(c.cluster.Jobs[id]))
			c.capacityShort[rank] = c.capacityShort[rank] || first.Before(c.reachableObjective[id])
		}
		c.capacityShort[rank] = c.capacityShort[rank] || missed > 0
		for _, item := range work {
			total += item.ServiceTime
		}
		c.log.Debug("arrays against the room", "rank", rank, "waiting", len(work), "missed", missed, "short", c.capacityShort[rank], "room", int(capacity), "busy", backlog, "takes", total)
	}
}

// sizeClass is the class of what an array still takes, by powers of two, where room is so short
// that not all arrays can be in time; 0 elsewhere. The large would each hold up many
// that are over soon: by the smallest first the mean of what all wait is least (Smith,
// Various optimizers for single-stage production, Naval Research Logistics 3, 1956), and with
// it the payoff's responsiveness highest. Within a class danger and value decide. The owner's
// estimate tells the jobs of one class apart, which the class's median can't.
func (c *cycle) sizeClass(job *clusterstate.Job) int {
	if job.Spec.Kind == wire.KindService && c.serviceCapacityScarce() {
		return 1 + job.BoundCount // the fewest replicas left first
	}
	if job.Spec.Kind != wire.KindArray || !c.capacityShort[c.effectiveRank(job)] {
		return 0
	}
	if c.hasOverdueTurn(job) || c.nearLastObjective(job) {
		return -1
	}
	return 1 + bits.Len(uint(float64(job.PendingCount())*c.estimatedRunTime(job).Seconds()))
}

// serviceCapacityScarce tells whether services have found no room of late, as after the loss of a zone. Then one
// replica of each starts before the second of any, and those with the fewest left go first.
func (c *cycle) serviceCapacityScarce() bool {
	return c.now.Sub(c.lastServiceShortage) < tuning.ServicesLack
}

// nearLastObjective tells whether an array has to start soon to be in time for the last of its aims, which
// it can be. Behind smaller ones that keep coming the large would miss it though there is room for
// all by then: one in a hundred did where room was a little short.
func (c *cycle) nearLastObjective(job *clusterstate.Job) bool {
	if _, ok := c.reachableObjective[job.Spec.ID]; !ok {
		return false
	}
	objectives, runTime := c.objectiveTimes(job), c.estimatedRunTime(job)
	slack := objectives[len(objectives)-1].Sub(c.now) - runTime
	return slack >= 0 && slack < max(runTime, tuning.LastCall)
}

// estimatedRunTime is how long a task of a job runs as far as its owner knows, else as its class does.
func (c *cycle) estimatedRunTime(job *clusterstate.Job) time.Duration {
	if job.Spec.RuntimeEstimateSeconds > 0 {
		return config.Seconds(job.Spec.RuntimeEstimateSeconds)
	}
	return c.predictedRunTime(job)
}

// hasUnderservedTurn tells whether it is the turn of an array whose class or team has had least of what is due
// while room is short. By size alone a class of large arrays would wait for as long as smaller
// ones keep coming; so of every four seconds two are for classes that are owed, as they differ
// most, and one for teams; then their arrays come first, in the order that holds among all.
func (c *cycle) hasUnderservedTurn(job *clusterstate.Job) bool {
	if len(c.underserved) == 0 || job.Spec.Kind != wire.KindArray || !c.capacityShort[c.effectiveRank(job)] {
		return false
	}
	switch c.now.Unix() % tuning.FloorTurns {
	case 0, 2:
		return c.underserved[fairshare.Class(job.Spec.Class)]
	case 1:
		return c.underserved[fairshare.Team(job.Spec.Team)]
	}
	return false
}

// hasOverdueTurn tells whether it is the turn of arrays that have been late for long. Behind what can
// be in time they would wait as long as room is short, be it for hours; so every fourth
// second they come first, the oldest of them before the others. All nodes find the same.
func (c *cycle) hasOverdueTurn(job *clusterstate.Job) bool {
	return c.missesAllObjectives[job.Spec.ID] && c.now.Sub(job.ReadySince()) > tuning.FloorAfter && c.now.Unix()%tuning.FloorTurns == tuning.FloorTurns-1
}

// missesObjectives tells whether an array stands behind those that can be in time: it can't, and it is not
// its turn.
func (c *cycle) missesObjectives(job *clusterstate.Job) bool {
	return c.missesAllObjectives[job.Spec.ID] && !c.hasOverdueTurn(job)
}

// capacityForRank is the room that work of a rank may use on machines that are up, in machines: what is
// free and what work of its own rank or below takes. Where work takes no GPUs, machines of several
// sizes are told by how many common tasks they hold: a machine with room for one counted as much
// as one with room for four, and one too small for any as well.
func (c *cycle) capacityForRank(rank int) float64 {
	sum := 0.0
	for shard := range c.cluster.ShardCount {
		for _, candidate := range c.inventory.ReadyMachines(shard) {
			free := candidate.Free
			for lower := rank; lower < len(candidate.Machine.PreemptibleByRank); lower++ {
				free = free.AddTimes(candidate.Machine.PreemptibleByRank[lower], 1)
			}
			if c.commonNeed.CPUs > 0 {
				sum += float64(binpack.TasksThatFit(c.commonNeed, free))
			} else {
				sum += binpack.FreeFraction(free, candidate.Capacity)
			}
		}
	}
	return sum
}

// machineShare is what a task takes of a machine, of the type of which it takes least, or of the room
// for a common task; as roomFor counts.
func (c *cycle) machineShare(spec *wire.JobSpec) float64 {
	need := record.TaskResources(spec)
	if c.commonNeed.CPUs > 0 {
		return max(need.CPUs/c.commonNeed.CPUs, need.MemoryGB/max(c.commonNeed.MemoryGB, 1))
	}
	best := 1.0
	for _, typ := range c.cluster.Catalog.Types {
		capacity := record.Capacity(&typ)
		if need.FitsIn(capacity) {
			best = min(best, 1-binpack.FreeFraction(capacity.AddTimes(need, -1), capacity))
		}
	}
	return best
}
