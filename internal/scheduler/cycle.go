package scheduler

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/jobqueue"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// UnplacedGroup is a number of like tasks that found no room.
type UnplacedGroup struct {
	Spec        *wire.JobSpec
	Count       int
	Zone        string    // where the rest of its tasks have room, if they must be together
	Rank        int       // its priority, or that of a job that needs it
	SubmittedAt time.Time // of the job's submission
}

// UnmetDemand is what a round could not place, and what it had no use for.
type UnmetDemand struct {
	Groups        []UnplacedGroup
	IdleMachines  []string              // machines, up or booting, that no task uses or waits for
	SpareOnDemand binpack.SpareCapacity // of ordinary machines
	SpareSpot     binpack.SpareCapacity // of spot machines
	ComputedAt    time.Time
	// CommonTask is what a task of the work that asks for most cores takes, if some of it found no room:
	// small machines, of no use to it, then keep small tasks off those that are.
	CommonTask record.Resources
}

// queuedJob is a job in the order of placement.
type queuedJob struct {
	binpack.Request
	job             *clusterstate.Job
	rank            int
	withinGuarantee bool // within its team's guarantee
	nearDeadline    bool // its deadline can still be met, but not for long
	key             jobqueue.Key
	value           float64
	homeShard       int  // the part it is dealt to
	deferred        bool // nothing of it is bound in this round
}

// updateGuarantees finds what lies within the teams' guarantees. First come the jobs that did when
// they came, together with the team's earlier unfinished jobs, which is what was promised.
// Then what runs of the others, the earliest first: it is covered, so that no other team's
// work has it stopped. Which of the team's waiting jobs have the rest is open: not what can be
// in time for nothing any more, and where room is short the smallest. By arrival alone one
// large job that is late would keep out the team's later ones until they are late as well.
func (c *cycle) updateGuarantees() {
	c.guaranteesAt, c.withinGuarantee, c.runningWithinGuarantee = c.now, map[string]bool{}, map[string]bool{}
	teams := map[string][]*clusterstate.Job{}
	for _, job := range c.cluster.Jobs {
		if _, ok := c.quota.Guarantee(job.Spec.Team); ok && job.CanStart() {
			teams[job.Spec.Team] = append(teams[job.Spec.Team], job)
		}
	}
	given := c.guaranteedOnArrival
	c.guaranteedOnArrival = make(map[string]bool, len(given))
	for team, jobs := range teams {
		slices.SortFunc(jobs, func(a, b *clusterstate.Job) int {
			return cmp.Or(cmp.Compare(a.ReadySinceMs(), b.ReadySinceMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		limit, _ := c.quota.Guarantee(team)
		reserve := func(reserved *record.Resources, job *clusterstate.Job, tasks int) bool {
			total := reserved.AddTimes(record.TaskResources(&job.Spec), float64(tasks))
			total.MemoryGB = 0
			if !total.FitsIn(limit) {
				return false
			}
			*reserved = total
			return true
		}
		var earlierReserved, reserved record.Resources
		exhausted := false
		var others []*clusterstate.Job
		for _, job := range jobs {
			id, unfinished := job.Spec.ID, job.Spec.TaskCount-job.DoneCount
			exhausted = exhausted || !reserve(&earlierReserved, job, unfinished)
			wasGiven, known := given[id]
			if c.guaranteedOnArrival[id] = wasGiven || !known && !exhausted; c.guaranteedOnArrival[id] && reserve(&reserved, job, unfinished) {
				c.withinGuarantee[id], c.runningWithinGuarantee[id] = true, true
				continue
			}
			others = append(others, job)
		}
		for _, job := range others {
			if job.BoundCount > 0 && !reserve(&reserved, job, job.BoundCount) {
				break
			}
			c.runningWithinGuarantee[job.Spec.ID] = job.BoundCount > 0
		}
		slices.SortStableFunc(others, func(a, b *clusterstate.Job) int { return cmp.Compare(c.guaranteeOrder(a), c.guaranteeOrder(b)) })
		for _, job := range others {
			if !reserve(&reserved, job, job.PendingCount()) {
				break
			}
			c.withinGuarantee[job.Spec.ID] = job.BoundCount == 0 || c.runningWithinGuarantee[job.Spec.ID]
		}
	}
}

// guaranteeOrder orders the waiting jobs of a team within what its guarantee has left.
func (c *cycle) guaranteeOrder(job *clusterstate.Job) int {
	if c.missesObjectives(job) {
		return math.MaxInt
	}
	return c.sizeClass(job)
}

// buildQueue gives the jobs that wait, in the order of placement. The line is kept: jobs of
// which something changed are put where they belong, those that time or their team's
// guarantee moves when it does, and all of them now and then, as estimates move too.
func (c *cycle) buildQueue(hasCapacity bool) []queuedJob {
	changed := c.changeFeed.TakeJobs()
	if c.now.Sub(c.guaranteesAt) >= tuning.AssuredEvery && (c.waitingJobs.Len() > 0 || len(changed) > 0) {
		if c.now.Sub(c.objectivesAt) >= tuning.InTimeEvery {
			c.assignObjectives()
		}
		c.updateGuarantees()
		rebuild := c.now.Sub(c.lastFullReorder) >= tuning.TurnEvery
		if rebuild {
			c.lastFullReorder = c.now
		}
		c.waitingJobs.Each(func(key jobqueue.Key, job *clusterstate.Job) bool {
			if rebuild || key.WithinGuarantee != c.withinGuarantee[key.JobID] || key.Underserved != c.hasUnderservedTurn(job) || key.MissesObjectives != c.missesObjectives(job) || key.SizeClass != c.sizeClass(job) || c.now.After(c.nextReorder[key.JobID]) {
				changed[key.JobID] = struct{}{}
			}
			return true
		})
	}
	for id := range changed {
		c.updateQueueEntry(id)
	}
	queue := c.queueBuffer[:0]
	c.waitingJobs.Each(func(key jobqueue.Key, job *clusterstate.Job) bool {
		if !c.backoffs.active(key.JobID, c.now) {
			queue = append(queue, queuedJob{Request: binpack.Request{Spec: &job.Spec, Need: record.TaskResources(&job.Spec), StartWithinS: c.startObjectiveS(&job.Spec)}, job: job, withinGuarantee: key.WithinGuarantee, rank: key.PriorityRank, nearDeadline: key.NearDeadline, key: key, homeShard: -1})
		}
		return true
	})
	c.queueBuffer = queue
	c.orderByValue(queue, hasCapacity)
	return queue
}

// startObjectiveS is the time in seconds in which a replica should start by its class's aims; 0: none says.
func (c *cycle) startObjectiveS(spec *wire.JobSpec) float64 {
	within := 0.0
	if spec.Kind != wire.KindService {
		return within // asked for each waiting job in each round
	}
	for _, objective := range c.settings.Deployment.Objectives {
		if objective.Class == spec.Class && objective.Kind == "wait" && (within == 0 || objective.WithinS < within) {
			within = objective.WithinS
		}
	}
	return within
}

// updateQueueEntry puts a job in line, where it belongs now, or takes it out.
func (c *cycle) updateQueueEntry(id string) {
	job := c.cluster.Jobs[id]
	if job == nil || !job.CanStart() || !c.holdsStartRight(job) || job.PendingCount() == 0 {
		c.waitingJobs.Delete(id)
		delete(c.nextReorder, id)
		return
	}
	deadline, nearDeadline, validUntil := c.effectiveDeadline(job)
	c.nextReorder[id] = validUntil
	c.waitingJobs.Put(jobqueue.Key{PriorityRank: c.effectiveRank(job), WithinGuarantee: c.withinGuarantee[id], Underserved: c.hasUnderservedTurn(job), MissesObjectives: c.missesObjectives(job), SizeClass: c.sizeClass(job), NearDeadline: nearDeadline, DeadlineNs: deadline.UnixNano(), EligibleSinceMs: job.ReadySinceMs(), JobID: id}, job)
}

// holdsStartRight tells whether the right to start a job is with this cell as it is now: a guest that was taken
// under an earlier epoch may have been released since, in writes that are lost; and a cell
// that lost writes starts nothing before it knows what the others hold of its own.
func (c *cycle) holdsStartRight(job *clusterstate.Job) bool {
	if job.OffloadedFrom != nil {
		return c.operator.CellEpoch > 0 && job.OffloadedFrom.Epoch == c.operator.CellEpoch
	}
	if c.operator.CellEpoch <= 1 {
		return true // it has lost nothing yet
	}
	for _, cell := range c.operator.Cells {
		if peerCell := c.cluster.Cells[cell.Name]; peerCell == nil || peerCell.OwnEpoch != c.operator.CellEpoch || !peerCell.InventoryReceived {
			return false
		}
	}
	return true
}

// updateNeedPerGPU finds what work on GPUs takes of the rest of a machine for each: the
// most that a gang or a service takes, and what arrays take on average.
func (c *cycle) updateNeedPerGPU() {
	var most, arrays record.Resources
	for _, job := range c.cluster.Jobs {
		need := record.TaskResources(&job.Spec)
		switch {
		case !job.HasRecord || job.Cancelled() || need.GPUs == 0:
		case job.Spec.Kind == wire.KindArray:
			arrays = arrays.AddTimes(need, 1)
		default:
			most.CPUs, most.MemoryGB = max(most.CPUs, need.CPUs/need.GPUs), max(most.MemoryGB, need.MemoryGB/need.GPUs)
		}
	}
	if arrays.GPUs > 0 {
		most.CPUs, most.MemoryGB = max(most.CPUs, arrays.CPUs/arrays.GPUs), max(most.MemoryGB, arrays.MemoryGB/arrays.GPUs)
	}
	c.needPerGPU = most
}

// updateCommonTask finds what a task of the work that asks for most cores takes: half of all cores that are
// asked for or in use are for tasks of at least that size. It stays for a while when that work
// is over, as the next is likely to be alike.
func (c *cycle) updateCommonTask() {
	type class struct {
		need       record.Resources
		cumulative float64 // cores of all its tasks
	}
	var sizes []class
	total := 0.0
	for _, job := range c.cluster.Jobs {
		if need := record.TaskResources(&job.Spec); job.CanStart() && need.GPUs == 0 {
			size := class{need, need.CPUs * float64(job.Spec.TaskCount-job.DoneCount)}
			sizes = append(sizes, size)
			total += size.cumulative
		} else if job.CanStart() {
			c.commonNeed, c.commonNeedAt = record.Resources{}, c.now // GPUs are what is scarce here
			return
		}
	}
	slices.SortFunc(sizes, func(a, b class) int {
		return cmp.Or(cmp.Compare(b.need.CPUs, a.need.CPUs), cmp.Compare(b.need.MemoryGB, a.need.MemoryGB))
	})
	cumulative := 0.0
	for _, size := range sizes {
		if cumulative += size.cumulative; 2*cumulative >= total && total > 0 {
			if size.need.CPUs >= c.commonNeed.CPUs || c.now.Sub(c.commonNeedAt) > tuning.CommonHold {
				c.commonNeed, c.commonNeedAt = size.need, c.now
			}
			return
		}
	}
}

// pruneState forgets what is kept of jobs that are over.
func (c *cycle) pruneState() {
	c.updateNeedPerGPU()
	c.updateCommonTask()
	c.changes.pruneRejected(c.now)
	isOver := func(id string) bool { return c.cluster.Jobs[id] == nil }
	maps.DeleteFunc(c.cachedValues, func(id string, _ cachedValue) bool { return isOver(id) })
	c.backoffs.prune(isOver)
	maps.DeleteFunc(c.ownerWaits, func(id string, _ ownerWait) bool { return isOver(id) })
	maps.DeleteFunc(c.unplacedSince, func(id string, _ time.Time) bool { return isOver(id) || c.cluster.Jobs[id].PendingCount() == 0 })
	maps.DeleteFunc(c.lastLoggedReason, func(id string, _ time.Time) bool { return isOver(id) })
	c.gangFormation.prune(isOver)
	c.deletedMachines.pruneTombstones(c.now)
	c.reservations.prune(c.now)
}

// predictedRunTime is how long a task of a job is expected to run.
func (c *cycle) predictedRunTime(job *clusterstate.Job) time.Duration {
	return config.Seconds(c.learning.runTimes.RunS(job.Spec.Class, job.Spec.RuntimeEstimateSeconds))
}

// deadlineObjectives are a job's own deadline and the multiples of it that its class's aims
// name, counted from its submission, the earliest first; none without a deadline.
func (c *cycle) deadlineObjectives(job *clusterstate.Job) []time.Time {
	if job.Spec.DeadlineSeconds <= 0 {
		return nil
	}
	after := func(times float64) time.Time {
		return time.UnixMilli(job.SubmittedAtMs).Add(config.Seconds(job.Spec.DeadlineSeconds * times))
	}
	deadlines := []time.Time{after(1)}
	for _, objective := range c.settings.Deployment.Objectives {
		if objective.Class == job.Spec.Class && objective.Kind == "deadline" && objective.Times > 0 {
			deadlines = append(deadlines, after(objective.Times))
		}
	}
	slices.SortFunc(deadlines, time.Time.Compare)
	return deadlines
}

// firstReachable gives the first of some times by which a run can still be over, else
// the last, and the slack that is left.
func (c *cycle) firstReachable(objectives []time.Time, runTime time.Duration) (at time.Time, slack time.Duration) {
	for _, at = range objectives {
		if slack = at.Sub(c.now) - runTime; slack >= 0 {
			break
		}
	}
	return at, slack
}

// objectiveTimes are the times by which a job should be over by what its user, its class's aims and
// the jobs that need it say, the earliest first; none if nobody says any.
func (c *cycle) objectiveTimes(job *clusterstate.Job) []time.Time {
	// A deadline counts from the submission, all else from when the job could start.
	startable, runTime, objectives := job.ReadySince(), c.predictedRunTime(job), c.deadlineObjectives(job)
	for _, objective := range c.settings.Deployment.Objectives {
		switch {
		case objective.Class != job.Spec.Class || objective.WithinS <= 0:
		case objective.Kind == "deadline" && job.Spec.DeadlineSeconds > 0 && objective.Times > 0: // one of the cutoffs
		case objective.Kind == "wait":
			objectives = append(objectives, startable.Add(config.Seconds(objective.WithinS)+runTime))
		default:
			objectives = append(objectives, startable.Add(config.Seconds(objective.WithinS)))
		}
	}
	if needed := c.needsOfDependents(job.Spec.ID).deadline; !needed.IsZero() {
		objectives = append(objectives, needed)
	}
	slices.SortFunc(objectives, time.Time.Compare)
	return objectives
}

// effectiveDeadline is when a job should be over: the next of its aims that can still be met, with
// the room there is if that was looked at, else the last. It is pressing when little slack is
// left. turn is until when that holds, if nothing but time moves.
func (c *cycle) effectiveDeadline(job *clusterstate.Job) (deadline time.Time, nearDeadline bool, validUntil time.Time) {
	runTime, objectives, never := c.predictedRunTime(job), c.objectiveTimes(job), c.now.Add(tuning.NoDeadline)
	if len(objectives) == 0 {
		return job.ReadySince().Add(tuning.NoDeadline), false, never
	}
	if first, ok := c.reachableObjective[job.Spec.ID]; ok {
		if i := slices.IndexFunc(objectives, func(at time.Time) bool { return !at.Before(first) }); i > 0 {
			objectives = objectives[i:]
		}
	}
	deadline, slack := c.firstReachable(objectives, runTime)
	switch guardTime := max(tuning.DeadlineGuardMin, time.Duration(tuning.DeadlineGuard*float64(runTime))); {
	case slack < 0 || c.missesAllObjectives[job.Spec.ID]:
		return deadline, false, never
	case slack < guardTime:
		return deadline, true, c.now.Add(slack)
	default:
		return deadline, false, c.now.Add(slack - guardTime)
	}
}

func (c *cycle) zoneConstraint(job *clusterstate.Job, chunk int) binpack.ZoneConstraint {
	zones := binpack.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: math.MaxInt}
	if job.Spec.Spread {
		lo, hi := job.TaskRange(chunk)
		zones.MaxPerZone = (hi - lo + 1) / 2
	}
	if !job.Spec.Spread && !job.Spec.SameZone {
		return zones
	}
	for i := range job.Spec.TaskCount {
		task := c.taskState(job, i)
		if task.State != record.TaskBound {
			continue
		}
		machine := c.cluster.Machines[task.Machine]
		if machine == nil {
			zones.PlacementKnown = false
			return zones
		}
		if job.Spec.SameZone {
			zones.PinnedZone = machine.Zone
		}
		if job.ChunkOf(i) == chunk {
			zones.TasksByZone[machine.Zone]++
		}
	}
	return zones
}

// schedule plays the round. Priorities come one after the other; within one, each
// job first finds room in the part it is dealt to, and what is left over goes
// wherever room is left.
func (c *cycle) schedule() {
	inventory := c.refreshInventory()
	c.inventory = inventory
	if c.committer.QueueLength() < tuning.PressedItems || c.now.Sub(c.lastArrayPlacement) > tuning.PressedGap {
		c.lastArrayPlacement = c.now
	} else {
		c.storeSaturated = true
	}
	_, isLeader := c.membership.Ownership(record.LeaderShard)
	c.collectsDemand = isLeader && c.now.Sub(c.demand.ComputedAt) >= tuning.DemandEvery
	queue := c.buildQueue(inventory.HasFreeCapacity())
	inventory.FilterFeasible(func(yield func(record.Resources) bool) {
		for i := range queue {
			if !yield(queue[i].Need) {
				return
			}
		}
	})
	demand := UnmetDemand{ComputedAt: c.now}
	if len(queue) > 0 {
		inventory.GroupPending()
		usage := map[string]record.Resources{}
		for shard := range c.cluster.ShardCount {
			for team, amount := range c.cluster.UsageByShard[shard] {
				usage[team] = usage[team].AddTimes(amount, 1)
			}
			for team, amount := range c.inFlightByShard[shard] {
				usage[team] = usage[team].AddTimes(amount, 1)
			}
		}
		for len(queue) > 0 {
			count := 1
			for count < len(queue) && queue[count].rank == queue[0].rank {
				count++
			}
			for i := range queue[:count] {
				if queued := &queue[i]; c.countPlaceable(queued, usage) && c.serviceCapacityScarce() {
					c.placeFirstReplica(queued, inventory)
				}
			}
			// Of work that is in no hurry, first comes what finds its image where
			// there is room: to fetch it would take the machine's time.
			for i := range queue[:count] {
				if queued := &queue[i]; queued.rank > wire.PriorityHigh.Rank() && !queued.nearDeadline && !queued.key.MissesObjectives {
					c.placeInHomeShard(queued, inventory, true)
				}
			}
			for i := range queue[:count] {
				c.placeInHomeShard(&queue[i], inventory, false)
			}
			for i := range queue[:count] {
				c.placeInOtherShards(&queue[i], inventory, &demand)
			}
			queue = queue[count:]
		}
	}
	if c.collectsDemand {
		spare := inventory.Spare()
		demand.SpareOnDemand, demand.SpareSpot, demand.IdleMachines = spare.OnDemand, spare.Spot, spare.IdleMachines
		c.demand = demand
	}
}

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

// countPlaceable finds how many tasks of a job wait that its team's limit allows.
func (c *cycle) countPlaceable(queued *queuedJob, usage map[string]record.Resources) bool {
	job, spec := queued.job, &queued.job.Spec
	paused := 0
	for i := range job.PendingRetries {
		if c.inRetryBackoff(job, i) {
			paused++
		}
	}
	queued.Remaining = max(0, job.PendingCount()-c.inFlightByJob[spec.ID]-paused)
	if c.failingJobs[spec.ID] || paused > 0 && spec.Kind == wire.KindGang {
		queued.Remaining = 0 // all or none
	}
	queued.deferred = c.storeSaturated && queued.rank > wire.PriorityHigh.Rank()
	if limit, ok := c.quota.Limit(spec.Team); ok {
		open := limit.AddTimes(usage[spec.Team], -1)
		open.MemoryGB = tuning.MaxAmount * tuning.MaxTasks
		allowed := binpack.TasksThatFit(queued.Need, open)
		if allowed < queued.Remaining {
			c.logWaiting(job, "team's limit", nil)
			queued.Remaining = allowed
			if spec.Kind == wire.KindGang {
				queued.Remaining = 0
				if c.now.Sub(job.ReadySince()) > tuning.StarveAfter {
					usage[spec.Team] = limit // narrower ones would keep a wide one out for ever
				}
			}
		}
	}
	usage[spec.Team] = usage[spec.Team].AddTimes(queued.Need, float64(queued.Remaining))
	return queued.Remaining > 0 // none: not a want of machines
}

// inRetryBackoff tells whether a task that failed is not to be repeated yet.
func (c *cycle) inRetryBackoff(job *clusterstate.Job, i int) bool {
	failing, ok := job.PendingRetries[i]
	return ok && c.now.Sub(failing.SeenAt) < c.retryRules.Backoff(job.Spec.Class, failing.Failures)
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
	chunk := c.recordToPlace(job)
	zones := c.zoneConstraint(job, chunk)
	picks := c.chooseAcrossZones(queued, candidates, &zones, accept)
	if _, owned := c.fencingTokens[queued.homeShard]; !owned && !onlyWithImage && len(picks) > 0 && c.homeOwnerTimedOut(queued) {
		// Its owner has not taken it though there is room.
		inventory.Release(&queued.Request, picks)
		zones = c.zoneConstraint(job, chunk)
		picks = inventory.Allocate(&queued.Request, inventory.FittingMachines(&queued.Request), &zones, func(candidate *binpack.MachineInfo) bool { return candidate.Owned })
	} else if owned && spec.Kind == wire.KindService {
		c.bindTasks(queued, chunk, picks, queued.homeShard)
		return
	}
	c.bindToOwnMachines(queued, chunk, picks)
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
		if task := c.taskState(job, i); task.State == record.TaskBound && c.cluster.Machines[task.Machine] != nil {
			preferred.TasksByZone[c.cluster.Machines[task.Machine].Zone]++
		}
	}
	picks := c.inventory.Allocate(&queued.Request, candidates, &preferred, accept)
	return append(picks, c.inventory.Allocate(&queued.Request, candidates, zones, accept)...)
}

// inTrustedZones gives those of some machines whose zones are trusted with services; all of them
// if there is none, as a replica in a zone that may go again is better than none.
func (c *cycle) inTrustedZones(candidates []*binpack.MachineInfo) []*binpack.MachineInfo {
	trusted := slices.DeleteFunc(slices.Clone(candidates), func(candidate *binpack.MachineInfo) bool {
		return !c.failureDetector.Zones().Trusted(candidate.Machine.Zone)
	})
	if len(trusted) == 0 {
		return candidates
	}
	return trusted
}

// recordToPlace is the record of a job whose tasks are placed in this round: where the
// tasks of each record must be spread, the first in which one waits.
func (c *cycle) recordToPlace(job *clusterstate.Job) int {
	if !job.Spec.Spread {
		return 0
	}
	for chunk := range job.ChunkCount() {
		if !job.ChunkFullyAssigned(chunk) {
			return chunk
		}
	}
	return 0
}

// placeInOtherShards looks elsewhere for room for what the part of a job had none for, then
// at machines that are coming up; the rest is demand for the pool.
func (c *cycle) placeInOtherShards(queued *queuedJob, inventory *binpack.Inventory, demand *UnmetDemand) {
	job, spec := queued.job, &queued.job.Spec
	if queued.Remaining == 0 {
		return
	}
	chunk := c.recordToPlace(job)
	zones := c.zoneConstraint(job, chunk)
	candidates := inventory.FittingMachines(&queued.Request)
	isGang := spec.Kind == wire.KindGang
	if !isGang {
		if picks := inventory.Allocate(&queued.Request, candidates, &zones, func(candidate *binpack.MachineInfo) bool { return candidate.Machine.Shard != queued.homeShard }); len(picks) > 0 &&
			(queued.rank <= wire.PriorityHigh.Rank() || c.homeOwnerTimedOut(queued)) {
			c.bindToOwnMachines(queued, chunk, picks)
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
	if _, ok := c.unplacedSince[spec.ID]; !ok {
		c.unplacedSince[spec.ID] = c.now
	}
	if spec.Kind == wire.KindService {
		c.lastServiceShortage = c.now
	}
	missing, preemptZones := queued.Remaining, zones.Clone()
	inventory.AllocatePending(&queued.Request, &zones)
	if queued.Remaining > 0 && c.collectsDemand {
		if queued.Need.CPUs >= c.commonNeed.CPUs {
			demand.CommonTask = c.commonNeed
		}
		demand.Groups = append(demand.Groups, UnplacedGroup{Spec: spec, Count: queued.Remaining, Zone: zones.PinnedZone, Rank: queued.rank, SubmittedAt: job.ReadySince()})
	}
	if (queued.withinGuarantee || queued.rank <= wire.PriorityHigh.Rank()) && (!isGang || spec.TaskCount == 1) {
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

// homeShard is the part that a job is dealt to: where its tasks already are, else
// the first in an order of its own that has room for all of them. All nodes
// find the same without a word; where views differ, the records' guards decide. any
// tells whether there is room for a task of it anywhere.
func (c *cycle) homeShard(queued *queuedJob) (home int, anywhere bool) {
	inventory, best, first := c.inventory, -1, c.firstLiveShard(queued.job)
	underShortage := c.isArrayUnderShortage(queued)
	for shard, bound := range queued.job.BoundByShard {
		if bound > 0 && (best < 0 || bound > queued.job.BoundByShard[best]) && (underShortage && c.liveShards[shard] || inventory.ShardFits(&queued.Request, shard)) {
			best = shard
		}
	}
	if underShortage {
		// Its part has room again before long, as all parts have a little at any time. In one
		// part all of its tasks have one writer: spread over five, their ends would fail
		// each other's guards and take a change for each.
		if best < 0 {
			best = first
		}
		fit := inventory.FindShard(&queued.Request, binpack.ShardSearch{First: best})
		return best, fit.FitsAny
	}
	if best >= 0 {
		return best, true
	}
	withImage := inventory.FindShard(&queued.Request, binpack.ShardSearch{First: first, OnlyWithImage: true})
	if withImage.FitsAll {
		return withImage.Shard, true
	}
	fit := inventory.FindShard(&queued.Request, binpack.ShardSearch{First: first})
	return fit.Shard, fit.FitsAny
}

// isArrayUnderShortage tells whether a job is an array of a priority whose waiting arrays can't all be in time.
func (c *cycle) isArrayUnderShortage(queued *queuedJob) bool {
	return c.capacityShort[queued.rank] && queued.job.Spec.Kind == wire.KindArray
}

// firstLiveShard is the first part in a job's own order whose owner lives.
func (c *cycle) firstLiveShard(job *clusterstate.Job) int {
	home := record.ShardOf(job.Spec.ID, c.cluster.ShardCount)
	for i := range c.cluster.ShardCount {
		if shard := (home + i) % c.cluster.ShardCount; c.liveShards[shard] {
			return shard
		}
	}
	return home
}

// homeOwnerTimedOut tells whether the owner of the part that a job was dealt to has had
// time to take it: if it does not, whoever has room may.
func (c *cycle) homeOwnerTimedOut(queued *queuedJob) bool {
	id, pending := queued.job.Spec.ID, queued.job.PendingCount()
	waiting, ok := c.ownerWaits[id]
	if !ok || waiting.pending != pending || c.now.Sub(waiting.lastSeen) > tuning.DealHold {
		waiting = ownerWait{since: c.now, pending: pending} // it moved on, or there was no room in between
	}
	waiting.lastSeen = c.now
	c.ownerWaits[id] = waiting
	// The parts take turns: at once, all but one would fail for the record's guard.
	turn := int(c.now.UnixMilli()/tuning.DealHold.Milliseconds()) + c.firstLiveShard(queued.job)
	_, owned := c.fencingTokens[turn%c.cluster.ShardCount]
	hold := tuning.DealHold
	if c.isArrayUnderShortage(queued) {
		hold = tuning.DealHoldShort
	}
	return owned && c.now.Sub(waiting.since) > hold
}

// bindToOwnMachines binds waiting tasks of a job to those of the machines that are this
// node's.
func (c *cycle) bindToOwnMachines(queued *queuedJob, chunk int, picks []*binpack.MachineInfo) {
	c.bindTasks(queued, chunk, slices.DeleteFunc(picks, func(candidate *binpack.MachineInfo) bool { return !candidate.Owned }), -1)
}

// bindTasks binds waiting tasks of a job to machines, at the charge of one part
// or, without it, of each machine's own.
func (c *cycle) bindTasks(queued *queuedJob, first int, picks []*binpack.MachineInfo, charged int) {
	job, spec := queued.job, &queued.job.Spec
	if queued.deferred {
		return
	}
	examined := 0
	start, end := job.TaskRange(first)
	if !spec.Spread {
		end = spec.TaskCount
	}
	for i := start; i < end && len(picks) > 0 && examined < tuning.JobSlice; i++ {
		chunk := job.ChunkOf(i)
		lo, hi := job.TaskRange(chunk)
		if i == lo && (job.ChunkFullyAssigned(chunk) || c.changes.inFlight(job.ChunkKey(chunk))) {
			i = hi - 1 // nothing waits in this record, or it can't be changed now
			continue
		}
		task := c.taskState(job, i)
		if task.State != record.TaskPending || c.inRetryBackoff(job, i) {
			continue
		}
		if c.recordFull(job, chunk, 1, picks[0].Machine.Name) {
			c.logWaiting(job, "its record is full", nil)
			i = hi - 1
			continue
		}
		examined++
		candidate := picks[0]
		shard := charged
		if shard < 0 {
			shard = candidate.Machine.Shard
		}
		if !c.bindTask(queued, i, task.Attempt+1, candidate, shard) {
			return
		}
		picks = picks[1:]
	}
}

// bindTask adds a task to the records' changes, if its team's grant of a part
// covers it.
func (c *cycle) bindTask(queued *queuedJob, index int, attempt uint64, candidate *binpack.MachineInfo, charged int) bool {
	job := queued.job
	team := job.Spec.Team
	if c.failingJobs[job.Spec.ID] {
		return false // in the same change as its end it would be bound to a job that is over
	}
	if job.HasUnmetDependencies() || job.OffloadedTo != nil || !c.holdsStartRight(job) {
		// Every way to a machine comes through here: queues may err, this may not.
		c.log.Error("a job that waits for others, or is with another cell, was about to start", "job", job.Spec.ID)
		return false
	}
	if job.Spec.Kind != wire.KindGang && c.tasksBound >= tuning.RoundTasks || !c.quota.Allows(charged, team, c.usage(charged, team).AddTimes(queued.Need, 1)) {
		c.logWaiting(job, "its team's grant in this part, or the round is full", candidate)
		return false
	}
	edit := c.editRecord(job, index)
	if edit == nil {
		c.logWaiting(job, "a change of its record is on its way", nil)
		return false
	}
	session := max(candidate.Machine.Session, 1)
	if candidate.Owned {
		session = c.agents.MachineStatus(candidate.Machine.Name, c.fencingTokens[candidate.Machine.Shard]).Session
	}
	ref := record.TaskRef{Job: job.Spec.ID, Index: index}
	task := record.Task{Index: index, State: record.TaskBound, Attempt: attempt, Machine: candidate.Machine.Name, Session: session, Failures: c.taskState(job, index).Failures}
	if charged != candidate.Machine.Shard {
		task.ChargedShard = charged + 1
	}
	edit.tasks[index] = task
	edit.shards[charged] = true
	edit.shards[candidate.Machine.Shard] = true
	edit.encodedSize += maxBindingBytes(candidate.Machine.Name)
	binding := pendingBinding{ref, candidate.Machine.Name, charged, team, queued.Need}
	edit.bindings = append(edit.bindings, binding)
	c.addInFlight(binding)
	c.tasksBound++
	c.recordDecision(queued, binding, attempt)
	delete(c.ownerWaits, job.Spec.ID)
	delete(c.unplacedSince, job.Spec.ID)
	if candidate.ReservedFor == job.Spec.ID {
		c.reservations.release(candidate.Machine.Name)
		c.inventory.ReserveFor(candidate.Machine.Name, "")
	}
	c.log.Debug("task placed", "task", ref, "attempt", attempt, "machine", candidate.Machine.Name, "image", c.inventory.HasImage(job.Spec.Image, candidate))
	return true
}

// logWaiting logs now and then why a job waits.
func (c *cycle) logWaiting(job *clusterstate.Job, reason string, candidate *binpack.MachineInfo) {
	if !c.log.Enabled(c.ctx, slog.LevelDebug) || c.now.Sub(c.lastLoggedReason[job.Spec.ID]) < tuning.WhyEvery {
		return
	}
	c.lastLoggedReason[job.Spec.ID] = c.now
	machine := ""
	if candidate != nil {
		machine = candidate.Machine.Name
	}
	c.log.Debug("job waits", "job", job.Spec.ID, "why", reason, "machine", machine, "pending", job.PendingCount())
}
