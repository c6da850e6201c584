package autoscaler

import (
	"context"
	"maps"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// listingTracker is the state that reconcileListing keeps between two listings of the cloud's machines.
type listingTracker struct {
	listedAt       time.Time
	unknownSince   map[string]time.Time // by name of a listed machine without a record
	missedListings map[string]int       // consecutive listings without a machine that should be listed, by its name
}

func newListingTracker() listingTracker {
	return listingTracker{unknownSince: map[string]time.Time{}, missedListings: map[string]int{}}
}

// reconcileListing compares the cloud's list of machines with the machine records, every
// tuning.CloudListInterval. It marks machines that failed or are no longer listed as being deleted, and
// adopts listed machines without a record, so that they are used or deleted.
func (a *Autoscaler) reconcileListing(ctx context.Context, leader wire.Condition) {
	if time.Since(a.listing.listedAt) < tuning.CloudListInterval {
		return
	}
	a.listing.listedAt = time.Now()
	listed, err := a.cloud.List(ctx)
	if err != nil {
		a.log.Info("listing the cloud's machines failed", "err", err)
		return
	}
	now := time.Now()
	a.state.RLock()
	transactions := a.reconcileListed(leader, listed, now)
	transactions = append(transactions, a.deleteUnlisted(leader, listed, now)...)
	a.state.RUnlock()
	a.commitAll(ctx, transactions, recordMachine)
}

// reconcileListed returns the transactions that delete the listed machines that failed, and adopt those
// without a record. Callers hold the state's lock.
func (a *Autoscaler) reconcileListed(
	leader wire.Condition, listed []wire.CloudMachine, now time.Time,
) []kvstore.Transaction {
	var transactions []kvstore.Transaction
	isUnknown := map[string]bool{}
	for i := range listed {
		listedMachine := &listed[i]
		machine := a.state.Machines[listedMachine.ID]
		switch {
		case machine == nil:
			isUnknown[listedMachine.ID] = true
			if a.shouldAdopt(listedMachine.ID, now) {
				a.log.Info("machine adopted", "machine", listedMachine.ID)
				transactions = append(transactions, adopt(leader, listedMachine, now))
			}
		case listedMachine.State == wire.MachineFailed && !machine.Deleting:
			a.log.Info("machine failed", "machine", listedMachine.ID)
			transactions = append(transactions, deleteMachine(leader, machine))
		}
	}
	maps.DeleteFunc(a.listing.unknownSince, func(name string, _ time.Time) bool { return !isUnknown[name] })
	return transactions
}

// shouldAdopt reports whether a machine has been listed without a record for longer than the lag of the
// cloud's list can explain.
func (a *Autoscaler) shouldAdopt(machine string, now time.Time) bool {
	since, ok := a.listing.unknownSince[machine]
	if !ok {
		since = now
		a.listing.unknownSince[machine] = now
	}
	return now.Sub(since) > a.maxListLag()+tuning.CloudListInterval
}

// maxListLag returns the longest assumed lag of the cloud's list: twice the configured one, as a margin.
func (a *Autoscaler) maxListLag() time.Duration {
	return config.ToDuration(2 * a.settings.Deployment.Cloud.ListLagS)
}

// adopt returns the transaction that creates the record of a listed machine that has none.
func adopt(leader wire.Condition, listed *wire.CloudMachine, now time.Time) kvstore.Transaction {
	return putMachine(leader, listed.ID, 0, record.Machine{
		Type:        listed.MachineType,
		Zone:        listed.Zone,
		Spot:        listed.Spot,
		Address:     listed.Address,
		CreatedAtMs: now.Add(-config.ToDuration(listed.AgeSeconds)).UnixMilli(),
		Deleting:    listed.State == wire.MachineFailed,
	})
}

// deleteMachine returns the transaction that marks a machine as being deleted. The machine counts as gone
// only once the cloud has confirmed the deletion.
func deleteMachine(leader wire.Condition, machine *clusterstate.Machine) kvstore.Transaction {
	machineRecord := machine.Machine
	machineRecord.Deleting = true
	return putMachine(leader, machine.Name, machine.ModRevision, machineRecord)
}

// deleteUnlisted returns the transactions that delete machines missing from
// tuning.CloudListMissesBeforeDeletion consecutive listings. The cloud lists a machine until it is gone.
// Missing heartbeats can't replace this check: a node can't tell the loss of all machines at once
// from its own network partition, and would never delete these machines. Callers hold the state's lock.
func (a *Autoscaler) deleteUnlisted(
	leader wire.Condition, listed []wire.CloudMachine, now time.Time,
) []kvstore.Transaction {
	isListed := make(map[string]bool, len(listed))
	for i := range listed {
		isListed[listed[i].ID] = true
	}
	minListedAge := a.maxListLag() + tuning.CloudListMissesBeforeDeletion*tuning.CloudListInterval
	missed := a.listing.missedListings
	var transactions []kvstore.Transaction
	for name, machine := range a.state.Machines {
		isTooNew := now.Sub(time.UnixMilli(machine.CreatedAtMs)) < minListedAge
		if isListed[name] || machine.Deleting || machine.ModRevision == 0 || isTooNew {
			delete(missed, name)
			continue
		}
		missed[name]++
		if missed[name] < tuning.CloudListMissesBeforeDeletion {
			continue
		}
		a.log.Info("deleting a machine that the cloud no longer lists", "machine", name, "tasks", len(machine.Bindings))
		transactions = append(transactions, deleteMachine(leader, machine))
	}
	maps.DeleteFunc(missed, func(name string, _ int) bool { return a.state.Machines[name] == nil })
	return transactions
}
