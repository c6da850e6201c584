package simulation

import (
	"context"
	"maps"
	"slices"
	"time"
)

// PartitionZone partitions a zone from all other hosts until a time: its controllers, and the machines that run when
// the partition starts.
func (r *Region) PartitionZone(zone string, deliverLate bool, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isolatedHosts := map[string]bool{}
	for name, agent := range r.agents {
		if agent.zone == zone {
			isolatedHosts[name] = true
		}
	}
	for _, controller := range r.controllers {
		if controller.Settings.Zone == zone {
			isolatedHosts[controller.Settings.Node] = true
		}
	}
	r.Network.AddPartition(Partition{IsolatedHosts: isolatedHosts, DeliverLate: deliverLate, Until: until})
}

// FailZonePower cuts the power of a zone until a time: its machines lose their tasks and images, its controllers
// are killed, and the cloud rents out no machines there. When the power returns, the controllers start again, and
// the machines reboot with new sessions. Every failEvery-th machine fails for good at once, and the cloud lists it
// as failed; with failEvery 0 all machines reboot.
func (r *Region) FailZonePower(ctx context.Context, zone string, until time.Time, failEvery int) {
	r.failZoneMachines(zone, until, failEvery)
	for i, controller := range r.controllers {
		if controller.Settings.Zone == zone {
			r.KillController(i)
			r.StartControllerAfter(ctx, i, time.Until(until))
		}
	}
}

func (r *Region) failZoneMachines(zone string, until time.Time, failEvery int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.zoneUnavailableUntil[zone] = until
	count := 0
	for _, name := range slices.Sorted(maps.Keys(r.agents)) {
		agent := r.agents[name]
		if agent.zone != zone {
			continue
		}
		count++
		if failEvery > 0 && count%failEvery == 0 {
			r.failMachine(name)
			continue
		}
		agent.reportTasksLost()
		agent.reboot(until)
	}
}
