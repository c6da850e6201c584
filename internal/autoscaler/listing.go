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

// listingTracker is what is kept between two of the cloud's lists.
type listingTracker struct {
	listedAt       time.Time
	unknownSince   map[string]time.Time // by machine without a machineRecord
	missedListings map[string]int       // lists in a row that lacked a machine which should be listed
}

func newListingTracker() listingTracker {
	return listingTracker{unknownSince: map[string]time.Time{}, missedListings: map[string]int{}}
}

// reconcileListing compares the cloud's list with the records: machines that failed, or that are
// not listed any more, are deleted; machines without a record are adopted, to be used or returned.
func (a *Autoscaler) reconcileListing(ctx context.Context, leader wire.Condition) {
	if time.Since(a.listing.listedAt) < tuning.CloudListInterval {
		return
	}
	a.listing.listedAt = time.Now()
	listed, err := a.cloud.List(ctx)
	if err != nil {
		a.log.Info("machines not listed", "err", err)
		return
	}
	now := time.Now()
	a.state.RLock()
	transactions := a.reconcileListed(leader, listed, now)
	transactions = append(transactions, a.deleteUnlisted(leader, listed, now)...)
	a.state.RUnlock()
	a.commitAll(ctx, transactions, recordMachine)
}

// reconcileListed deletes the listed machines that failed and adopts those without a record.
// Callers hold the state's lock.
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
			if a.isToBeAdopted(listedMachine.ID, now) {
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

// isToBeAdopted reports whether a machine has been unknown for so long that a lagging list does not
// explain it.
func (a *Autoscaler) isToBeAdopted(machine string, now time.Time) bool {
	since, ok := a.listing.unknownSince[machine]
	if !ok {
		since = now
		a.listing.unknownSince[machine] = now
	}
	return now.Sub(since) > a.maxListLag()+tuning.CloudListInterval
}

// maxListLag is how far the cloud's list may lag behind, with a margin.
func (a *Autoscaler) maxListLag() time.Duration {
	return config.ToDuration(2 * a.settings.Deployment.Cloud.ListLagS)
}

// adopt records a machine that has no record.
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

// deleteMachine marks a machine as being deleted. That it is gone is proved by the cloud's answer
// to its return, as ever.
func deleteMachine(leader wire.Condition, machine *clusterstate.Machine) kvstore.Transaction {
	machineRecord := machine.Machine
	machineRecord.Deleting = true
	return putMachine(leader, machine.Name, machine.ModRevision, machineRecord)
}

// deleteUnlisted deletes machines that the cloud has ceased to list: once listed, a machine stays
// listed until it is gone. Missing heartbeats alone can't tell the loss of all machines at once
// from this controller's own partition, and would delete none for ever. Callers hold the state's
// lock.
func (a *Autoscaler) deleteUnlisted(
	leader wire.Condition, listed []wire.CloudMachine, now time.Time,
) []kvstore.Transaction {
	isListed := make(map[string]bool, len(listed))
	for i := range listed {
		isListed[listed[i].ID] = true
	}
	listedFromAge := a.maxListLag() + tuning.CloudListMissesForDeleted*tuning.CloudListInterval
	missed := a.listing.missedListings
	var transactions []kvstore.Transaction
	for name, machine := range a.state.Machines {
		isTooNew := now.Sub(time.UnixMilli(machine.CreatedAtMs)) < listedFromAge
		if isListed[name] || machine.Deleting || machine.ModRevision == 0 || isTooNew {
			delete(missed, name)
			continue
		}
		missed[name]++
		if missed[name] < tuning.CloudListMissesForDeleted {
			continue
		}
		a.log.Info("machine is not listed any more", "machine", name, "tasks", len(machine.Bindings))
		transactions = append(transactions, deleteMachine(leader, machine))
	}
	maps.DeleteFunc(missed, func(name string, _ int) bool { return a.state.Machines[name] == nil })
	return transactions
}
