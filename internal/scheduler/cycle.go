package scheduler

import (
	"context"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// cycle is one scheduling cycle: what is known in it, and the changes it makes. The caller holds the
// engine's lock and the cluster state's read lock throughout.
type cycle struct {
	*Engine
	now      time.Time
	shards   shardView
	inFlight inFlightUsage
	// inventory is the free capacity in this cycle; what is placed or expected is taken from it.
	inventory *binpack.Inventory

	chunkEdits map[chunkKey]*chunkEdit
	outgoing   []*recordChange
	// backgroundCalls are calls to other nodes or the key-value store that the cycle doesn't wait for.
	backgroundCalls []func(context.Context)
	tasksBound      int

	preempting          preemptionProgress
	dependentNeedsByJob map[string]dependentNeeds // what jobs that need others ask of them

	storeSaturated bool // the key-value store's budget is the bottleneck
	collectsDemand bool // this cycle accounts the unmet demand for the autoscaler
	logsWaiting    bool // the log takes in why jobs wait

	failingJobs    map[string]bool      // jobs that a change of this cycle ends as failed
	brokenAttempts map[gangAttempt]bool // whether an attempt is broken, worked out once a cycle
}

// shardView is who owns which shard as a cycle sees it.
type shardView struct {
	fencingTokens map[int]uint64 // of this node's shards
	revisions     map[int]uint64 // modification revisions of the ownership records of this node's shards
	live          []bool         // by shard: its owner lives
}

// owns reports whether a shard is this node's.
func (v *shardView) owns(shard int) bool {
	_, owned := v.fencingTokens[shard]
	return owned
}

// inFlightUsage is what the tasks take whose bindings are decided but not yet in the cluster state.
type inFlightUsage struct {
	byMachine  map[string]record.Resources
	byTeam     map[int]map[string]record.Resources // by charged shard and team
	tasksByJob map[string]int
}

// add counts a binding.
func (u *inFlightUsage) add(binding pendingBinding) {
	u.byMachine[binding.machine] = u.byMachine[binding.machine].Plus(binding.need)
	teams := u.byTeam[binding.chargedShard]
	teams[binding.team] = teams[binding.team].Plus(binding.need)
	u.tasksByJob[binding.task.JobID]++
}

// usage is what a team's tasks of a shard take, those in flight included.
func (c *cycle) usage(shard int, team string) record.Resources {
	return c.cluster.UsageByShard[shard][team].Plus(c.inFlight.byTeam[shard][team])
}

// preemptionProgress is what a cycle has done to make capacity by stopping tasks.
type preemptionProgress struct {
	machines int                                        // on which tasks are stopped in this cycle
	awaiting map[record.TaskRef]bool                    // tasks that others are stopped for
	failed   [wire.PriorityCount]binpack.FailedRequests // requests for which nothing could be stopped anywhere, by rank
}

// newCycle begins a scheduling cycle at a time.
func (e *Engine) newCycle(now time.Time) *cycle {
	c := &cycle{
		Engine: e,
		now:    now,
		shards: shardView{
			fencingTokens: map[int]uint64{}, revisions: map[int]uint64{}, live: make([]bool, e.cluster.ShardCount),
		},
		inFlight: inFlightUsage{
			byMachine:  map[string]record.Resources{},
			byTeam:     map[int]map[string]record.Resources{},
			tasksByJob: map[string]int{},
		},
		chunkEdits:     map[chunkKey]*chunkEdit{},
		preempting:     preemptionProgress{awaiting: make(map[record.TaskRef]bool, len(e.reservations))},
		failingJobs:    map[string]bool{},
		brokenAttempts: map[gangAttempt]bool{},
	}
	for _, reservation := range e.reservations {
		c.preempting.awaiting[reservation.task] = true
	}
	for shard := range e.cluster.ShardCount {
		c.inFlight.byTeam[shard] = map[string]record.Resources{}
		c.viewShard(shard)
	}
	for binding := range e.changes.bindings() {
		c.inFlight.add(binding)
	}
	return c
}

// viewShard notes who owns a shard. A new owner hears of its machines at once rather than at their next
// heartbeat.
func (c *cycle) viewShard(shard int) {
	_, c.shards.live[shard] = c.membership.OwnerOf(shard)
	ownership, owned := c.membership.Ownership(shard)
	if !owned {
		if _, entitled := c.membership.MayServeAgents(shard); !entitled {
			c.shardTenure.end(shard)
		}
		return
	}
	c.shards.fencingTokens[shard], c.shards.revisions[shard] = ownership.FencingToken, ownership.ModRevision
	if !c.shardTenure.begin(shard, c.now) {
		return
	}
	for _, machine := range c.cluster.MachinesByShard[shard] {
		c.agents.RequestDispatch(machine.Name)
	}
}

// inBackground has a call made after the cycle, without waiting for it.
func (c *cycle) inBackground(call func(context.Context)) {
	c.backgroundCalls = append(c.backgroundCalls, call)
}

// schedule places what waits: it brings the inventory up to date, orders the queue, and then goes
// through its priorities one after the other. What is left over is the unmet demand.
func (c *cycle) schedule() {
	c.inventory = c.refreshInventory()
	c.limitStarts()
	_, isLeader := c.membership.Ownership(record.LeaderShard)
	c.collectsDemand = isLeader && c.now.Sub(c.demand.unmet.ComputedAt) >= tuning.DemandInterval
	queue := c.buildQueue(c.inventory.HasFreeCapacity())
	c.inventory.FilterFeasible(func(yield func(record.Resources) bool) {
		for i := range queue {
			if !yield(queue[i].Need) {
				return
			}
		}
	})
	unmet := UnmetDemand{ComputedAt: c.now}
	if len(queue) > 0 {
		c.inventory.GroupPending()
		usage := c.teamUsage()
		for len(queue) > 0 {
			count := samePriority(queue)
			c.scheduleRank(queue[:count], usage, &unmet)
			queue = queue[count:]
		}
	}
	if c.collectsDemand {
		spare := c.inventory.Spare()
		unmet.SpareOnDemand, unmet.SpareSpot, unmet.IdleMachines = spare.OnDemand, spare.Spot, spare.IdleMachines
		c.demand.unmet = unmet
	}
}

// limitStarts lets arrays start only every tuning.StoreSaturatedPlacementInterval while the key-value store's
// budget is the bottleneck.
func (c *cycle) limitStarts() {
	if c.committer.QueueLength() < tuning.StoreSaturatedQueueLength ||
		c.now.Sub(c.pace.lastArrayStart) > tuning.StoreSaturatedPlacementInterval {
		c.pace.lastArrayStart = c.now
		return
	}
	c.storeSaturated = true
}

// teamUsage is what each team's tasks take in all shards, those in flight included.
func (c *cycle) teamUsage() map[string]record.Resources {
	usage := map[string]record.Resources{}
	for shard := range c.cluster.ShardCount {
		for team, amount := range c.cluster.UsageByShard[shard] {
			usage[team] = usage[team].Plus(amount)
		}
		for team, amount := range c.inFlight.byTeam[shard] {
			usage[team] = usage[team].Plus(amount)
		}
	}
	return usage
}

// samePriority counts the first jobs of a queue that have the same priority.
func samePriority(queue []queuedJob) int {
	count := 1
	for count < len(queue) && queue[count].rank == queue[0].rank {
		count++
	}
	return count
}

// scheduleRank places the jobs of one priority: each first in its home shard, and what is left over
// wherever there is capacity.
func (c *cycle) scheduleRank(queue []queuedJob, usage map[string]record.Resources, unmet *UnmetDemand) {
	for i := range queue {
		c.countPlaceable(&queue[i], usage)
		if queue[i].Remaining > 0 && c.serviceCapacityScarce() {
			c.placeFirstReplica(&queue[i])
		}
	}
	// Of work that is in no hurry, first comes what finds its image on a machine with capacity: to fetch
	// it would take the machine's time.
	for i := range queue {
		queued := &queue[i]
		if !isHighPriority(queued.rank) && !queued.nearDeadline && !queued.key.MissesObjectives {
			c.placeInHomeShard(queued, imageHolders)
		}
	}
	for i := range queue {
		c.placeInHomeShard(&queue[i], allMachines)
	}
	for i := range queue {
		c.placeInOtherShards(&queue[i], unmet)
	}
}
