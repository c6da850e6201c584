package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// placeFirstReplica gives a service that has lost all its replicas room for one, before any has room for
// its second. One that never had any starts whole: each start alone is a change of its record.
func (c *cycle) placeFirstReplica(queued *queuedJob, inventory *binpack.Inventory) {
	if queued.job.Spec.Kind != wire.KindService || queued.job.BoundCount > 0 || c.taskState(queued.job, 0).Attempt == 0 {
		return
	}
	rest := queued.Remaining - 1
	queued.Remaining = 1
	c.placeInHomeShard(queued, inventory, false)
	queued.Remaining += rest
}

// placeInHomeShard gives a job's tasks room in the part that the job is dealt to, so that
// its record has one writer as a rule; with held only where its image is. A gang
// is placed whole over all parts.
func (c *cycle) placeInHomeShard(queued *queuedJob, inventory *binpack.Inventory, onlyWithImage bool) {
	job, spec := queued.job, &queued.job.Spec
	if queued.Remaining == 0 || onlyWithImage && spec.Kind == wire.KindGang {
		return
	}
	if spec.Kind == wire.KindGang {
		c.placeGang(queued, inventory)
		return
	}
	if inventory.KnownInfeasible(&queued.Request) {
		return
	}
	var candidates []*binpack.MachineInfo
	var accept func(*binpack.MachineInfo) bool
	if spec.Kind == wire.KindService {
		// Its tasks go wherever the image is; the owner of one part places them all.
		queued.homeShard = c.firstLiveShard(job)
		// A zone that goes and comes back is the last to be trusted with a replica.
		candidates, accept = inventory.FittingMachines(&queued.Request), (*binpack.MachineInfo).SessionKnown
		candidates = c.inTrustedZones(candidates)
	} else {
		anywhere := false
		if queued.homeShard, anywhere = c.homeShard(queued); !anywhere {
			inventory.RecordFailure(&queued.Request)
			return
		}
		candidates = inventory.FeasibleMachines(queued.homeShard)
		if onlyWithImage {
			candidates = inventory.ImageHolders(spec.Image, queued.homeShard)
		}
	}
	if len(candidates) == 0 {
		return
	}
	record := c.recordToPlace(job)
	zones := c.zoneConstraint(job, record)
	picks := c.chooseAcrossZones(queued, candidates, &zones, accept)
	if _, owned := c.fencingTokens[queued.homeShard]; !owned && !onlyWithImage && len(picks) > 0 && c.homeOwnerTimedOut(queued) {
		// Its owner has not taken it though there is room.
		inventory.Release(&queued.Request, picks)
		zones = c.zoneConstraint(job, record)
		picks = inventory.Allocate(&queued.Request, inventory.FittingMachines(&queued.Request), &zones, func(candidate *binpack.MachineInfo) bool { return candidate.Owned })
	} else if owned && spec.Kind == wire.KindService {
		c.bindTasks(queued, record, picks, queued.homeShard)
		return
	}
	c.bindToOwnMachines(queued, record, picks)
}

// chooseAcrossZones chooses room for a job's tasks; where the operators ask for it, for a service so that
// at most half of it stands in one zone, as far as there is room for that. It is a wish: what
// has no other room is placed all the same.
func (c *cycle) chooseAcrossZones(queued *queuedJob, candidates []*binpack.MachineInfo, zones *binpack.ZoneConstraint, accept func(*binpack.MachineInfo) bool) []*binpack.MachineInfo {
	job, spec := queued.job, &queued.job.Spec
	if !c.operator.SpreadServices || spec.Kind != wire.KindService || spec.Spread || spec.SameZone || spec.TaskCount < 2 {
		return c.inventory.Allocate(&queued.Request, candidates, zones, accept)
	}
	preferred := binpack.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: (spec.TaskCount + 1) / 2}
	for i := range spec.TaskCount {
		if task := c.taskState(job, i); task.State == clusterstate.TaskBound && c.cluster.Machines[task.Machine] != nil {
			preferred.TasksByZone[c.cluster.Machines[task.Machine].Zone]++
		}
	}
	picks := c.inventory.Allocate(&queued.Request, candidates, &preferred, accept)
	return append(picks, c.inventory.Allocate(&queued.Request, candidates, zones, accept)...)
}

// placeInOtherShards looks elsewhere for room for what the part of a job had none for, then
// at machines that are coming up; the rest is demand for the pool.
func (c *cycle) placeInOtherShards(queued *queuedJob, inventory *binpack.Inventory, demand *UnmetDemand) {
	job, spec := queued.job, &queued.job.Spec
	if queued.Remaining == 0 {
		return
	}
	record := c.recordToPlace(job)
	zones := c.zoneConstraint(job, record)
	candidates := inventory.FittingMachines(&queued.Request)
	isGang := spec.Kind == wire.KindGang
	if !isGang {
		if picks := inventory.Allocate(&queued.Request, candidates, &zones, func(candidate *binpack.MachineInfo) bool { return candidate.Machine.Shard != queued.homeShard }); len(picks) > 0 &&
			(queued.rank <= wire.PriorityRank(wire.PriorityHigh) || c.homeOwnerTimedOut(queued)) {
			c.bindToOwnMachines(queued, record, picks)
		}
	} else {
		if spec.SameZone && zones.PinnedZone == "" {
			zones.PinnedZone = inventory.RoomiestZone(&queued.Request, candidates)
		}
		inventory.Allocate(&queued.Request, candidates, &zones, nil) // kept whole for it
	}
	if queued.Remaining == 0 {
		return
	}
	c.logWaiting(job, "no room", nil)
	c.demand.noteUnplaced(job, c.now)
	missing, preemptZones := queued.Remaining, zones.Clone()
	inventory.AllocatePending(&queued.Request, &zones)
	if queued.Remaining > 0 && c.collectsDemand {
		if queued.Need.CPUs >= c.demand.commonTask.CPUs {
			demand.CommonTask = c.demand.commonTask
		}
		demand.Groups = append(demand.Groups, UnplacedGroup{Spec: spec, Count: queued.Remaining, Zone: zones.PinnedZone, Rank: queued.rank, SubmittedAt: job.ReadySince()})
	}
	if (queued.withinGuarantee || queued.rank <= wire.PriorityRank(wire.PriorityHigh)) && (!isGang || spec.TaskCount == 1) {
		// What stands on machines coming up in the play takes no zone from what is stopped for it
		// meanwhile: services that are spread once waited for boots in the midst of arrays.
		c.countReservedZones(spec.ID, &preemptZones)
		for i := range min(missing, tuning.PreemptTasks) {
			if !c.preemptFor(queued, i, inventory, &preemptZones) {
				break
			}
		}
	}
}
