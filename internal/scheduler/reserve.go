package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// candidateSet says which machines of a home shard are considered.
type candidateSet int

const (
	allMachines  candidateSet = iota
	imageHolders              // those believed to hold the job's image
)

// String names a set for messages.
func (s candidateSet) String() string {
	if s == imageHolders {
		return "image holders"
	}
	return "all machines"
}

// machineFilter reports whether a machine may be used; nil accepts all.
type machineFilter func(*binpack.MachineInfo) bool

// placeFirstReplica places one replica of a service that has lost all of them, before any has capacity
// for its second. One that never had any starts whole: each start alone is a change of its record.
func (c *cycle) placeFirstReplica(queued *queuedJob) {
	job := queued.job
	if job.Spec.Kind != wire.KindService || job.BoundCount > 0 || c.taskState(job, 0).Attempt == 0 {
		return
	}
	rest := queued.Remaining - 1
	queued.Remaining = 1
	c.placeInHomeShard(queued, allMachines)
	queued.Remaining += rest
}

// placeInHomeShard places a job's tasks in the job's home shard, so that its record has one writer as a
// rule. A gang is placed whole over all shards.
func (c *cycle) placeInHomeShard(queued *queuedJob, set candidateSet) {
	job, isService := queued.job, queued.job.Spec.Kind == wire.KindService
	switch {
	case queued.Remaining == 0:
		return
	case job.Spec.Kind == wire.KindGang:
		if set == allMachines {
			c.placeGang(queued)
		}
		return
	case c.inventory.KnownInfeasible(&queued.Request):
		return
	}
	candidates, accept := c.homeCandidates(queued, set)
	if len(candidates) == 0 {
		return
	}
	chunk := c.chunkToPlace(job)
	zones := c.zoneConstraint(job, chunk)
	picks := c.allocateAcrossZones(queued, candidates, &zones, accept)
	owned := c.shards.owns(queued.homeShard)
	switch {
	case !owned && set == allMachines && len(picks) > 0 && c.homeOwnerTimedOut(queued):
		c.inventory.Release(&queued.Request, picks)
		c.bindToOwnMachines(queued, chunk, c.allocateOwned(queued, chunk))
	case owned && isService:
		c.bindTasks(queued, chunk, picks, queued.homeShard)
	default:
		c.bindToOwnMachines(queued, chunk, picks)
	}
}

// homeCandidates chooses a job's home shard and gives the machines to be considered for it, with the
// condition they must meet, if any. None means that there is no capacity.
func (c *cycle) homeCandidates(
	queued *queuedJob, set candidateSet,
) (candidates []*binpack.MachineInfo, accept machineFilter) {
	if queued.job.Spec.Kind == wire.KindService {
		// Its tasks go wherever the image is; the owner of one shard places them all. A zone that was
		// lost and came back is the last to be trusted with a replica.
		queued.homeShard = c.firstLiveShard(queued.job)
		candidates = c.inTrustedZones(c.inventory.FittingMachines(&queued.Request))
		return candidates, (*binpack.MachineInfo).SessionKnown
	}
	home, anywhere := c.homeShard(queued)
	queued.homeShard = home
	switch {
	case !anywhere:
		c.inventory.RecordFailure(&queued.Request)
		return nil, nil
	case set == imageHolders:
		return c.inventory.ImageHolders(queued.job.Spec.Image, home), nil
	default:
		return c.inventory.FeasibleMachines(home), nil
	}
}

// allocateOwned takes capacity for a job's tasks on this node's machines.
func (c *cycle) allocateOwned(queued *queuedJob, chunk int) []*binpack.MachineInfo {
	zones := c.zoneConstraint(queued.job, chunk)
	candidates := c.inventory.FittingMachines(&queued.Request)
	return c.inventory.Allocate(&queued.Request, candidates, &zones, func(candidate *binpack.MachineInfo) bool {
		return candidate.Owned
	})
}

// allocateAcrossZones takes capacity for a job's tasks; where the operators ask for it, for a service so
// that at most half of it stands in one zone, as far as there is capacity for that. It is a preference:
// what fits nowhere else is placed all the same.
func (c *cycle) allocateAcrossZones(
	queued *queuedJob, candidates []*binpack.MachineInfo, zones *binpack.ZoneConstraint, accept machineFilter,
) []*binpack.MachineInfo {
	job, spec := queued.job, &queued.job.Spec
	prefersSpread := c.operator.SpreadServices && spec.Kind == wire.KindService && spec.TaskCount >= 2
	if !prefersSpread || spec.Spread || spec.SameZone {
		return c.inventory.Allocate(&queued.Request, candidates, zones, accept)
	}
	preferred := binpack.ZoneConstraint{
		TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: (spec.TaskCount + 1) / 2,
	}
	for taskIndex := range spec.TaskCount {
		task := c.taskState(job, taskIndex)
		if machine := c.cluster.Machines[task.Machine]; task.State == record.TaskBound && machine != nil {
			preferred.TasksByZone[machine.Zone]++
		}
	}
	picks := c.inventory.Allocate(&queued.Request, candidates, &preferred, accept)
	return append(picks, c.inventory.Allocate(&queued.Request, candidates, zones, accept)...)
}

// placeInOtherShards looks in other shards for capacity for what a job's home shard had none for, then
// at machines that are coming up; the rest is unmet demand, for which urgent work preempts.
func (c *cycle) placeInOtherShards(queued *queuedJob, unmet *UnmetDemand) {
	job := queued.job
	if queued.Remaining == 0 {
		return
	}
	chunk := c.chunkToPlace(job)
	zones := c.zoneConstraint(job, chunk)
	c.allocateAnywhere(queued, chunk, &zones)
	if queued.Remaining == 0 {
		return
	}
	c.logWaiting(job, waitCapacity, nil)
	c.demand.recordUnplaced(job, c.now)
	// What is expected on booting machines takes no zone from what is preempted for it meanwhile:
	// services that are spread once waited for boots in the midst of arrays.
	missing, preemptionZones := queued.Remaining, zones.Clone()
	c.inventory.AllocatePending(&queued.Request, &zones)
	if queued.Remaining > 0 && c.collectsDemand {
		c.addUnmet(unmet, queued, zones.PinnedZone)
	}
	if c.mayPreempt(queued) {
		c.preemptForTasks(queued, missing, &preemptionZones)
	}
}

// allocateAnywhere takes capacity for a job's tasks in all shards, and binds them to this node's machines
// if their owner has left them. What has capacity elsewhere is only counted.
func (c *cycle) allocateAnywhere(queued *queuedJob, chunk int, zones *binpack.ZoneConstraint) {
	job := queued.job
	candidates := c.inventory.FittingMachines(&queued.Request)
	if job.Spec.Kind == wire.KindGang {
		if job.Spec.SameZone && zones.PinnedZone == "" {
			zones.PinnedZone = c.inventory.RoomiestZone(&queued.Request, candidates)
		}
		c.inventory.Allocate(&queued.Request, candidates, zones, nil) // kept whole for it
		return
	}
	picks := c.inventory.Allocate(&queued.Request, candidates, zones, func(candidate *binpack.MachineInfo) bool {
		return candidate.Machine.Shard != queued.homeShard
	})
	if len(picks) > 0 && (isHighPriority(queued.rank) || c.homeOwnerTimedOut(queued)) {
		c.bindToOwnMachines(queued, chunk, picks)
	}
}

// addUnmet adds what is left of a job to the unmet demand.
func (c *cycle) addUnmet(unmet *UnmetDemand, queued *queuedJob, zone string) {
	if queued.Need.CPUs >= c.demand.commonTask.CPUs {
		unmet.CommonTask = c.demand.commonTask
	}
	unmet.Groups = append(unmet.Groups, UnplacedGroup{
		Spec: &queued.job.Spec, Count: queued.Remaining, Zone: zone, Rank: queued.rank,
		SubmittedAt: queued.job.ReadySince(),
	})
}

// mayPreempt reports whether other work may be stopped for a job: if it is of high priority or within its
// team's guarantee. For gangs of several tasks nothing is stopped.
func (c *cycle) mayPreempt(queued *queuedJob) bool {
	spec := &queued.job.Spec
	if spec.Kind == wire.KindGang && spec.TaskCount > 1 {
		return false
	}
	return queued.withinGuarantee || isHighPriority(queued.rank)
}

// preemptForTasks stops other work for the first of a job's missing tasks, until there is no shard left in
// which any could be stopped.
func (c *cycle) preemptForTasks(queued *queuedJob, missing int, zones *binpack.ZoneConstraint) {
	c.countReservedZones(queued.job.Spec.ID, zones)
	for taskIndex := range min(missing, tuning.PreemptTasksPerJob) {
		if !c.preemptForTask(queued, taskIndex, zones) {
			return
		}
	}
}
