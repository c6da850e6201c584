package scheduler

import (
	"slices"
	"testing"

	"sableusher/internal/record"
)

// TestMachinesToDelete checks that MachinesToDelete returns those of a node's own machines that are being deleted,
// and the draining ones without tasks and without bindings in flight. Machines with tasks come first; machines whose
// deletion is confirmed are left out.
func TestMachinesToDelete(t *testing.T) {
	fixture := newTestCluster(t)
	var own []string // machines of the first node
	for i := 0; len(own) < 6; i++ {
		if name := fixture.addMachine(i, false); record.ShardOf(name, testShards) == 0 {
			own = append(own, name)
		}
	}
	engine := fixture.engines[0]
	mark := func(name string, change func(machine *record.Machine)) {
		machine := fixture.cluster.Machines[name].Machine
		change(&machine)
		fixture.put(record.MachineKey(name), machine)
	}
	deletingIdle, deletingBusy, drainingEmpty, drainingTarget, confirmed := own[0], own[1], own[2], own[3], own[4]
	for _, name := range []string{deletingIdle, deletingBusy, confirmed} {
		mark(name, func(machine *record.Machine) { machine.Deleting = true })
	}
	for _, name := range []string{drainingEmpty, drainingTarget} {
		mark(name, func(machine *record.Machine) { machine.Draining = true })
	}
	fixture.addJob(arraySpec(1, 1), boundTask(0, deletingBusy))
	engine.changes.start(&recordChange{bindings: []inFlightBinding{{machine: drainingTarget}}})
	engine.ConfirmDeleted([]string{confirmed})

	names, tasksWaiting := engine.MachinesToDelete()
	if len(names) == 0 || names[0] != deletingBusy || !tasksWaiting {
		t.Errorf("to be deleted: %v, tasks waiting: %v; want %s first", names, tasksWaiting, deletingBusy)
	}
	slices.Sort(names)
	want := []string{deletingBusy, deletingIdle, drainingEmpty}
	slices.Sort(want)
	if !slices.Equal(names, want) {
		t.Errorf("to be deleted: %v, want %v", names, want)
	}
	for i, other := range fixture.engines[1:] {
		if names, _ := other.MachinesToDelete(); len(names) != 0 {
			t.Errorf("node %d deletes another node's machines: %v", i+1, names)
		}
	}
}
