package agent

import "sableusher/internal/wire"

// updates collects the changes from reports until the scheduler takes them. Registry.mu guards the maps.
type updates struct {
	machines        map[string]struct{}       // machines with changed reports
	outdatedRecords map[string]wire.Heartbeat // newest reports of machines whose records are missing or outdated
	changed         chan struct{}             // has an element after an update, until the scheduler receives it
}

func newUpdates() updates {
	return updates{
		machines:        map[string]struct{}{},
		outdatedRecords: map[string]wire.Heartbeat{},
		changed:         make(chan struct{}, 1),
	}
}

// machineChanged records that a machine's report has changed.
func (u *updates) machineChanged(machineName string) {
	u.machines[machineName] = struct{}{}
	u.notify()
}

// addOutdatedRecord records that the record of a machine is missing or does not match its report.
func (u *updates) addOutdatedRecord(report *wire.Heartbeat) {
	u.outdatedRecords[report.Machine] = *report
	u.notify()
}

func (u *updates) notify() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives an element after reports that may free resources or move tasks.
func (r *Registry) Changed() <-chan struct{} { return r.updates.changed }

// TakeUpdatedMachines returns the names of the machines whose reports have changed since the last call, so that the
// cost of processing reports depends on the number of changes and not on the number of machines. It must have a
// single caller. The caller owns the map.
func (r *Registry) TakeUpdatedMachines() map[string]struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.updates.machines
	r.updates.machines = map[string]struct{}{}
	return out
}

// TakeOutdatedRecords returns the newest reports, by machine name, of the machines whose records were found missing or
// outdated since the last call. The caller owns the map.
func (r *Registry) TakeOutdatedRecords() map[string]wire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.updates.outdatedRecords
	r.updates.outdatedRecords = map[string]wire.Heartbeat{}
	return out
}
