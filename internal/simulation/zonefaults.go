package simulation

import (
	"context"
	"maps"
	"slices"
	"time"
)

// PartitionZone cuts a zone off from everything: its machines and the controllers in it.
func (r *Region) PartitionZone(zone string, deliverLate bool, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inside := map[string]bool{}
	for name, agent := range r.agents {
		if agent.zone == zone {
			inside[name] = true
		}
	}
	for _, controller := range r.controllers {
		if controller.Settings.Zone == zone {
			inside[controller.Settings.Node] = true
		}
	}
	r.Network.AddPartition(Partition{IsolatedHosts: inside, DeliverLate: deliverLate, Until: until})
}

// FailZonePower takes the power from a zone until a time: what is on its machines is lost, its
// controllers end, nothing is rented there. Then its controllers start again, and of its
// machines all but every loseEvery-th come back, with new sessions and without images; those that
// don't are listed as failed. With loseEvery 0 all come back.
func (r *Region) FailZonePower(ctx context.Context, zone string, until time.Time, loseEvery int) {
	r.failZoneMachines(zone, until, loseEvery)
	for i, controller := range r.controllers {
		if controller.Settings.Zone == zone {
			r.KillController(i)
			r.StartControllerAfter(ctx, i, time.Until(until))
		}
	}
}

func (r *Region) failZoneMachines(zone string, until time.Time, loseEvery int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.zoneClosedUntil[zone] = until
	count := 0
	for _, name := range slices.Sorted(maps.Keys(r.agents)) {
		agent := r.agents[name]
		if agent.zone != zone {
			continue
		}
		count++
		if loseEvery > 0 && count%loseEvery == 0 {
			r.failMachine(name)
			continue
		}
		agent.loseTasks()
		agent.reboot(until)
	}
}
