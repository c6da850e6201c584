package scheduler

import "testing"

// TestUnchangedMachinesAreNotReconciledAgain checks that a reconciled machine is not reconciled again until something
// about it changes.
func TestUnchangedMachinesAreNotReconciledAgain(t *testing.T) {
	fixture := newTestCluster(t)
	for i := range 50 {
		fixture.addMachine(i, false)
	}
	engine := fixture.engines[0]
	engine.machinesToReconcile = engine.changeFeed.TakeMachines()
	c := fixture.inCycle(0, (*cycle).reconcileMachines)
	if len(engine.machinesToReconcile) != 0 || len(c.outgoing) != 0 {
		t.Errorf("%d machines are still to be reconciled, %d changes", len(engine.machinesToReconcile), len(c.outgoing))
	}
}
