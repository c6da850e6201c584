package binpack

import (
	"slices"

	"sableusher/internal/record"
)

// pendingBin is machines coming up that are alike: of one type, zone and kind, with as much free.
// Hundreds that boot at once are a few bins, however many jobs are held against them.
type pendingBin struct {
	sample   *MachineInfo // any of them
	free     record.Resources
	machines []*MachineInfo
}

// GroupPending puts the machines that are coming up into bins.
func (inv *Inventory) GroupPending() {
	type alike struct {
		typ, zone string
		spot      bool
		free      record.Resources
	}
	inv.pendingBins = inv.pendingBins[:0]
	found := map[alike]*pendingBin{}
	for _, info := range inv.pending {
		if !inv.minNeed.FitsIn(info.Free) {
			continue
		}
		k := alike{info.Machine.Type, info.Machine.Zone, info.Machine.Spot, info.Free}
		b := found[k]
		if b == nil {
			b = &pendingBin{sample: info, free: info.Free}
			found[k] = b
			inv.pendingBins = append(inv.pendingBins, b)
		}
		b.machines = append(b.machines, info)
	}
}

// AllocatePending sets room on machines coming up aside for a job's tasks that found none on
// those that are up: cheap ones first, then those in use.
func (inv *Inventory) AllocatePending(request *Request, constraint *ZoneConstraint) {
	for tier := range 4 {
		for i := 0; i < len(inv.pendingBins) && request.Remaining > 0; i++ { // grows as bins are divided
			b := inv.pendingBins[i]
			if bitIf(!b.sample.Machine.Spot, 2)|bitIf(b.free == b.sample.Capacity, 1) != tier || !Eligible(request.Spec, b.sample.Machine) {
				continue
			}
			each := TasksThatFit(request.Need, b.free)
			for each > 0 && len(b.machines) > 0 && request.Remaining > 0 && constraint.Allows(b.sample.Machine.Zone) {
				zone := b.sample.Machine.Zone
				tasks := min(request.Remaining, constraint.MaxPerZone-constraint.TasksByZone[zone])
				// As many machines as are filled, or one in part.
				count := min(max(tasks/each, 1), len(b.machines))
				put := min(each, tasks)
				taken := b.machines[:count]
				b.machines = b.machines[count:]
				for _, info := range taken {
					inv.Consume(info, request.Need, float64(put))
				}
				request.Remaining -= count * put
				constraint.addTasks(request.Spec, zone, count*put)
				if rest := taken[0].Free; inv.minNeed.FitsIn(rest) {
					inv.pendingBins = append(inv.pendingBins, &pendingBin{sample: taken[0], free: rest, machines: taken})
				}
			}
		}
		inv.pendingBins = slices.DeleteFunc(inv.pendingBins, func(b *pendingBin) bool { return len(b.machines) == 0 })
	}
}
