package autoscaler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/wire"
)

// scaleIn drains machines that have been idle for the configured time, longest idle first. It keeps the
// headroom, the zone reserve and the minimum number of machines.
func (a *Autoscaler) scaleIn(
	ctx context.Context, leader wire.Condition, demand scheduler.UnmetDemand, planned []plannedMachine,
) {
	now := time.Now()
	a.trackIdleMachines(demand.IdleMachines, now)
	candidates := slices.SortedFunc(maps.Keys(a.idleSince), func(x, y string) int {
		return cmp.Or(a.idleSince[x].Compare(a.idleSince[y]), cmp.Compare(x, y))
	})
	a.state.RLock()
	plan := a.newScaleInPlan(now, demand, planned)
	var transactions []kvstore.Transaction
	for _, name := range candidates {
		if plan.machinesLeft <= a.operator.MinMachines {
			break
		}
		machine := a.state.Machines[name]
		if machine == nil || !plan.canDrain(machine) {
			continue
		}
		plan.countDrained(machine)
		machineRecord := machine.Machine
		machineRecord.Draining = true
		transactions = append(transactions, putMachine(leader, name, machine.ModRevision, machineRecord))
	}
	a.state.RUnlock()
	a.commitAll(ctx, transactions, drainMachine)
}

// trackIdleMachines records since when each machine has been continuously idle.
func (a *Autoscaler) trackIdleMachines(idle []string, now time.Time) {
	isIdle := make(map[string]bool, len(idle))
	for _, name := range idle {
		isIdle[name] = true
		if _, isTracked := a.idleSince[name]; !isTracked {
			a.idleSince[name] = now
		}
	}
	maps.DeleteFunc(a.idleSince, func(name string, _ time.Time) bool { return !isIdle[name] })
}

// scaleInPlan is the capacity that may still be drained; countDrained reduces it.
type scaleInPlan struct {
	autoscaler    *Autoscaler
	now           time.Time
	commonTask    record.Resources
	isBeingRented map[machineKind]bool
	machinesLeft  int // the machines that are neither being deleted nor draining
	// surplusOnDemand and surplusSpot are the spare capacity beyond the headroom, in machines.
	surplusOnDemand float64
	surplusSpot     float64
	// zoneReserve and spareInZone are the capacity to keep free and the spare capacity of each zone, in
	// on-demand machines.
	zoneReserve map[string]float64
	spareInZone map[string]float64
}

// newScaleInPlan computes the capacity that may be drained. Callers hold the state's lock.
func (a *Autoscaler) newScaleInPlan(
	now time.Time, demand scheduler.UnmetDemand, planned []plannedMachine,
) *scaleInPlan {
	plan := &scaleInPlan{
		autoscaler:    a,
		now:           now,
		commonTask:    demand.CommonTask,
		isBeingRented: map[machineKind]bool{},
		spareInZone:   map[string]float64{},
	}
	for _, machine := range planned {
		plan.isBeingRented[machine.machineKind] = true
	}
	for _, machine := range a.state.Machines {
		if !machine.Deleting && !machine.Draining {
			plan.machinesLeft++
		}
	}
	target := a.headroomTarget(now)
	plan.surplusOnDemand = min(
		demand.SpareOnDemand.Machines-target.onDemand,
		float64(demand.SpareOnDemand.IdleMachineCount)-target.idleMachines,
	)
	plan.surplusSpot = demand.SpareSpot.Machines - target.spot
	plan.zoneReserve = a.zoneReserve()
	maps.Copy(plan.spareInZone, demand.SpareOnDemand.MachinesByZone)
	return plan
}

// surplus returns the surplus that a machine belongs to: that of spot or of on-demand machines.
func (p *scaleInPlan) surplus(machine *clusterstate.Machine) *float64 {
	if machine.Spot {
		return &p.surplusSpot
	}
	return &p.surplusOnDemand
}

// canDrain reports whether an idle machine may be drained. A machine with fewer CPUs than a common task
// needs is kept while such tasks wait: small tasks that run on it leave the large machines to them.
func (p *scaleInPlan) canDrain(machine *clusterstate.Machine) bool {
	a := p.autoscaler
	kind := machineKind{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot}
	switch {
	case !machine.Up || machine.Draining:
		return false
	case p.isBeingRented[kind] || *p.surplus(machine) < 1 || p.isReserved(machine):
		return false
	case p.now.Sub(a.idleSince[machine.Name]) < config.ToDuration(a.operator.IdleHoldSeconds):
		return false
	default:
		return p.commonTask.CPUs <= a.state.Catalog.Types[machine.Type].CPUs
	}
}

// isReserved reports whether draining a machine would leave its zone with less than the reserve.
func (p *scaleInPlan) isReserved(machine *clusterstate.Machine) bool {
	reserve := p.zoneReserve[machine.Zone]
	return !machine.Spot && reserve > 0 && p.spareInZone[machine.Zone]-1 < reserve
}

// countDrained subtracts a drained machine from the plan's capacity.
func (p *scaleInPlan) countDrained(machine *clusterstate.Machine) {
	*p.surplus(machine)--
	if !machine.Spot {
		p.spareInZone[machine.Zone]--
	}
	p.machinesLeft--
}
