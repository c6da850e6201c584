package binpack

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// sizedTypes are machine types of three sizes. The largest fetches images more slowly than the others.
var sizedTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 8, ImageFetchGBps: 0.8, Zones: testZones},
	{Name: "m", CPUs: 8, MemoryGB: 64, ImageFetchGBps: 0.8, Zones: testZones},
	{Name: "l", CPUs: 32, MemoryGB: 64, ImageFetchGBps: 0.2, Zones: testZones},
}

// commonTaskNeed is the need of a common task: all cores of a medium machine.
var commonTaskNeed = record.Resources{CPUs: 8, MemoryGB: 13}

func drawSizedCluster(t *rapid.T) *testCluster {
	cluster := newTestCluster(sizedTypes...)
	small := wire.JobSpec{Kind: wire.KindService, TaskCount: 32, CPUs: 1, MemoryGB: 0.5}
	for i := range rapid.IntRange(1, 10).Draw(t, "machines") {
		machineType := sizedTypes[rapid.IntRange(0, 2).Draw(t, "type")]
		machineRecord := record.Machine{Type: machineType.Name, Zone: "east", Up: true}
		cluster.putMachine(i, machineRecord, small, rapid.IntRange(0, int(machineType.CPUs)).Draw(t, "CPUs in use"))
	}
	return cluster
}

// newSizedInventory returns an inventory of the cluster with commonTaskNeed set, filtered for a request.
func newSizedInventory(cluster *testCluster, request *Request) *Inventory {
	inv := Refresh(nil, cluster.snapshot())
	inv.CommonTaskNeed = commonTaskNeed
	filterFor(inv, request)
	return inv
}

// TestSmallTasksDontDisplaceCommonTasks checks that, on machines of three sizes, small tasks displace
// common tasks only if they don't all fit into the capacity that common tasks can't use. It also
// checks that replicas that must fetch their image are placed on the machine type that fetches it
// fastest.
func TestSmallTasksDontDisplaceCommonTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := drawSizedCluster(t)
		request := newRequest(&wire.JobSpec{
			ID: "a", Kind: wire.KindService, TaskCount: rapid.IntRange(1, 30).Draw(t, "tasks"),
			CPUs: 1, MemoryGB: 0.5, Image: "i",
		})
		inv := newSizedInventory(cluster, request)
		commonBefore, fitBeside := 0, 0 // common tasks that fit, and small tasks that fit in addition
		for _, info := range inv.ready {
			common := TasksThatFit(commonTaskNeed, info.Free)
			commonBefore += common
			fitBeside += TasksThatFit(request.Need, info.Free.PlusTimes(commonTaskNeed, -float64(common)))
		}
		picks := inv.Allocate(request, inv.FittingMachines(request), unconstrained(), nil)
		commonAfter := 0
		for _, info := range inv.ready {
			commonAfter += TasksThatFit(commonTaskNeed, info.Free)
		}
		if len(picks) <= fitBeside && commonAfter < commonBefore {
			t.Errorf("%d small tasks, of which %d fit beside common tasks, displaced %d common tasks",
				len(picks), fitBeside, commonBefore-commonAfter)
		}
		// A task that has to displace a common one is placed where its image is fetched fastest.
		if fitBeside == 0 && len(picks) > 0 {
			checkFetchesFastest(t, inv, request, picks[0])
		}
		checkUrgentReplica(t, cluster, request)
	})
}

// checkFetchesFastest checks that no machine that had capacity for a task of the request fetches images
// faster than the chosen one.
func checkFetchesFastest(t *rapid.T, inv *Inventory, request *Request, pick *MachineInfo) {
	fetchRate := inv.types.fetchRate
	for _, info := range inv.ready {
		isFaster := fetchRate[info.Machine.Type] > fetchRate[pick.Machine.Type]
		if isFaster && request.Need.FitsIn(info.recordedFree) {
			t.Errorf("a machine of type %s was chosen, but %s fetches faster", pick.Machine.Type, info.Machine.Type)
		}
	}
}

// checkUrgentReplica checks that a replica that should start within 3 s is placed on a machine that
// fetches its image of 2 GB in time, if any such machine has capacity.
func checkUrgentReplica(t *rapid.T, cluster *testCluster, request *Request) {
	spec := *request.Spec
	spec.ImageSizeGB = 2
	urgent := &Request{Spec: &spec, Need: request.Need, Remaining: 1, StartWithinS: 3}
	inv := newSizedInventory(cluster, urgent)
	canStartInTime := slices.ContainsFunc(inv.ready, func(info *MachineInfo) bool {
		return info.Machine.Type != "l" && urgent.Need.FitsIn(info.Free)
	})
	picks := inv.Allocate(urgent, inv.FittingMachines(urgent), unconstrained(), nil)
	if canStartInTime && picks[0].Machine.Type == "l" {
		t.Errorf("placed on %s, which takes 10 s to fetch the image", picks[0].Machine.Name)
	}
}

// TestReplicasPreferFastFetch checks that, among machines that differ only in the rate at which they
// fetch images, a replica without GPUs is placed on the one with the highest rate.
func TestReplicasPreferFastFetch(t *testing.T) {
	cluster := newTestCluster(
		wire.MachineType{Name: "slow", CPUs: 8, MemoryGB: 64, ImageFetchGBps: 0.2, Zones: testZones},
		wire.MachineType{Name: "fast", CPUs: 8, MemoryGB: 64, ImageFetchGBps: 0.8, Zones: testZones},
	)
	job := wire.JobSpec{Kind: wire.KindService, TaskCount: 1, CPUs: 1, MemoryGB: 0.5}
	for i, machineType := range []string{"slow", "fast", "slow"} {
		cluster.putMachine(i, record.Machine{Type: machineType, Zone: "east", Up: true}, job, 0)
	}
	request := newRequest(&wire.JobSpec{
		ID: "a", Kind: wire.KindService, TaskCount: 1, CPUs: 1, MemoryGB: 0.5, Image: "i",
	})
	inv := Refresh(nil, cluster.snapshot())
	filterFor(inv, request)
	picks := inv.Allocate(request, inv.FittingMachines(request), unconstrained(), nil)
	if len(picks) != 1 || picks[0].Machine.Type != "fast" {
		t.Errorf("placed on %v, want the fast machine", machineNames(picks))
	}
}
