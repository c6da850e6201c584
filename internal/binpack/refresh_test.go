package binpack

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestRefreshedInventoryEqualsNewOne checks that an inventory that is refreshed from cycle to cycle
// with only the changed machines equals a newly built one, whatever was allocated in between.
func TestRefreshedInventoryEqualsNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(testType)
		changes := cluster.state.FollowChanges()
		for i := range 12 {
			drawMachine(t, cluster, i)
		}
		var kept *Inventory
		for range rapid.IntRange(1, 6).Draw(t, "cycles") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				i := rapid.IntRange(0, 15).Draw(t, "machine")
				if rapid.IntRange(0, 4).Draw(t, "deleted") == 0 {
					cluster.deleteMachine(i)
					continue
				}
				drawMachine(t, cluster, i)
			}
			kept = Refresh(kept, cluster.snapshot(), changes.TakeMachines())
			checkEqualsNewOne(t, kept, Refresh(nil, cluster.snapshot()))

			request := drawRequest(t)
			filterFor(kept, request)
			kept.Allocate(request, kept.FittingMachines(request), unconstrained(), nil)
			kept.ReserveFor(machineName(rapid.IntRange(0, 15).Draw(t, "reserved")), "a")
		}
	})
}

// checkEqualsNewOne checks that a refreshed inventory has the free capacity and the lists of a new one.
func checkEqualsNewOne(t *rapid.T, kept, fresh *Inventory) {
	if !maps.Equal(freeByMachine(kept), freeByMachine(fresh)) ||
		!slices.Equal(machineNames(kept.ready), machineNames(fresh.ready)) ||
		!slices.Equal(machineNames(kept.pending), machineNames(fresh.pending)) {
		t.Fatalf("refreshed inventory: free %v, ready %v, pending %v; new inventory: free %v, ready %v, pending %v",
			freeByMachine(kept), machineNames(kept.ready), machineNames(kept.pending),
			freeByMachine(fresh), machineNames(fresh.ready), machineNames(fresh.pending))
	}
}
