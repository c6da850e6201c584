package binpack

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// canPlaceAll reports whether all tasks of a request fit on the ready machines, in one zone if the
// job requires that. It only counts the tasks that fit on each machine.
func canPlaceAll(inv *Inventory, request *Request) bool {
	tasksByZone, total := map[string]int{}, 0
	for _, info := range inv.ready {
		if !Eligible(request.Spec, info.Machine) {
			continue
		}
		tasks := TasksThatFit(request.Need, info.Free)
		tasksByZone[info.Machine.Zone] += tasks
		total += tasks
	}
	if request.Spec.SameZone {
		return slices.Max(append(slices.Collect(maps.Values(tasksByZone)), 0)) >= request.Remaining
	}
	return total >= request.Remaining
}

// TestGangAllocationIsAllOrNothing checks that AllocateGang places all tasks or none, never more than
// a machine has free, and in one zone if the job requires that. It must succeed whenever canPlaceAll
// finds enough capacity.
func TestGangAllocationIsAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(testType)
		for i := range 12 {
			drawMachine(t, cluster, i)
		}
		inv := Refresh(nil, cluster.snapshot())
		request := drawRequest(t)
		filterFor(inv, request)
		before, isPossible := freeByMachine(inv), canPlaceAll(inv, request)
		picks := inv.AllocateGang(request, inv.FittingMachines(request), *unconstrained(), nil)
		if (picks != nil) != isPossible || picks != nil && len(picks) != request.Spec.TaskCount {
			t.Fatalf("%d of %d tasks placed, capacity for all: %v", len(picks), request.Spec.TaskCount, isPossible)
		}
		placed := map[string]int{}
		for _, info := range picks {
			machine := info.Machine
			placed[machine.Name]++
			inOtherZone := request.Spec.SameZone && machine.Zone != picks[0].Machine.Zone
			if inOtherZone || !Eligible(request.Spec, machine) {
				t.Errorf("a task was placed on %s in zone %s, which the job does not allow", machine.Name, machine.Zone)
			}
		}
		for name, free := range before {
			want, left := free.PlusTimes(request.Need, -float64(placed[name])), inv.machines[name].Free
			if left != want || placed[name] > TasksThatFit(request.Need, free) {
				t.Errorf("%s has %v left of %v after %d tasks", name, left, free, placed[name])
			}
		}
	})
}
