package simulation

import (
	"context"
	"time"
)

// RestartController kills a controller and starts it again after a delay. It does nothing if the controller is
// already stopped.
func (r *Region) RestartController(ctx context.Context, index int, delay time.Duration) {
	if !r.controllerIsAlive(index) {
		return
	}
	r.KillController(index)
	r.StartControllerAfter(ctx, index, delay)
}

// IsolateController partitions a controller from the key-value store and from the other controllers until a time.
// Agents and users can still reach it.
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
