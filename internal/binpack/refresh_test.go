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
		changes := cluster.state.NewChangeFeed()
		for i := range 12 {
			drawMachine(t, cluster, i)
		}
		var refreshed *Inventory
		for range rapid.IntRange(1, 6).Draw(t, "cycles") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				i := rapid.IntRange(0, 15).Draw(t, "machine")
				if rapid.IntRange(0, 4).Draw(t, "deleted") == 0 {
					cluster.deleteMachine(i)
					continue
				}
				drawMachine(t, cluster, i)
			}
			refreshed = Refresh(refreshed, cluster.snapshot(), changes.TakeMachines())
			checkEqualsNewOne(t, refreshed, Refresh(nil, cluster.snapshot()))

			request := drawRequest(t)
			filterFor(refreshed, request)
			refreshed.Allocate(request, refreshed.FittingMachines(request), unconstrained(), nil)
			refreshed.ReserveFor(machineName(rapid.IntRange(0, 15).Draw(t, "reserved")), "a")
		}
	})
}

// checkEqualsNewOne checks that a refreshed inventory has the free capacity and the lists of a new one.
func checkEqualsNewOne(t *rapid.T, refreshed, fresh *Inventory) {
	if !maps.Equal(freeByMachine(refreshed), freeByMachine(fresh)) ||
		!slices.Equal(machineNames(refreshed.ready), machineNames(fresh.ready)) ||
		!slices.Equal(machineNames(refreshed.pending), machineNames(fresh.pending)) {
		t.Fatalf("refreshed inventory: free %v, ready %v, pending %v; new inventory: free %v, ready %v, pending %v",
			freeByMachine(refreshed), machineNames(refreshed.ready), machineNames(refreshed.pending),
			freeByMachine(fresh), machineNames(fresh.ready), machineNames(fresh.pending))
	}
}
