package binpack

import (
	"slices"

	"sableusher/internal/record"
)

// pendingBin is a set of pending machines of the same type, zone, price model and free capacity. It
// keeps allocation cheap: hundreds of machines that boot at once form a few bins, however many jobs
// are allocated to them.
type pendingBin struct {
	sample   *MachineInfo // a machine of this bin, or of the bin that this one was split from
	free     record.Resources
	machines []*MachineInfo
}

// binKey holds the properties that all machines of a bin share.
type binKey struct {
	machineType string
	zone        string
	spot        bool
	free        record.Resources
}

// GroupPending groups the pending machines into bins, for AllocatePending and ZoneWithMostCapacity. Machines
// that are too full for any pending task are left out.
func (inv *Inventory) GroupPending() {
	inv.pendingBins = inv.pendingBins[:0]
	binByKey := map[binKey]*pendingBin{}
	for _, info := range inv.pending {
		if !inv.minNeed.FitsIn(info.Free) {
			continue
		}
		machine := info.Machine
		key := binKey{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot, free: info.Free}
		bin := binByKey[key]
		if bin == nil {
			bin = &pendingBin{sample: info, free: info.Free}
			binByKey[key] = bin
			inv.pendingBins = append(inv.pendingBins, bin)
		}
		bin.machines = append(bin.machines, info)
	}
}

// AllocatePending places the remaining tasks of a request, those that did not fit on ready machines,
// on pending machines. Spot machines are filled before on-demand ones, and of either kind machines in
// use before unused ones. It subtracts the placed tasks from request.Remaining and adds them to the
// constraint.
func (inv *Inventory) AllocatePending(request *Request, constraint *ZoneConstraint) {
	for _, t := range pendingTiers {
		for i := 0; i < len(inv.pendingBins) && request.Remaining > 0; i++ { // fillBin appends bins
			bin := inv.pendingBins[i]
			if bin.tier() == t && Eligible(request.Spec, bin.sample.Machine) {
				inv.fillBin(bin, request, constraint)
			}
		}
		inv.pendingBins = slices.DeleteFunc(inv.pendingBins, func(bin *pendingBin) bool {
			return len(bin.machines) == 0
		})
	}
}

// pendingTiers are the tiers of bins in the order in which they are filled.
var pendingTiers = [...]tier{0, tierUnused, tierOnDemand, tierOnDemand | tierUnused}

// tier returns the drawbacks of the bin's machines.
func (b *pendingBin) tier() tier {
	return tierOnDemand.when(!b.sample.Machine.Spot) | tierUnused.when(b.free == b.sample.Capacity)
}

// fillBin removes machines from a bin and places tasks on them. Machines that still have capacity for
// some pending task are appended as a new bin.
func (inv *Inventory) fillBin(bin *pendingBin, request *Request, constraint *ZoneConstraint) {
	zone := bin.sample.Machine.Zone
	tasksPerMachine := TasksThatFit(request.Need, bin.free)
	for tasksPerMachine > 0 && len(bin.machines) > 0 && request.Remaining > 0 && constraint.Allows(zone) {
		allowed := min(request.Remaining, constraint.MaxPerZone-constraint.TasksByZone[zone])
		// Either a number of machines that are filled completely, or one that is filled in part.
		machineCount := min(max(allowed/tasksPerMachine, 1), len(bin.machines))
		tasks := min(tasksPerMachine, allowed)
		taken := bin.machines[:machineCount]
		bin.machines = bin.machines[machineCount:]
		for _, info := range taken {
			inv.adjustFree(info, request.Need, -float64(tasks))
		}
		request.Remaining -= machineCount * tasks
		constraint.addTasks(request.Spec, zone, machineCount*tasks)
		if left := taken[0].Free; inv.minNeed.FitsIn(left) {
			inv.pendingBins = append(inv.pendingBins, &pendingBin{sample: taken[0], free: left, machines: taken})
		}
	}
}
