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

// Options holds the settings and the parts of a controller node that an Autoscaler uses.
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

// Autoscaler is the autoscaler of one node; Run starts its goroutines. The fields from
// lastScaleOut on belong to the goroutine that calls resize; rentals has its own lock.
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
	lastScaleOut     time.Time            // when the last requests for planned machines ended
	unavailableZones []string             // zones in which rented machines could not send heartbeats
	idleSince        map[string]time.Time // by machine name
	arrivals         map[string]arrival   // by job ID
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

// Run deletes machines in the cloud, resizes the deployment and refreshes the catalog, each every
// tuning.AutoscalerInterval, until ctx is done. It returns the context's error.
func (a *Autoscaler) Run(ctx context.Context) error {
	catalog := catalogRefresher{autoscaler: a}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runEvery(ctx, tuning.AutoscalerInterval, a.deleteMachines) })
	group.Go(func() error { return runEvery(ctx, tuning.AutoscalerInterval, a.resize) })
	group.Go(func() error { return runEvery(ctx, tuning.AutoscalerInterval, catalog.refresh) })
	return group.Wait()
}

// runEvery calls work immediately and then at each interval until ctx is done. It returns the context's
// error.
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

// resize adjusts the number of machines to the demand. On a node that is not the leader it only sets
// the request rate of the cloud client and clears the idle times. It does nothing if the operator has fixed
// the number of machines.
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
	if hasPending := a.resumeRentals(ctx, leader); hasPending {
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

// leadership reports whether this node is the leader. It also returns the condition that each
// transaction of a leader must contain, so that it fails once another node is the leader. Callers
// hold the state's lock.
func (a *Autoscaler) leadership() (condition wire.Condition, isLeader bool) {
	ownership, isLeader := a.members.Ownership(record.LeaderShard)
	key := record.ShardKey(record.LeaderShard)
	return wire.Condition{Key: key, ModRevision: ownership.ModRevision}, isLeader
}

// commit commits a transaction within tuning.CommitTimeout and returns its revision.
func (a *Autoscaler) commit(ctx context.Context, transaction kvstore.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	return a.committer.Commit(ctx, transaction)
}

// transactionPurpose is the purpose of a transaction, for the log.
type transactionPurpose string

const (
	deleteRentalRecord transactionPurpose = "delete rental record"
	drainMachine       transactionPurpose = "drain machine"
	recordMachine      transactionPurpose = "record machine"
)

// commitAll commits independent transactions concurrently, so that the committer can batch them, and
// waits for all of them. A failed transaction is only logged: the next resize computes it again if it
// is still needed.
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

// putMachine returns the transaction in which the leader writes a machine's record. It fails if the
// record has changed since modRevision; 0 means that the machine must have no record yet.
func putMachine(
	leader wire.Condition, machine string, modRevision uint64, machineRecord record.Machine,
) kvstore.Transaction {
	key := record.MachineKey(machine)
	return kvstore.Transaction{
		Conditions: []wire.Condition{leader, {Key: key, ModRevision: modRevision}},
		Ops:        []wire.Op{kvstore.PutOp(key, machineRecord)},
	}
}
