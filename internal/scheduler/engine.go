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

// Config is what an engine works with. The caller runs and closes what is in it.
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

// dependencies are the parts of the controller that the engine works with; they guard themselves.
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

// machineState is what the engine keeps of single machines beside their records.
type machineState struct {
	machinesToReconcile machineSet // something new is known of them, or of their tasks
	deletedMachines     deletedMachines
	failureDetector     failuredetector.Detector
	fences              fenceLimiter
}

// Engine runs the scheduling cycles of this node's shards. It is safe for concurrent use; each part of its state is a
// type of its own that the engine's lock guards.
type Engine struct {
	dependencies
	retryRules retry.Policies // pace tasks that failed by themselves
	wakeup     chan struct{}  // asks for a cycle

	mu sync.Mutex // guards all that follows; it is taken before the cluster state's lock

	changes      changeTracker
	migration    migrationSchedule
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

// New makes an engine; nothing runs before Run.
func New(c Config) *Engine {
	timing := failuredetector.Timing{HeartbeatInterval: c.Settings.HeartbeatInterval(),
		LeaseDuration: c.Settings.LeaseDuration()}
	return &Engine{
		dependencies: dependencies{
			settings: c.Settings, operator: c.Operator, cluster: c.ClusterState, membership: c.Membership,
			agents: c.Agents, committer: c.Committer, reader: c.Reader, peers: c.Peers, log: c.Logger,
		},
		retryRules:   retry.NewPolicies(c.Operator.Classes),
		wakeup:       make(chan struct{}, 1),
		changes:      newChangeTracker(),
		migration:    newMigrationSchedule(),
		shardTenure:  shardTenure{},
		quota:        quota.New(c.Settings.Deployment.Teams, c.ClusterState),
		reservations: reservationTable{},
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
		changeFeed:     c.ClusterState.FollowChanges(),
		inventoryCache: inventoryCache{toRefresh: machineSet{}},
	}
}

// Run runs a scheduling cycle after each change, and every tuning.CycleIdleInterval without one, until ctx
// ends. It returns once all that the cycles have started has ended.
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
		// Cycles that cost much come less often, so that heartbeats, polls and sessions keep their share of the
		// processor.
		case <-time.After(max(e.cycleInterval(), tuning.CycleRestFactor*cycleDuration)):
		}
	}
}

// cycleInterval is the shortest time between two cycles. A cycle costs the more the larger the cluster is, so beyond
// some size cycles come less often instead of costing more a second.
func (e *Engine) cycleInterval() time.Duration {
	e.cluster.RLock()
	machineCount := len(e.cluster.Machines)
	e.cluster.RUnlock()
	interval := tuning.CycleMinInterval * time.Duration(machineCount) / tuning.CycleMinIntervalMachines
	return min(max(tuning.CycleMinInterval, interval), tuning.CycleMinIntervalMax)
}

// wake asks for a cycle soon.
func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// runCycle holds one scheduling cycle and starts the changes that it has decided on. What it starts is counted in
// running.
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

// planCycle takes in what has changed and decides on everything that a cycle does. It writes nothing: the changes and
// calls that it has decided on are in the cycle.
func (e *Engine) planCycle(ctx context.Context, now time.Time) *cycle {
	heardMachines := e.agents.TakeUpdatedMachines()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	changedMachines := e.changeFeed.TakeMachines()
	for _, names := range []map[string]struct{}{heardMachines, changedMachines} {
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

// sweep does what follows from time alone: it accrues machine time, forgets what is over, deletes failed machines and
// has all machines of this node's shards reconciled.
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

// planGrants adds the changes of the teams' grants in this node's shards.
func (c *cycle) planGrants() {
	for _, grant := range c.quota.PlanChanges(c.now, c.shards.revisions, c.usage) {
		c.outgoing = append(c.outgoing, &recordChange{
			kind: changeOfGrant, transaction: grant.Transaction, shards: []int{grant.Shard},
			onResult: func(bool) { grant.Done() },
		})
	}
}

// Demand returns what the last cycle that accounted it could not place.
func (e *Engine) Demand() UnmetDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand.unmet
}
