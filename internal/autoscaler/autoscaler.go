package autoscaler

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/cloud"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Options are the parts of a controller that an Autoscaler works with.
type Options struct {
	Settings  *config.Settings
	Operator  *config.Operator
	State     *clusterstate.State
	Members   *membership.Member
	Scheduler *scheduler.Engine
	Cloud     *cloud.Client
	Committer *kvstore.Committer
	Log       *slog.Logger
}

// Autoscaler is one controller's autoscaler; see Run. Apart from the rental tracker, its state belongs
// to the goroutine that resizes.
type Autoscaler struct {
	settings  *config.Settings
	operator  *config.Operator
	state     *clusterstate.State
	members   *membership.Member
	scheduler *scheduler.Engine
	cloud     *cloud.Client
	committer *kvstore.Committer
	log       *slog.Logger

	rentals          rentalTracker
	lastScaleOut     time.Time            // when machines were last rented
	unavailableZones []string             // machines rented there could not send heartbeats
	idleSince        map[string]time.Time // by machine
	arrivals         map[string]arrival   // by job
	listing          listingTracker
	sizing           sizingDecision
}

// New returns an autoscaler; Run starts it.
func New(options Options) *Autoscaler {
	return &Autoscaler{
		settings:  options.Settings,
		operator:  options.Operator,
		state:     options.State,
		members:   options.Members,
		scheduler: options.Scheduler,
		cloud:     options.Cloud,
		committer: options.Committer,
		log:       options.Log,
		rentals:   newRentalTracker(),
		idleSince: map[string]time.Time{},
		arrivals:  map[string]arrival{},
		listing:   newListingTracker(),
	}
}

// Run returns machines to the cloud, resizes and refreshes the catalog until ctx ends. It returns
// the context's error.
func (a *Autoscaler) Run(ctx context.Context) error {
	catalog := catalogRefresher{autoscaler: a}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runEvery(ctx, tuning.AutoscalerInterval, a.returnMachines) })
	group.Go(func() error { return runEvery(ctx, tuning.AutoscalerInterval, a.resize) })
	group.Go(func() error { return runEvery(ctx, tuning.AutoscalerInterval, catalog.refresh) })
	return group.Wait()
}

// runEvery calls work at once and then at an interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// resize brings the number of machines closer to demand, on the leader.
func (a *Autoscaler) resize(ctx context.Context) {
	if a.operator.FixedFleet {
		return
	}
	a.state.RLock()
	leader, isLeader := a.leadership()
	a.state.RUnlock()
	a.cloud.SetLeader(isLeader)
	if !isLeader {
		clear(a.idleSince)
		return
	}
	a.countMachines()
	a.reconcileListing(ctx, leader)
	if isAnyOpen := a.resumeRentals(ctx, leader); isAnyOpen {
		return
	}
	demand := a.scheduler.Demand()
	a.unavailableZones = a.scheduler.UnavailableZones()
	isStale := time.Since(demand.ComputedAt) > tuning.DemandMaxAge
	precedesScaleOut := demand.ComputedAt.Before(a.lastScaleOut)
	if isStale || precedesScaleOut {
		return
	}
	planned := a.limitByLearner(a.planScaleOut(demand))
	if len(planned) > 0 {
		a.rentAll(ctx, leader, planned)
		a.lastScaleOut = time.Now()
	}
	a.scaleIn(ctx, leader, demand, planned)
}

// leadership reports whether this controller is the leader, with the condition that a leader's
// changes depend on. Callers hold the state's lock.
func (a *Autoscaler) leadership() (condition wire.Condition, isLeader bool) {
	ownership, isLeader := a.members.Ownership(record.LeaderShard)
	key := record.ShardKey(record.LeaderShard)
	return wire.Condition{Key: key, ModRevision: ownership.ModRevision}, isLeader
}

// commit makes a transaction and returns its revision.
func (a *Autoscaler) commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	return a.committer.Commit(ctx, transaction)
}

// transactionPurpose says in the log what a transaction is for.
type transactionPurpose string

const (
	deleteRentalRecord transactionPurpose = "delete rental record"
	drainMachine       transactionPurpose = "drain machine"
	recordMachine      transactionPurpose = "record machine"
)

// commitAll makes independent transactions at once, so that the committer groups them, and waits
// for them. One that fails is decided anew by the next resize.
func (a *Autoscaler) commitAll(ctx context.Context, transactions []kvstore.Transaction, purpose transactionPurpose) {
	var group sync.WaitGroup
	for _, transaction := range transactions {
		group.Go(func() {
			if _, err := a.commit(ctx, transaction); err != nil {
				a.log.Debug("transaction failed", "purpose", purpose, "err", err)
			}
		})
	}
	group.Wait()
}

// putMachine is the leader's change of a machine's record, which must not have changed since
// modRevision; 0 for a machine without a record.
func putMachine(
	leader wire.Condition, machine string, modRevision uint64, machineRecord record.Machine,
) kvstore.Transaction {
	key := record.MachineKey(machine)
	return kvstore.Transaction{
		Conditions: []wire.Condition{leader, {Key: key, ModRevision: modRevision}},
		Ops:        []wire.Op{kvstore.PutOp(key, machineRecord)},
	}
}
