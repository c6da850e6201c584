package scheduler

import (
	"iter"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// inventoryCache keeps the inventory from one cycle to the next, together with the updates that are not yet applied
// to it.
type inventoryCache struct {
	inventory    *binpack.Inventory // nil before the first cycle
	toRefresh    machineSet         // machines with updates that the inventory doesn't include yet
	remoteImages imageHints
}

// refreshInventory updates the cached inventory and returns it: it applies changed machines, bindings in flight,
// reservations and image hints.
func (c *cycle) refreshInventory() *binpack.Inventory {
	snapshot := binpack.Snapshot{
		Now: c.now, State: c.cluster, LiveShards: c.shards.live, FencingTokens: c.shards.fencingTokens,
		AssessReadiness: c.readiness,
	}
	cache := &c.inventoryCache
	inventory := binpack.Refresh(cache.inventory, snapshot, c.changeFeed.TakeMachines(), cache.toRefresh)
	cache.inventory = inventory
	inventory.NeedPerGPU, inventory.CommonTaskNeed = c.demand.needPerGPU, c.demand.commonTask
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

// refreshImageHints updates an inventory's hints on which machines probably hold which images: those of this node's
// machines every tuning.ImageHoldersMaxAge, those of other nodes' machines when new responses have arrived.
func (c *cycle) refreshImageHints(inventory *binpack.Inventory) {
	if c.now.Sub(inventory.HintsUpdatedAt(binpack.OwnMachines)) >= tuning.ImageHoldersMaxAge {
		inventory.SetImageHints(binpack.OwnMachines, c.now, c.ownImageHints())
	}
	if inventory.HintsUpdatedAt(binpack.OtherMachines) != c.inventoryCache.remoteImages.updatedAt {
		inventory.SetImageHints(binpack.OtherMachines, c.inventoryCache.remoteImages.updatedAt, c.remoteImageHints())
	}
}

// ownImageHints returns pairs of an image and a machine of this node that probably holds it.
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

// remoteImageHints returns pairs of an image and a machine of another node that probably holds it.
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

// readiness returns whether this node's scheduling cycles may use a machine now, later or not at all.
func (c *cycle) readiness(machine *clusterstate.Machine, owned bool) binpack.Readiness {
	switch {
	case c.failureDetector.ZoneUnavailable(machine.Zone):
		return binpack.Unavailable // no task starts in a zone while it is partitioned from this node or lost
	case owned && c.isSchedulable(machine), !owned && c.isLikelyUp(machine):
		return binpack.Ready
	case !machine.Up && c.bootOverdue(machine):
		return binpack.Unavailable // other machines are rented instead of waiting for this one
	default:
		return binpack.Pending
	}
}

// isSchedulable reports whether tasks may start on a machine of this node, according to its agent's status.
func (c *cycle) isSchedulable(machine *clusterstate.Machine) bool {
	return c.agents.MachineStatus(machine.Name, c.shards.fencingTokens[machine.Shard]).Schedulable
}

// isLikelyUp reports whether another node's machine may be used in plans: its shard's owner is alive, and the machine
// is recorded as up or should have booted by now.
func (c *cycle) isLikelyUp(machine *clusterstate.Machine) bool {
	return c.shards.live[machine.Shard] && (machine.Up || c.likelyBooted(machine))
}

// bootOverdue reports whether a machine is so late that it should not be waited for.
func (c *cycle) bootOverdue(machine *clusterstate.Machine) bool {
	late := c.bootTimes(machine, tuning.BootOverdueFactor)
	return c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > max(late, tuning.MinBootOverdue)
}

// likelyBooted reports whether a machine should have booted by now and is not overdue.
func (c *cycle) likelyBooted(machine *clusterstate.Machine) bool {
	boot := c.bootTimes(machine, tuning.BootLikelyFactor)
	return machine.CreatedAtMs > 0 && c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > boot && !c.bootOverdue(machine)
}

// bootTimes returns a multiple of the nominal boot time of a machine's type.
func (c *cycle) bootTimes(machine *clusterstate.Machine, factor float64) time.Duration {
	return time.Duration(factor * c.cluster.Catalog.Types[machine.Type].BootSeconds * float64(time.Second))
}
