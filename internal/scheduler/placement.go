package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// candidateSet selects the machines of a home shard that are considered for a job.
type candidateSet int

const (
	allMachines  candidateSet = iota
	imageHolders              // machines that are expected to hold the job's image
)

// String returns the name of the set for messages.
func (s candidateSet) String() string {
	if s == imageHolders {
		return "image holders"
	}
	return "all machines"
}

// machineFilter reports whether a machine may be used; nil accepts all.
type machineFilter func(*binpack.MachineInfo) bool

// placeFirstReplica places one replica of a service that has lost all of its replicas, before any service gets capacity
// for its second one. A service that never had a replica is left out: all of its replicas start together, because each
// separate start would be a change of its record.
func (c *cycle) placeFirstReplica(queued *queuedJob) {
	job := queued.job
	if job.Spec.Kind != wire.KindService || job.BoundCount > 0 || !job.HasStarted() {
		return
	}
	rest := queued.Remaining - 1
	queued.Remaining = 1
	c.placeInHomeShard(queued, allMachines)
	queued.Remaining += rest
}

// placeInHomeShard places a job's tasks in the job's home shard, so that its record usually has one writer. A gang is
// placed as a whole on the machines of all shards.
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
	picks := c.allocateAcrossZones(queued, candidates, c.zonesLeft(queued), accept)
	owned := c.shards.owns(queued.homeShard)
	switch {
	case !owned && set == allMachines && len(picks) > 0 && c.homeOwnerTimedOut(queued):
		c.inventory.Release(&queued.Request, picks)
		queued.zones = nil // they no longer contain the released tasks
		c.bindToOwnMachines(queued, c.allocateOwned(queued))
	case owned && isService:
		c.bindTasks(queued, picks, queued.homeShard)
	default:
		c.bindToOwnMachines(queued, picks)
	}
}

// zonesLeft returns the zones in which further tasks of a job may be placed in this cycle. They account for the tasks
// that the cycle has allocated capacity for, also if it does not bind them, because another node will.
func (c *cycle) zonesLeft(queued *queuedJob) *binpack.ZoneConstraint {
	if queued.zones == nil {
		zones := c.zoneConstraint(queued.job)
		queued.zones = &zones
	}
	return queued.zones
}

// homeCandidates chooses a job's home shard and returns the machines to be considered for it and the filter that they
// must pass, if any. It returns no machines if there is no capacity.
func (c *cycle) homeCandidates(
	queued *queuedJob, set candidateSet,
) (candidates []*binpack.MachineInfo, accept machineFilter) {
	if queued.job.Spec.Kind == wire.KindService {
		// The owner of one shard places all replicas, on machines of all shards, preferably with the image. A zone that
		// has failed repeatedly and is not trusted yet is used only if there is no capacity in other zones.
		queued.homeShard = c.firstLiveShard(queued.job)
		candidates = c.inTrustedZones(c.inventory.FittingMachines(&queued.Request))
		return candidates, (*binpack.MachineInfo).SessionKnown
	}
	home, fitsAny := c.homeShard(queued)
	queued.homeShard = home
	switch {
	case !fitsAny:
		c.inventory.RecordFailure(&queued.Request)
		return nil, nil
	case set == imageHolders:
		return c.inventory.ImageHolders(queued.job.Spec.Image, home), nil
	default:
		return c.inventory.FeasibleMachines(home), nil
	}
}

// allocateOwned allocates capacity for a job's tasks on this node's machines.
func (c *cycle) allocateOwned(queued *queuedJob) []*binpack.MachineInfo {
	candidates := c.inventory.FittingMachines(&queued.Request)
	isOwned := func(candidate *binpack.MachineInfo) bool { return candidate.Owned }
	return c.inventory.Allocate(&queued.Request, candidates, c.zonesLeft(queued), isOwned)
}

// allocateAcrossZones allocates capacity for a job's tasks. If the operators' settings ask for it, at most half of a
// service is placed in one zone as far as capacity allows. This is a preference: replicas that fit only in one zone are
// placed there anyway.
func (c *cycle) allocateAcrossZones(
	queued *queuedJob, candidates []*binpack.MachineInfo, zones *binpack.ZoneConstraint, accept machineFilter,
) []*binpack.MachineInfo {
	job, spec := queued.job, &queued.job.Spec
	prefersSpread := c.operator.SpreadServices && spec.Kind == wire.KindService && spec.TaskCount >= 2
	if !prefersSpread || spec.Spread || spec.SameZone {
		return c.inventory.Allocate(&queued.Request, candidates, zones, accept)
	}
	preferred := binpack.ZoneConstraint{
		TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: spreadLimit(spec.TaskCount),
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

// placeInOtherShards searches the other shards for capacity for the tasks that a job's home shard had no capacity for,
// then the pending machines. The tasks that remain are unmet demand. If the job may preempt other tasks, it does so for
// the tasks without capacity on ready machines, including those expected on pending machines.
func (c *cycle) placeInOtherShards(queued *queuedJob, unmet *UnmetDemand) {
	job := queued.job
	if queued.Remaining == 0 {
		return
	}
	zones := c.zonesLeft(queued)
	c.allocateAnywhere(queued, zones)
	if queued.Remaining == 0 {
		return
	}
	c.logWaiting(job, waitCapacity, nil)
	c.demand.recordUnplaced(job, c.now)
	// Tasks expected on pending machines must not count towards the zone limits of preemption. Otherwise a spread
	// service would wait for machines to boot although it could preempt arrays.
	missing, preemptionZones := queued.Remaining, zones.Clone()
	c.inventory.AllocatePending(&queued.Request, zones)
	if queued.Remaining > 0 && c.collectsDemand {
		c.addUnmet(unmet, queued, zones)
	}
	if c.mayPreempt(queued) {
		c.preemptForTasks(queued, missing, &preemptionZones)
	}
}

// allocateAnywhere allocates capacity for a job's tasks outside its home shard. It binds those tasks that fit on this
// node's machines if the job has high priority or the owner of its home shard has not placed it in time. Other tasks
// with capacity are only subtracted from the remaining ones. For a gang it binds nothing, and only keeps capacity in
// all shards from being used for other jobs.
func (c *cycle) allocateAnywhere(queued *queuedJob, zones *binpack.ZoneConstraint) {
	job := queued.job
	candidates := c.inventory.FittingMachines(&queued.Request)
	if job.Spec.Kind == wire.KindGang {
		if job.Spec.SameZone && zones.PinnedZone == "" {
			zones.PinnedZone = c.inventory.ZoneWithMostCapacity(&queued.Request, candidates)
		}
		c.inventory.Allocate(&queued.Request, candidates, zones, nil) // keeps the capacity for the whole gang
		return
	}
	picks := c.inventory.Allocate(&queued.Request, candidates, zones, func(candidate *binpack.MachineInfo) bool {
		return candidate.Machine.Shard != queued.homeShard
	})
	if len(picks) > 0 && (isHighPriority(queued.rank) || c.homeOwnerTimedOut(queued)) {
		c.bindToOwnMachines(queued, picks)
	}
}

// addUnmet adds the remaining tasks of a job to the unmet demand, with the zones that the tasks placed so far leave.
func (c *cycle) addUnmet(unmet *UnmetDemand, queued *queuedJob, zones *binpack.ZoneConstraint) {
	if queued.Need.CPUs >= c.demand.commonTask.CPUs {
		unmet.CommonTask = c.demand.commonTask
	}
	group := UnplacedGroup{
		Spec: &queued.job.Spec, Count: queued.Remaining, Zone: zones.PinnedZone, Rank: queued.rank,
		ReadySince: queued.job.ReadySince(),
	}
	if queued.job.Spec.Spread {
		spread := zones.Clone()
		group.SpreadZones = &spread
	}
	unmet.Groups = append(unmet.Groups, group)
}

// mayPreempt reports whether other tasks may be stopped for a job: its priority is high or it lies within its team's
// guarantee, and it is not a gang of several tasks.
func (c *cycle) mayPreempt(queued *queuedJob) bool {
	spec := &queued.job.Spec
	if spec.Kind == wire.KindGang && spec.TaskCount > 1 {
		return false
	}
	return queued.withinGuarantee || isHighPriority(queued.rank)
}

// preemptForTasks stops other tasks for the first of a job's missing tasks, until no shard can free capacity for
// another one.
func (c *cycle) preemptForTasks(queued *queuedJob, missing int, zones *binpack.ZoneConstraint) {
	c.countReservedZones(queued.job.Spec.ID, zones)
	for ordinal := range min(missing, tuning.PreemptTasksPerJob) {
		if !c.preemptForTask(queued, ordinal, zones) {
			return
		}
	}
}
