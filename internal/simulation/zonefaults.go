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

// IsolateController cuts a controller off from the key-value store and from the other controllers; agents
// and users still reach it.
func (r *Region) IsolateController(index int, deliverLate bool, until time.Time) {
	name := r.ControllerName(index)
	r.Network.AddPartition(Partition{From: name, To: hostKV, DeliverLate: deliverLate, Until: until})
	for i := range r.controllers {
		if i != index {
			r.Network.AddPartition(Partition{
				From: name, To: r.ControllerName(i), DeliverLate: deliverLate, Until: until,
			})
		}
	}
}

// StartCloudOutage makes the cloud refuse everything until a time.
func (r *Region) StartCloudOutage(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.outageUntil = until
}

// BootFast lets machines that are rented until a time be up within two seconds.
func (r *Region) BootFast(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.fastBootUntil = until
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
