package scheduler

import (
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// refreshInventory brings the room that is kept from round to round up to date: what changed,
// what is on its way, what is being freed, and which images are believed to be where.
func (c *cycle) refreshInventory() *binpack.Inventory {
	names := c.changeFeed.TakeMachines()
	inventory := binpack.Refresh(c.retainedInventory, binpack.Snapshot{Now: c.now, State: c.cluster, LiveShards: c.liveShards, FencingTokens: c.fencingTokens, AssessReadiness: c.readiness}, names, c.machinesToRefresh)
	c.retainedInventory = inventory
	inventory.NeedPerGPU, inventory.CommonNeed = c.needPerGPU, c.commonNeed
	clear(c.machinesToRefresh)
	for name, amount := range c.inFlightByMachine {
		inventory.ConsumeByName(name, amount)
	}
	for name, task := range c.reservations.active(c.now) {
		inventory.ReserveFor(name, task.Job)
	}
	if c.now.Sub(inventory.HintsUpdatedAt(binpack.OwnMachines)) >= tuning.HoldersLife {
		inventory.SetImageHints(binpack.OwnMachines, c.now, func(yield func(image, name string) bool) {
			for image, names := range c.agents.MachinesByImage() {
				for _, name := range names {
					if !yield(image, name) {
						return
					}
				}
			}
		})
	}
	if inventory.HintsUpdatedAt(binpack.OtherMachines) != c.remoteImages.updatedAt {
		inventory.SetImageHints(binpack.OtherMachines, c.remoteImages.updatedAt, func(yield func(image, name string) bool) {
			for image, names := range c.remoteImages.machinesByImage {
				for name := range names {
					if !yield(image, name) {
						return
					}
				}
			}
		})
	}
	return inventory
}

// readiness is what a machine is good for in this node's rounds.
func (c *cycle) readiness(machine *clusterstate.Machine, owned bool) binpack.Readiness {
	switch {
	case c.failureDetector.ZoneUnavailable(machine.Zone):
		return binpack.Unavailable // nothing starts there before the cut is over
	case owned && c.agents.MachineStatus(machine.Name, c.fencingTokens[machine.Shard]).Schedulable, !owned && c.liveShards[machine.Shard] && (machine.Up || c.likelyBooted(machine)):
		return binpack.Ready
	case !machine.Up && c.bootOverdue(machine):
		return binpack.Unavailable // others are rented rather than waited for
	default:
		return binpack.Pending
	}
}

// bootOverdue tells whether a machine should have come up long ago.
func (c *cycle) bootOverdue(machine *clusterstate.Machine) bool {
	late := time.Duration(tuning.BootLate * c.cluster.Catalog.Types[machine.Type].BootSeconds * float64(time.Second))
	return c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > max(late, tuning.BootLateMin)
}

// likelyBooted tells whether a machine should be up by now.
func (c *cycle) likelyBooted(machine *clusterstate.Machine) bool {
	boot := tuning.BootLikely * c.cluster.Catalog.Types[machine.Type].BootSeconds * float64(time.Second)
	return machine.CreatedAtMs > 0 && c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > time.Duration(boot) && !c.bootOverdue(machine)
}
