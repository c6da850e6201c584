package scheduler

import "testing"

// TestSettledMachinesAreLeftAlone: a round looks only at machines of which
// something new is known.
func TestReconciledMachinesAreSkipped(t *testing.T) {
	fixture := newTestCluster(t)
	for i := range 50 {
		fixture.addMachine(i, false)
	}
	engine := fixture.engines[0]
	engine.machinesToReconcile = engine.changeFeed.TakeMachines()
	fixture.cluster.RLock()
	c := engine.newCycle(testNow)
	c.reconcileMachines()
	fixture.cluster.RUnlock()
	if len(engine.machinesToReconcile) != 0 || len(c.outgoing) != 0 {
		t.Errorf("%d machines are still looked at, %d changes", len(engine.machinesToReconcile), len(c.outgoing))
	}
}
