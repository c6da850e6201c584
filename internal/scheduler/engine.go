package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/failuredetector"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/quota"
	"sableusher/internal/record"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Engine runs the placement rounds of this node's parts.
type Engine struct {
	settings   *config.Settings
	operator   *config.Operator
	cluster    *clusterstate.State
	membership *membership.Member
	agents     *agent.Registry
	committer  *kvstore.Committer
	quota      *quota.GrantManager
	// retryRules paces tasks that failed by themselves.
	retryRules retry.Policies
	log        *slog.Logger

	mu                  sync.Mutex
	ctx                 context.Context
	changes             changeTracker
	backoffs            backoffTable
	ownerWaits          ownerWaits
	machinesToReconcile machineSet // machines whose tasks' fate is to be looked at
	lastSweep           time.Time  // when all machines were last looked at
	gangFormation       gangFormation
	lastLoggedReason    map[string]time.Time // when the log last said why a job waits
	reservations        reservationTable
	shardTenure         shardTenure
	deletedMachines     deletedMachines
	failureDetector     failuredetector.Detector
	fences              fenceLimiter
	lastArrayPlacement  time.Time // when arrays were last given room
	guarantees          guarantees
	objectives          objectives
	waiting             waitingJobs
	changeFeed          *clusterstate.ChangeFeed
	retainedInventory   *binpack.Inventory
	machinesToRefresh   machineSet // machines whose workers told something that the stock has not taken in
	demand              demandState
	learning            learning
	reader              kvstore.Reader
	peers               Peers
	remoteImages        imageHints
	wakeup              chan struct{}
	migration           migrationSchedule
}

// New makes an engine.
func New(settings *config.Settings, operator *config.Operator, cluster *clusterstate.State, members *membership.Member, agents *agent.Registry, committer *kvstore.Committer, reader kvstore.Reader, peers Peers, log *slog.Logger) *Engine {
	return &Engine{
		settings: settings, operator: operator, cluster: cluster, membership: members, agents: agents, committer: committer, quota: quota.New(settings.Deployment.Teams, cluster), retryRules: retry.NewPolicies(operator.Classes), log: log,
		changes: newChangeTracker(), backoffs: backoffTable{}, ownerWaits: ownerWaits{}, machinesToReconcile: machineSet{},
		gangFormation: gangFormation{}, lastLoggedReason: map[string]time.Time{}, reservations: reservationTable{}, shardTenure: shardTenure{}, deletedMachines: newDeletedMachines(),
		migration: newMigrationSchedule(), fences: fenceLimiter{}, reader: reader, peers: peers,
		failureDetector: failuredetector.Detector{Timing: failuredetector.Timing{HeartbeatInterval: settings.Report(), LeaseDuration: settings.Lease()}},
		learning:        newLearning(operator, members.Incarnation, log),
		wakeup:          make(chan struct{}, 1), changeFeed: cluster.FollowChanges(), waiting: newWaitingJobs(), demand: newDemandState(), machinesToRefresh: machineSet{},
	}
}

// Run holds rounds after changes, and now and then without, until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	e.ctx = ctx
	clusterChanged := e.cluster.Subscribe()
	cycleDuration := time.Duration(0)
	idle := time.NewTimer(tuning.PlaceIdle)
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
		e.RunCycle(start, &wg)
		cycleDuration = time.Since(start)
		idle.Reset(tuning.PlaceIdle)
		select {
		case <-ctx.Done():
			return ctx.Err()
		// Rounds that cost much come less often, so that reports, polls and
		// sessions keep their share of the processor.
		case <-time.After(max(e.cycleInterval(), tuning.PlaceRest*cycleDuration)):
		}
	}
}

// cycleInterval is the shortest time between two rounds. A round costs what the fleet is large, so
// that beyond some size they come less often instead of costing more a second.
func (e *Engine) cycleInterval() time.Duration {
	e.cluster.RLock()
	machineCount := len(e.cluster.Machines)
	e.cluster.RUnlock()
	return min(max(tuning.PlaceGap, tuning.PlaceGap*time.Duration(machineCount)/tuning.PlaceGapMachines), tuning.PlaceGapMax)
}

func (e *Engine) wake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// recordChange is one change of records on its way.
type recordChange struct {
	description      string
	transaction      kvstore.Transaction
	keys             []string
	shards           []int
	bindings         []pendingBinding
	harmlessWhenLate bool // harmless if it is applied late: its own record's guard decides
	onResult         func(ok bool)
}

// pendingBinding is a task on its way to a machine.
type pendingBinding struct {
	task         record.TaskRef
	machine      string
	chargedShard int // whose grant it uses
	team         string
	need         record.Resources
}

// RunCycle takes in what the workers told and places what can be placed.
func (e *Engine) RunCycle(now time.Time, wg *sync.WaitGroup) {
	e.mu.Lock()
	defer e.mu.Unlock()
	heardMachines := e.agents.TakeUpdatedMachines()
	e.machinesToReconcile.addAll(heardMachines)
	e.machinesToRefresh.addAll(heardMachines)
	e.cluster.RLock()
	changedMachines := e.changeFeed.TakeMachines()
	e.machinesToReconcile.addAll(changedMachines)
	e.machinesToRefresh.addAll(changedMachines)
	c := e.newCycle(now)
	c.adoptMachines()
	if now.Sub(e.lastSweep) >= tuning.SweepEvery {
		e.lastSweep = now
		c.accrueMachineTime()
		c.demand.updateNeedPerGPU(c.cluster.Jobs)
		c.demand.updateCommonTask(c.cluster.Jobs, now)
		c.pruneState()
		c.deleteFailedMachines()
		for shard := range c.shards.fencingTokens {
			for _, machine := range c.cluster.MachinesByShard[shard] {
				e.machinesToReconcile.add(machine.Name)
			}
		}
	}
	c.reconcileMachines()
	c.schedule()
	c.buildChanges()
	c.migrateRecords()
	c.cancelDependents()
	for _, grant := range e.quota.PlanChanges(now, c.shards.revisions, c.usage) {
		change := &recordChange{description: "grant", transaction: grant.Transaction, shards: []int{grant.Shard}, onResult: func(bool) { grant.Done() }}
		c.outgoing = append(c.outgoing, change)
	}
	e.cluster.RUnlock()
	for _, change := range c.outgoing {
		id := e.changes.start(change)
		wg.Go(func() { e.commitChange(id, change) })
	}
}

// commitChange commits one change. If no answer comes, the parts concerned are fenced
// first, so that the change is either in the view or can never be applied.
func (e *Engine) commitChange(id uint64, change *recordChange) {
	ctx, cancel := context.WithTimeout(e.ctx, tuning.CommitTimeout)
	revision, err := e.committer.Commit(ctx, change.transaction)
	cancel()
	if errors.Is(err, kvstore.ErrRejected) {
		e.log.Error("change refused as malformed", "what", change.description, "err", err)
	} else if err != nil && !errors.Is(err, kvstore.ErrConditionFailed) && !errors.Is(err, kvstore.ErrUnavailable) && !change.harmlessWhenLate {
		e.log.Info("change without an answer", "what", change.description, "err", err)
		for _, shard := range change.shards {
			e.membership.Fence(e.ctx, shard)
		}
	}
	e.mu.Lock()
	e.changes.finish(id)
	if errors.Is(err, kvstore.ErrRejected) {
		e.changes.reject(change, time.Now().Add(tuning.RefusedPause))
	}
	e.mu.Unlock()
	if err != nil {
		e.log.Debug("change not made", "what", change.description, "err", err)
	} else {
		e.log.Debug("change made", "what", change.description, "revision", revision)
	}
	for _, binding := range change.bindings {
		if err == nil {
			e.agents.RequestDispatch(binding.machine)
		}
	}
	if change.onResult != nil {
		change.onResult(err == nil)
	}
	e.wake()
}

// ConfirmDeleted tells that the cloud has confirmed a machine's deletion.
func (e *Engine) ConfirmDeleted(names []string) {
	e.mu.Lock()
	for _, name := range names {
		e.deletedMachines.confirm(name, time.Now())
		e.machinesToReconcile.add(name)
	}
	e.mu.Unlock()
	e.wake()
}

// MachinesToDelete lists machines to be deleted at the cloud, first those on which tasks are still bound:
// they start elsewhere once the deletion is confirmed. waited tells whether there are any.
func (e *Engine) MachinesToDelete() (names []string, tasksWait bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	var urgent, idle []string
	appendOwned := func(list *[]string, name string) {
		if _, ok := e.membership.Ownership(record.ShardOf(name, e.cluster.ShardCount)); ok && !e.deletedMachines.isConfirmed(name) && len(*list) < tuning.ReturnMax {
			*list = append(*list, name)
		}
	}
	bindingTargets := map[string]bool{}
	for binding := range e.changes.bindings() {
		bindingTargets[binding.machine] = true
	}
	for name, machine := range e.cluster.Machines {
		switch {
		case machine.Deleting && len(machine.Bindings) > 0:
			appendOwned(&urgent, name)
		// Nothing is placed on a drained machine any more: once it is empty it can go.
		case machine.Deleting || machine.Draining && len(machine.Bindings) == 0 && !bindingTargets[name]:
			appendOwned(&idle, name)
		}
	}
	for name := range e.cluster.OrphanBindings {
		appendOwned(&urgent, name)
	}
	names = append(urgent, idle...)
	return names[:min(len(names), tuning.ReturnMax)], len(urgent) > 0
}

// Demand is what could not be placed, for the pool.
func (e *Engine) Demand() UnmetDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand.unmet
}

// Graced is the slack a task needs to save.
func stopGraceSeconds(spec *wire.JobSpec) float64 {
	return spec.CheckpointSaveSeconds + tuning.StopMargin.Seconds()
}
