package scheduler

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// ConfirmDeleted tells that the cloud has confirmed a machine's deletion.
func (e *Engine) ConfirmDeleted(names []string) {
	e.mu.Lock()
	for _, name := range names {
		e.deletedMachines.confirm(name, time.Now())
		e.machinesToReconcile.add(name)
	}
	e.mu.Unlock()
	e.wake()
}

// MachinesToDelete lists machines to be deleted at the cloud, first those on which tasks are still bound:
// they start elsewhere once the deletion is confirmed. waited tells whether there are any.
func (e *Engine) MachinesToDelete() (names []string, tasksWait bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	var urgent, idle []string
	appendOwned := func(list *[]string, name string) {
		if _, ok := e.membership.Ownership(record.ShardOf(name, e.cluster.ShardCount)); ok && !e.deletedMachines.isConfirmed(name) && len(*list) < tuning.ReturnMax {
			*list = append(*list, name)
		}
	}
	bindingTargets := map[string]bool{}
	for binding := range e.changes.bindings() {
		bindingTargets[binding.machine] = true
	}
	for name, machine := range e.cluster.Machines {
		switch {
		case machine.Deleting && len(machine.Bindings) > 0:
			appendOwned(&urgent, name)
		// Nothing is placed on a drained machine any more: once it is empty it can go.
		case machine.Deleting || machine.Draining && len(machine.Bindings) == 0 && !bindingTargets[name]:
			appendOwned(&idle, name)
		}
	}
	for name := range e.cluster.OrphanBindings {
		appendOwned(&urgent, name)
	}
	names = append(urgent, idle...)
	return names[:min(len(names), tuning.ReturnMax)], len(urgent) > 0
}
