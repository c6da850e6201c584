package scheduler

import (
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

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
	_, _, isLeader := c.membership.Owns(clusterstate.LeaderShard)
	c.collectsDemand = isLeader && c.now.Sub(c.demand.unmet.ComputedAt) >= tuning.DemandEvery
	queue := c.buildQueue(inventory.HasFreeCapacity())
	inventory.FilterFeasible(func(yield func(clusterstate.Resources) bool) {
		for i := range queue {
			if !yield(queue[i].Need) {
				return
			}
		}
	})
	demand := UnmetDemand{ComputedAt: c.now}
	if len(queue) > 0 {
		inventory.GroupPending()
		usage := map[string]clusterstate.Resources{}
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
				if queued := &queue[i]; queued.rank > wire.PriorityRank(wire.PriorityHigh) && !queued.nearDeadline && !queued.key.MissesObjectives {
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
		demand.SpareOnDemand, demand.SpareSpot, demand.IdleMachines = inventory.Spare()
		c.demand.unmet = demand
	}
}

// cycle is one look at the view; it collects the changes to make.
type cycle struct {
	*Engine
	now                     time.Time
	fencingTokens           map[int]uint64
	shardRevisions          map[int]uint64
	recordEdits             map[recordKey]*recordEdit
	outgoing                []*recordChange
	inFlightByMachine       map[string]clusterstate.Resources // on their way, by machine
	inFlightByShard         map[int]map[string]clusterstate.Resources
	inFlightByJob           map[string]int // tasks on their way, by job
	liveShards              []bool         // parts whose owner lives
	tasksBound              int
	inventory               *binpack.Inventory
	storeSaturated          bool                                       // the state service's budget is the bottleneck
	machinesPreempted       int                                        // machines on which room is being freed in this round
	collectsDemand          bool                                       // this round counts the demand for the pool
	tasksAwaitingPreemption map[clusterstate.TaskRef]bool              // tasks that room is being freed for
	preemptionMisses        [wire.PriorityCount]binpack.FailedRequests // needs for which nothing could be stopped anywhere, by rank
	releaseBlocked          bool                                       // a task's end could not be written yet
	failingJobs             map[string]bool                            // jobs that a change of this round ends as failed
	brokenAttempts          map[gangAttempt]bool                       // whether an attempt is broken, looked at once a round
	dependentNeedsByJob     map[string]dependentNeeds                  // what jobs that need others ask of them
}

func (e *Engine) newCycle(now time.Time) *cycle {
	c := &cycle{Engine: e, now: now, fencingTokens: map[int]uint64{}, shardRevisions: map[int]uint64{}, recordEdits: map[recordKey]*recordEdit{}, brokenAttempts: map[gangAttempt]bool{}, failingJobs: map[string]bool{},
		inFlightByMachine: map[string]clusterstate.Resources{}, inFlightByShard: map[int]map[string]clusterstate.Resources{}, inFlightByJob: map[string]int{},
		liveShards: make([]bool, e.cluster.ShardCount), tasksAwaitingPreemption: make(map[clusterstate.TaskRef]bool, len(e.reservations))}
	for _, reservation := range e.reservations {
		c.tasksAwaitingPreemption[reservation.task] = true
	}
	for shard := range e.cluster.ShardCount {
		_, c.liveShards[shard] = e.membership.OwnerOf(shard)
		c.inFlightByShard[shard] = map[string]clusterstate.Resources{}
		if token, modRevision, ok := e.membership.Owns(shard); ok {
			c.fencingTokens[shard], c.shardRevisions[shard] = token, modRevision
			if _, known := e.shardOwnedSince[shard]; !known {
				e.shardOwnedSince[shard] = now
				// A new owner hears of its machines at once rather than at their next report.
				for _, machine := range e.cluster.MachinesByShard[shard] {
					e.agents.RequestDispatch(machine.Name)
				}
			}
		} else if _, entitled := e.membership.MayServeAgents(shard); !entitled {
			delete(e.shardOwnedSince, shard)
		}
	}
	for _, change := range e.inFlightChanges {
		for _, binding := range change.bindings {
			c.addInFlight(binding)
		}
	}
	return c
}
