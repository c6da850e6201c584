package scheduler

import (
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// ConfirmDeleted records that the cloud has confirmed the deletion of machines. Their tasks are released in the next
// cycle.
func (e *Engine) ConfirmDeleted(names []string) {
	e.mu.Lock()
	for _, name := range names {
		e.deletedMachines.confirm(name, time.Now())
		e.machinesToReconcile.add(name)
	}
	e.mu.Unlock()
	e.wake()
}

// MachinesToDelete returns at most tuning.ReturnMaxMachines machines of this node's shards that are to be deleted at
// the cloud. Machines with bound tasks come first, because those tasks start elsewhere once the deletion is
// confirmed; tasksWaiting reports whether there are any.
func (e *Engine) MachinesToDelete() (names []string, tasksWaiting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	bindingTargets := map[string]bool{}
	for binding := range e.changes.bindings() {
		bindingTargets[binding.machine] = true
	}
	var withTasks, idle []string
	for name, machine := range e.cluster.Machines {
		switch {
		case machine.Deleting && len(machine.Bindings) > 0:
			withTasks = e.appendDeletable(withTasks, name)
		// Nothing is placed on a draining machine any more, so it can be deleted as soon as it is empty.
		case machine.Deleting || machine.Draining && len(machine.Bindings) == 0 && !bindingTargets[name]:
			idle = e.appendDeletable(idle, name)
		}
	}
	for name := range e.cluster.OrphanBindings {
		withTasks = e.appendDeletable(withTasks, name)
	}
	names = slices.Concat(withTasks, idle)
	return names[:min(len(names), tuning.DeletionMaxMachines)], len(withTasks) > 0
}

// appendDeletable appends a machine to names if the list is not full, the machine is this node's and its deletion is
// not confirmed yet.
func (e *Engine) appendDeletable(names []string, name string) []string {
	if len(names) >= tuning.DeletionMaxMachines || e.deletedMachines.isConfirmed(name) {
		return names
	}
	if _, owned := e.membership.Ownership(record.ShardOf(name, e.cluster.ShardCount)); !owned {
		return names
	}
	return append(names, name)
}
