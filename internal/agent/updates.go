package agent

import "sableusher/internal/wire"

// updates collects what the scheduler is to learn from reports until it takes it. Registry.mu guards the maps.
type updates struct {
	machines  map[string]struct{}       // whose reports say something new
	adoptions map[string]wire.Heartbeat // of machines whose records are missing or behind, their newest report
	changed   chan struct{}             // has an element while something is to be taken
}

func newUpdates() updates {
	return updates{
		machines:  map[string]struct{}{},
		adoptions: map[string]wire.Heartbeat{},
		changed:   make(chan struct{}, 1),
	}
}

// machineChanged notes that a machine's report says something new.
func (u *updates) machineChanged(machineName string) {
	u.machines[machineName] = struct{}{}
	u.notify()
}

// adopt notes that the record of a machine is missing or behind its report.
func (u *updates) adopt(report *wire.Heartbeat) {
	u.adoptions[report.Machine] = *report
	u.notify()
}

func (u *updates) notify() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// Changed receives after reports that may free resources or move tasks.
func (r *Registry) Changed() <-chan struct{} { return r.updates.changed }

// TakeUpdatedMachines gives the machines whose reports said something new since the last call, which one
// caller makes: what follows from reports costs as much as they change, not as much as there are machines. The
// caller owns the map.
func (r *Registry) TakeUpdatedMachines() map[string]struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.updates.machines
	r.updates.machines = map[string]struct{}{}
	return out
}

// TakeAdoptions gives, since the last call, the newest reports of machines whose records are missing or
// behind. The caller owns the map.
func (r *Registry) TakeAdoptions() map[string]wire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.updates.adoptions
	r.updates.adoptions = map[string]wire.Heartbeat{}
	return out
}
