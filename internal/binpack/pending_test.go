package binpack

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
)

// freePendingGPUs returns the sum of the free GPUs of the pending machines. It fails the test if any of
// them is overcommitted.
func freePendingGPUs(t *rapid.T, inv *Inventory) float64 {
	sum := 0.0
	for _, info := range inv.pending {
		sum += info.Free.GPUs
		if info.Free.GPUs < 0 || info.Free.CPUs < 0 {
			t.Fatalf("%s is overcommitted: %v", info.Machine.Name, info.Free)
		}
	}
	return sum
}

// TestPendingCapacityIsAllocatedOnce checks that the GPUs allocated on pending machines match the
// number of tasks that AllocatePending placed, and that no machine is overcommitted.
func TestPendingCapacityIsAllocatedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(testType)
		for i := range 12 {
			cluster.putTestMachine(i, record.Machine{
				Zone: testZones[rapid.IntRange(0, 2).Draw(t, "zone")],
				Spot: rapid.Bool().Draw(t, "spot"),
			}, 0)
		}
		inv := Refresh(nil, cluster.snapshot())
		for range rapid.IntRange(1, 5).Draw(t, "jobs") {
			request := drawRequest(t)
			filterFor(inv, &Request{Need: record.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}})
			if len(inv.pendingBins) == 0 {
				inv.GroupPending()
			}
			before, requested := freePendingGPUs(t, inv), request.Remaining
			inv.AllocatePending(request, unconstrained())
			allocated := before - freePendingGPUs(t, inv)
			if allocated != float64(requested-request.Remaining)*request.Need.GPUs {
				t.Errorf("%v GPUs allocated for %d tasks that need %v each",
					allocated, requested-request.Remaining, request.Need.GPUs)
			}
		}
	})
}
