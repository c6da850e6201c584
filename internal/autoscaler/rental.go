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

// rentAll rents the planned machines, several rentals at once, the most needed kinds first. It
// returns once all have been answered or have failed.
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
		for left := countByKind[kind]; left > 0; left -= limit {
			group.Go(func() error {
				a.rent(ctx, leader, kind, min(left, limit))
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return no errors: a rental that fails is resumed later
}

// maxMachinesPerRental returns how many machines one rental may ask for: their names go into its
// record.
func (a *Autoscaler) maxMachinesPerRental() int {
	a.state.RLock()
	defer a.state.RUnlock()
	nameBytes := max(tuning.MachineNameMinBytes, a.state.LongestMachineName()) + len(`"",`)
	return max(1, min(tuning.RentalMaxMachines, (a.committer.MaxRecordBytes()-tuning.RentalRecordBaseBytes)/nameBytes))
}

// rent makes a rental's name durable, asks the cloud, and records the machines.
func (a *Autoscaler) rent(ctx context.Context, leader wire.Condition, kind machineKind, count int) {
	name, ok := a.rentals.nextName(a.members.NodeName, a.members.Incarnation, kind)
	if !ok {
		return // refused meanwhile
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
		a.log.Info("rental not recorded", "err", err)
		return
	}
	// A rental without an answer is resumed later.
	_ = a.requestMachines(ctx, name, clusterstate.Rental{Rental: rentalRecord, ModRevision: modRevision})
}

// resumeRentals asks again for the rentals without a known answer, and deletes the records of those
// whose machines all have records of their own. It reports whether there were any of the former.
func (a *Autoscaler) resumeRentals(ctx context.Context, leader wire.Condition) (isAnyOpen bool) {
	open, recorded := a.sortRentals(leader)
	a.commitAll(ctx, recorded, deleteRentalRecord)
	for _, name := range slices.Sorted(maps.Keys(open)) {
		if err := a.requestMachines(ctx, name, open[name]); err != nil {
			break // the cloud is unavailable: the others wait as well
		}
	}
	return len(open) > 0
}

// sortRentals returns the rentals without a known answer, by name, and the transactions that delete
// those whose machines all have records of their own.
func (a *Autoscaler) sortRentals(leader wire.Condition) (map[string]clusterstate.Rental, []kvstore.Transaction) {
	a.state.RLock()
	defer a.state.RUnlock()
	open := map[string]clusterstate.Rental{}
	var deletions []kvstore.Transaction
	for name, rental := range a.state.Rentals {
		if len(rental.Machines) == 0 {
			open[name] = rental
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
	return open, deletions
}

// lacksRecord reports whether a machine is known only from a rental.
func (a *Autoscaler) lacksRecord(name string) bool {
	machine := a.state.Machines[name]
	return machine != nil && machine.ModRevision == 0
}

// requestMachines asks the cloud for a rental's machines and records the answer, or deletes the
// record if there are none. It fails if the cloud gives no answer; the rental then stays open. If
// the answer can't be recorded, the rental is resumed later: the same name gives the same machines.
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
		a.log.Info("rental not answered", "rental", name, "err", err)
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
		a.log.Debug("rental answer not recorded", "rental", name, "err", err)
	}
	return nil
}
