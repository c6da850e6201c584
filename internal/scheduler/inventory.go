package scheduler

import (
	"iter"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// inventoryCache keeps the inventory from cycle to cycle, with what it does not show yet.
type inventoryCache struct {
	inventory    *binpack.Inventory // nil before the first cycle
	toRefresh    machineSet         // machines whose agents have sent news
	remoteImages imageHints
}

// refreshInventory brings the inventory that is kept from cycle to cycle up to date: what changed, what is
// in flight, what is reserved, and which images are believed to be where.
func (c *cycle) refreshInventory() *binpack.Inventory {
	snapshot := binpack.Snapshot{
		Now: c.now, State: c.cluster, LiveShards: c.shards.live, FencingTokens: c.shards.fencingTokens,
		AssessReadiness: c.readiness,
	}
	cache := &c.inventoryCache
	inventory := binpack.Refresh(cache.inventory, snapshot, c.changeFeed.TakeMachines(), cache.toRefresh)
	cache.inventory = inventory
	inventory.NeedPerGPU, inventory.CommonNeed = c.demand.needPerGPU, c.demand.commonTask
	clear(cache.toRefresh)
	for name, amount := range c.inFlight.byMachine {
		inventory.ConsumeByName(name, amount)
	}
	for name, task := range c.reservations.active(c.now) {
		inventory.ReserveFor(name, task.JobID)
	}
	c.refreshImageHints(inventory)
	return inventory
}

// refreshImageHints tells an inventory which machines are believed to hold which images: this node's from
// time to time, the other nodes' when there is news of them.
func (c *cycle) refreshImageHints(inventory *binpack.Inventory) {
	if c.now.Sub(inventory.HintsUpdatedAt(binpack.OwnMachines)) >= tuning.ImageHoldersMaxAge {
		inventory.SetImageHints(binpack.OwnMachines, c.now, c.ownImageHints())
	}
	if inventory.HintsUpdatedAt(binpack.OtherMachines) != c.inventoryCache.remoteImages.updatedAt {
		inventory.SetImageHints(binpack.OtherMachines, c.inventoryCache.remoteImages.updatedAt, c.remoteImageHints())
	}
}

// ownImageHints returns pairs of an image and a machine of this node that is believed to hold it.
func (c *cycle) ownImageHints() iter.Seq2[string, string] {
	return func(yield func(image, machine string) bool) {
		for image, machines := range c.agents.MachinesByImage() {
			for _, machine := range machines {
				if !yield(image, machine) {
					return
				}
			}
		}
	}
}

// remoteImageHints returns pairs of an image and a machine of another node that is believed to hold it.
func (c *cycle) remoteImageHints() iter.Seq2[string, string] {
	return func(yield func(image, machine string) bool) {
		for image, machines := range c.inventoryCache.remoteImages.machinesByImage {
			for machine := range machines {
				if !yield(image, machine) {
					return
				}
			}
		}
	}
}

// readiness is what a machine is good for in this node's scheduling cycles.
func (c *cycle) readiness(machine *clusterstate.Machine, owned bool) binpack.Readiness {
	switch {
	case c.failureDetector.ZoneUnavailable(machine.Zone):
		return binpack.Unavailable // nothing starts there before the cut is over
	case owned && c.isSchedulable(machine), !owned && c.isLikelyUp(machine):
		return binpack.Ready
	case !machine.Up && c.bootOverdue(machine):
		return binpack.Unavailable // others are rented rather than waited for
	default:
		return binpack.Pending
	}
}

// isSchedulable reports whether tasks may start on a machine of this node, by what its agent reports.
func (c *cycle) isSchedulable(machine *clusterstate.Machine) bool {
	return c.agents.MachineStatus(machine.Name, c.shards.fencingTokens[machine.Shard]).Schedulable
}

// isLikelyUp reports whether tasks may be planned on another node's machine.
func (c *cycle) isLikelyUp(machine *clusterstate.Machine) bool {
	return c.shards.live[machine.Shard] && (machine.Up || c.likelyBooted(machine))
}

// bootOverdue reports whether a machine should have come up long ago.
func (c *cycle) bootOverdue(machine *clusterstate.Machine) bool {
	late := c.bootTimes(machine, tuning.BootOverdueFactor)
	return c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > max(late, tuning.MinBootOverdue)
}

// likelyBooted reports whether a machine should be up by now.
func (c *cycle) likelyBooted(machine *clusterstate.Machine) bool {
	boot := c.bootTimes(machine, tuning.BootLikelyFactor)
	return machine.CreatedAtMs > 0 && c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > boot && !c.bootOverdue(machine)
}

// bootTimes is a multiple of the nominal boot time of a machine's type.
func (c *cycle) bootTimes(machine *clusterstate.Machine, factor float64) time.Duration {
	return time.Duration(factor * c.cluster.Catalog.Types[machine.Type].BootSeconds * float64(time.Second))
}
