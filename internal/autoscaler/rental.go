package autoscaler

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/cloud"
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// rentAll rents the planned machines, up to tuning.RentalConcurrency rentals at a time, the most needed
// kinds first. It returns once each rental request has been answered or has failed.
func (a *Autoscaler) rentAll(ctx context.Context, leader wire.Condition, planned []plannedMachine) {
	countByKind := map[machineKind]int{}
	var kinds []machineKind // in order of need
	for _, machine := range planned {
		if countByKind[machine.machineKind] == 0 {
			kinds = append(kinds, machine.machineKind)
		}
		countByKind[machine.machineKind]++
	}
	var group errgroup.Group
	group.SetLimit(tuning.RentalConcurrency)
	for _, kind := range kinds {
		limit := a.maxMachinesPerRental()
		for remaining := countByKind[kind]; remaining > 0; remaining -= limit {
			group.Go(func() error {
				a.rent(ctx, leader, kind, min(remaining, limit))
				return nil
			})
		}
	}
	_ = group.Wait() // never fails: resumeRentals retries failed rentals
}

// maxMachinesPerRental returns the largest number of machines that one rental may request. The names of
// the machines must fit in the rental's record.
func (a *Autoscaler) maxMachinesPerRental() int {
	a.state.RLock()
	defer a.state.RUnlock()
	nameBytes := max(tuning.MachineNameMinBytes, a.state.LongestMachineName()) + len(`"",`)
	return max(1, min(tuning.RentalMaxMachines, (a.committer.MaxRecordBytes()-tuning.RentalRecordBaseBytes)/nameBytes))
}

// rent writes a rental's record, so that its name is durable, then requests the machines from the cloud and
// records them.
func (a *Autoscaler) rent(ctx context.Context, leader wire.Condition, kind machineKind, count int) {
	name, ok := a.rentals.nextName(a.members.NodeName, a.members.Incarnation, kind)
	if !ok {
		return // the kind was refused after the plan was made
	}
	rentalRecord := record.Rental{
		Type:          kind.machineType,
		Zone:          kind.zone,
		Spot:          kind.spot,
		Count:         count,
		RequestedAtMs: time.Now().UnixMilli(),
	}
	key := record.RentalKey(name)
	modRevision, err := a.commit(ctx, kvstore.Transaction{
		Conditions: []wire.Condition{{Key: key, ModRevision: 0}, leader},
		Ops:        []wire.Op{kvstore.PutOp(key, rentalRecord)},
	})
	if err != nil {
		a.log.Info("recording a rental failed", "err", err)
		return
	}
	// resumeRentals retries a rental request without a response.
	_ = a.requestMachines(ctx, name, clusterstate.Rental{Rental: rentalRecord, ModRevision: modRevision})
}

// resumeRentals retries the requests of pending rentals, which have no recorded response, and deletes the
// records of rentals whose machines all have machine records. It reports whether any rental was pending.
func (a *Autoscaler) resumeRentals(ctx context.Context, leader wire.Condition) (hasPending bool) {
	pending, deletions := a.classifyRentals(leader)
	a.commitAll(ctx, deletions, deleteRentalRecord)
	for _, name := range slices.Sorted(maps.Keys(pending)) {
		if err := a.requestMachines(ctx, name, pending[name]); err != nil {
			break // the cloud is probably unavailable: the other requests would fail too
		}
	}
	return len(pending) > 0
}

// classifyRentals returns the pending rentals by name, and the transactions that delete the records of
// rentals whose machines all have machine records.
func (a *Autoscaler) classifyRentals(leader wire.Condition) (map[string]clusterstate.Rental, []kvstore.Transaction) {
	a.state.RLock()
	defer a.state.RUnlock()
	pending := map[string]clusterstate.Rental{}
	var deletions []kvstore.Transaction
	for name, rental := range a.state.Rentals {
		if len(rental.Machines) == 0 {
			pending[name] = rental
			continue
		}
		if slices.ContainsFunc(rental.Machines, a.lacksRecord) {
			continue
		}
		key := record.RentalKey(name)
		deletions = append(deletions, kvstore.Transaction{
			Conditions: []wire.Condition{leader, {Key: key, ModRevision: rental.ModRevision}},
			Ops:        []wire.Op{kvstore.DeleteOp(key)},
		})
	}
	return pending, deletions
}

// lacksRecord reports whether a machine is known only from a rental's record. Callers hold the state's lock.
func (a *Autoscaler) lacksRecord(name string) bool {
	machine := a.state.Machines[name]
	return machine != nil && machine.ModRevision == 0
}

// requestMachines requests a rental's machines from the cloud and records their names in the rental's
// record, or deletes the record if the cloud provides none or refuses the request. It returns an error if the
// request failed otherwise, for example without a response; the rental then stays pending. It also stays
// pending if the response can't be recorded: a retried request with the same name returns the same machines.
func (a *Autoscaler) requestMachines(ctx context.Context, name string, rental clusterstate.Rental) error {
	machines, err := a.cloud.Rent(ctx, wire.RentalRequest{
		Name:        name,
		MachineType: rental.Type,
		Zone:        rental.Zone,
		Spot:        rental.Spot,
		Count:       rental.Count,
	})
	kind := machineKind{machineType: rental.Type, zone: rental.Zone, spot: rental.Spot}
	log := a.log.With("machine_type", kind.machineType, "zone", kind.zone, "spot", kind.spot, "count", rental.Count)
	switch {
	case errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrMalformedRequest):
		log.Info("rental refused", "err", err)
		a.rentals.recordRefusal(kind)
	case err != nil:
		a.log.Info("rental request failed, will retry", "rental", name, "err", err)
		return err
	default:
		log.Info("machines rented", "machines", machines)
		if len(machines) < rental.Count {
			a.rentals.recordRefusal(kind)
		}
	}
	key := record.RentalKey(name)
	op := kvstore.DeleteOp(key)
	if len(machines) > 0 {
		rentalRecord := rental.Rental
		rentalRecord.Machines = machines
		op = kvstore.PutOp(key, rentalRecord)
	}
	conditions := []wire.Condition{{Key: key, ModRevision: rental.ModRevision}}
	if _, err := a.commit(ctx, kvstore.Transaction{Conditions: conditions, Ops: []wire.Op{op}}); err != nil {
		a.log.Debug("recording the response to a rental request failed", "rental", name, "err", err)
	}
	return nil
}
