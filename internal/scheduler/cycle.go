package scheduler

import (
	"context"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// cycle is the state of one scheduling cycle and the changes that it decides on. The caller holds the engine's lock
// and the cluster state's read lock throughout the cycle.
type cycle struct {
	*Engine
	now      time.Time
	shards   shardView
	inFlight inFlightUsage
	// inventory is the free capacity in this cycle. Placed tasks, and tasks expected on pending machines, are
	// subtracted from it.
	inventory *binpack.Inventory

	chunkEdits map[chunkKey]*chunkEdit
	outgoing   []*recordChange
	// backgroundCalls are calls to other nodes or the key-value store that the cycle doesn't wait for.
	backgroundCalls []func(context.Context)
	tasksBound      int

	preempting          preemptionProgress
	dependentNeedsByJob map[string]dependentNeeds // by job: the requirements of the jobs that depend on it

	bindingsThrottled bool // this cycle binds no tasks of arrays and services of normal or low priority
	collectsDemand    bool // this cycle computes the unmet demand for the autoscaler
	logsWaiting       bool // this cycle logs why jobs wait

	failingJobs    map[string]bool      // jobs that a change of this cycle ends as failed
	brokenAttempts map[gangAttempt]bool // cache of isBroken
}

// shardView is the ownership of the shards as of the start of a cycle.
type shardView struct {
	fencingTokens map[int]uint64 // of this node's shards
	revisions     map[int]uint64 // modification revisions of the ownership records of this node's shards
	live          []bool         // by shard: whether its owner is alive
}

// owns reports whether this node owns a shard.
func (v *shardView) owns(shard int) bool {
	_, owned := v.fencingTokens[shard]
	return owned
}

// inFlightUsage holds the resources of tasks whose bindings are decided but not yet in the cluster state.
type inFlightUsage struct {
	byMachine     map[string]record.Resources
	byTeam        map[int]map[string]record.Resources // by charged shard and team
	tasksByJob    map[string]int
	machineByTask map[record.TaskRef]string
}

// add adds the resources of a binding.
func (u *inFlightUsage) add(binding inFlightBinding) {
	u.byMachine[binding.machine] = u.byMachine[binding.machine].Plus(binding.need)
	teams := u.byTeam[binding.chargedShard]
	teams[binding.team] = teams[binding.team].Plus(binding.need)
	u.tasksByJob[binding.task.JobID]++
	u.machineByTask[binding.task] = binding.machine
}

// machineOf returns the machine of a task's binding, or false if the task has none.
func (u *inFlightUsage) machineOf(job *clusterstate.Job, taskIndex int) (machine string, ok bool) {
	if u.tasksByJob[job.Spec.ID] == 0 {
		return "", false
	}
	machine, ok = u.machineByTask[record.TaskRef{JobID: job.Spec.ID, Index: taskIndex}]
	return machine, ok
}

// usage returns the resources of a team's tasks that are charged to a shard, including tasks in flight.
func (c *cycle) usage(shard int, team string) record.Resources {
	return c.cluster.UsageByShard[shard][team].Plus(c.inFlight.byTeam[shard][team])
}

// preemptionProgress records the preemptions of a cycle so far.
type preemptionProgress struct {
	machines int                                        // number of machines on which this cycle stops tasks
	awaiting map[record.TaskRef]bool                    // tasks for which other tasks are being stopped
	failed   [wire.PriorityCount]binpack.FailedRequests // by rank: requests for which no task could be stopped
}

// newCycle starts a scheduling cycle at the given time.
func (e *Engine) newCycle(now time.Time) *cycle {
	c := &cycle{
		Engine: e,
		now:    now,
		shards: shardView{
			fencingTokens: map[int]uint64{}, revisions: map[int]uint64{}, live: make([]bool, e.cluster.ShardCount),
		},
		inFlight: inFlightUsage{
			byMachine:     map[string]record.Resources{},
			byTeam:        map[int]map[string]record.Resources{},
			tasksByJob:    map[string]int{},
			machineByTask: map[record.TaskRef]string{},
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
		c.recordShardOwnership(shard)
	}
	for binding := range e.changes.bindings() {
		c.inFlight.add(binding)
	}
	return c
}

// recordShardOwnership records who owns a shard. When this node has just become the owner, it requests a command to
// each of the shard's machines. The command also asks for a report, so that the new owner knows the state of its
// machines before their next heartbeats.
func (c *cycle) recordShardOwnership(shard int) {
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

// runInBackground adds a call that is made after the cycle and that the cycle doesn't wait for.
func (c *cycle) runInBackground(call func(context.Context)) {
	c.backgroundCalls = append(c.backgroundCalls, call)
}

// schedule places pending tasks: it refreshes the inventory, builds the queue and places its jobs one priority after
// the other. Tasks that remain unplaced are the unmet demand.
func (c *cycle) schedule() {
	c.inventory = c.refreshInventory()
	c.throttleBindings()
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
			count := countSamePriority(queue)
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

// throttleBindings sets bindingsThrottled for all cycles but one in each tuning.StoreSaturatedPlacementInterval while
// the key-value store is saturated (tuning.StoreSaturatedQueueLength).
func (c *cycle) throttleBindings() {
	if c.committer.QueueLength() < tuning.StoreSaturatedQueueLength ||
		c.now.Sub(c.pace.lastUnthrottled) > tuning.StoreSaturatedPlacementInterval {
		c.pace.lastUnthrottled = c.now
		return
	}
	c.bindingsThrottled = true
}

// teamUsage returns the resources of each team's tasks in all shards, including tasks in flight.
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

// countSamePriority returns how many jobs at the head of a queue have the priority of the first one.
func countSamePriority(queue []queuedJob) int {
	count := 1
	for count < len(queue) && queue[count].rank == queue[0].rank {
		count++
	}
	return count
}

// scheduleRank places the jobs of one priority. Each job is placed in its home shard first; its remaining tasks are
// placed in any shard with capacity.
func (c *cycle) scheduleRank(queue []queuedJob, usage map[string]record.Resources, unmet *UnmetDemand) {
	for i := range queue {
		c.countPlaceable(&queue[i], usage)
		if queue[i].Remaining > 0 && c.serviceCapacityShort() {
			c.placeFirstReplica(&queue[i])
		}
	}
	// Jobs whose image is already on a machine with capacity go first, because fetching an image would take up the
	// machine's time. Jobs of high priority, jobs near their deadline and arrays that miss their objectives are left
	// out here.
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
