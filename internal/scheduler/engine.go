package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/failuredetector"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/quota"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
)

// Config holds the dependencies of an Engine. The caller starts and closes them.
type Config struct {
	Settings     *config.Settings
	Operator     *config.Operator
	ClusterState *clusterstate.State
	Membership   *membership.Member
	Agents       *agent.Registry
	Committer    *kvstore.Committer
	Reader       kvstore.Reader
	Peers        Peers
	Logger       *slog.Logger
}

// dependencies are the parts of the controller that the engine uses. Each of them does its own locking.
type dependencies struct {
	settings   *config.Settings
	operator   *config.Operator
	cluster    *clusterstate.State
	membership *membership.Member
	agents     *agent.Registry
	committer  *kvstore.Committer
	reader     kvstore.Reader
	peers      Peers
	log        *slog.Logger
}

// machineState holds the engine's state of individual machines that is not in their records.
type machineState struct {
	machinesToReconcile machineSet // machines that changed, or whose tasks changed, since they were last reconciled
	deletedMachines     deletedMachines
	failureDetector     failuredetector.Detector
	fences              fenceLimiter
}

// Engine runs the scheduling cycles of this node's shards. It is safe for concurrent use: mu guards all of its
// mutable state.
type Engine struct {
	dependencies
	retryPolicies retry.Policies // delays between the attempts of tasks that failed
	wakeup        chan struct{}  // requests a cycle

	mu sync.Mutex // guards the fields below; it is locked before the cluster state's lock

	changes      changeTracker
	migration    migrationSchedule
	narrowings   chunkNarrowings
	shardTenure  shardTenure
	quota        *quota.GrantManager
	reservations reservationTable
	machineState

	order         queueOrder
	pace          placementPace
	backoffs      backoffTable
	gangFormation gangFormation
	demand        demandState
	learning      learning
	waitLog       waitLog

	zoneHeartbeats zoneHeartbeatLog

	changeFeed     *clusterstate.ChangeFeed
	inventoryCache inventoryCache
	lastSweep      time.Time
}

// New returns an Engine. It does nothing until Run is called.
func New(c Config) *Engine {
	timing := failuredetector.Timing{HeartbeatInterval: c.Settings.HeartbeatInterval(),
		LeaseDuration: c.Settings.LeaseDuration()}
	return &Engine{
		dependencies: dependencies{
			settings: c.Settings, operator: c.Operator, cluster: c.ClusterState, membership: c.Membership,
			agents: c.Agents, committer: c.Committer, reader: c.Reader, peers: c.Peers, log: c.Logger,
		},
		retryPolicies: retry.NewPolicies(c.Operator.Classes),
		wakeup:        make(chan struct{}, 1),
		changes:       newChangeTracker(),
		migration:     newMigrationSchedule(),
		narrowings:    newChunkNarrowings(),
		shardTenure:   shardTenure{},
		quota:         quota.New(c.Settings.Deployment.Teams, c.ClusterState),
		reservations:  reservationTable{},
		machineState: machineState{
			machinesToReconcile: machineSet{},
			deletedMachines:     newDeletedMachines(),
			failureDetector:     failuredetector.Detector{Timing: timing},
			fences:              fenceLimiter{},
		},
		order:          queueOrder{waiting: newWaitingJobs()},
		pace:           placementPace{ownerWaits: ownerWaits{}},
		backoffs:       backoffTable{},
		gangFormation:  gangFormation{},
		demand:         newDemandState(),
		learning:       newLearning(c.Operator, c.Membership.Incarnation, c.Logger),
		waitLog:        waitLog{},
		zoneHeartbeats: zoneHeartbeatLog{},
		changeFeed:     c.ClusterState.NewChangeFeed(),
		inventoryCache: inventoryCache{toRefresh: machineSet{}},
	}
}

// Run runs a scheduling cycle after each change, and at least every tuning.CycleIdleInterval, until ctx is done. It
// returns once everything that the cycles have started has ended.
func (e *Engine) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	clusterChanged := e.cluster.Subscribe()
	idle := time.NewTimer(tuning.CycleIdleInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clusterChanged:
		case <-e.agents.Changed():
		case <-e.wakeup:
		case <-idle.C:
		}
		start := time.Now()
		e.runCycle(ctx, start, &running)
		cycleDuration := time.Since(start)
		idle.Reset(tuning.CycleIdleInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		// The pause is proportional to the duration of the cycle, so that expensive cycles leave processor time for
		// heartbeats, polls and sessions.
		case <-time.After(max(e.cycleInterval(), tuning.CyclePauseFactor*cycleDuration)):
		}
	}
}

// cycleInterval returns the minimum pause between two cycles. Above tuning.CycleMinIntervalMachines machines, the pause
// grows in proportion to the number of machines, up to tuning.CycleMinIntervalMax. The cost of a cycle grows with that
// number too, so the cost per second stays the same until the pause has reached its maximum.
func (e *Engine) cycleInterval() time.Duration {
	e.cluster.RLock()
	machineCount := len(e.cluster.Machines)
	e.cluster.RUnlock()
	interval := tuning.CycleMinInterval * time.Duration(machineCount) / tuning.CycleMinIntervalMachines
	return min(max(tuning.CycleMinInterval, interval), tuning.CycleMinIntervalMax)
}

// wake requests a cycle. It never blocks.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// runCycle runs one scheduling cycle and starts the changes and background calls that it decided on. Their goroutines
// are counted in running.
func (e *Engine) runCycle(ctx context.Context, now time.Time, running *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.planCycle(ctx, now)
	for _, call := range c.backgroundCalls {
		running.Go(func() { call(ctx) })
	}
	for _, change := range c.outgoing {
		id := e.changes.start(change)
		running.Go(func() { e.commitChange(ctx, id, change) })
	}
}

// planCycle applies what has changed since the last cycle and makes all decisions of a cycle. It writes nothing: the
// changes and background calls that it decides on are in the cycle that it returns.
func (e *Engine) planCycle(ctx context.Context, now time.Time) *cycle {
	reportedMachines := e.agents.TakeUpdatedMachines()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	changedMachines := e.changeFeed.TakeMachines()
	for _, names := range []map[string]struct{}{reportedMachines, changedMachines} {
		e.machinesToReconcile.addAll(names)
		e.inventoryCache.toRefresh.addAll(names)
	}
	c := e.newCycle(now)
	c.logsWaiting = e.log.Enabled(ctx, slog.LevelDebug)
	c.adoptMachines()
	if now.Sub(e.lastSweep) >= tuning.SweepInterval {
		e.lastSweep = now
		c.sweep()
	}
	c.reconcileMachines()
	c.schedule()
	c.buildChanges()
	c.migrateRecords()
	c.cancelDependents()
	c.planGrants()
	return c
}

// sweep does the periodic work that no change triggers: it accrues machine time, drops expired state, deletes failed
// machines and schedules the reconciliation of all machines of this node's shards.
func (c *cycle) sweep() {
	c.accrueMachineTime()
	c.demand.updateNeedPerGPU(c.cluster.Jobs)
	c.demand.updateCommonTask(c.cluster.Jobs, c.now)
	c.pruneState()
	c.deleteFailedMachines()
	for shard := range c.shards.fencingTokens {
		for _, machine := range c.cluster.MachinesByShard[shard] {
			c.machinesToReconcile.add(machine.Name)
		}
	}
}

// planGrants adds the changes of the teams' quota grants in this node's shards.
func (c *cycle) planGrants() {
	for _, grant := range c.quota.PlanChanges(c.now, c.shards.revisions, c.usage) {
		c.outgoing = append(c.outgoing, &recordChange{
			kind: changeOfGrant, transaction: grant.Transaction, shards: []int{grant.Shard},
			onResult: func(bool) { grant.Done() },
		})
	}
}

// Demand returns the latest unmet demand. It is computed only while this node is the leader.
func (e *Engine) Demand() UnmetDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand.unmet
}
