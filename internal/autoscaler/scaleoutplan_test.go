package autoscaler

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/binpack"
	"sableusher/internal/scheduler"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// gpusPerMachine is the number of GPUs of newTestAutoscaler's machine type.
const gpusPerMachine = 4

// drawSpec draws an array that may use spot machines, a spread service, or a gang that must run in one zone.
func drawSpec(t *rapid.T, i int) *wire.JobSpec {
	spec := &wire.JobSpec{
		ID: fmt.Sprintf("run-%d", i), Priority: wire.PriorityNormal, CPUs: 6, GPUs: 1, MemoryGB: 40,
	}
	spec.TaskCount = rapid.IntRange(1, 60).Draw(t, "tasks")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		spec.Kind, spec.AllowSpot = wire.KindArray, true
	case 1:
		spec.Kind, spec.Spread = wire.KindService, true
	case 2:
		spec.Kind, spec.SameZone, spec.GPUs = wire.KindGang, true, gpusPerMachine
	}
	return spec
}

// TestPlannedMachinesFitUnplacedWork checks that the planned machines have capacity for all work that did
// not fit, and on-demand capacity for jobs that may not use spot machines. The planned capacity must not
// exceed twice the need, plus 4 GPUs for each group and 8 GPUs for headroom.
func TestPlannedMachinesFitUnplacedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTestAutoscaler(nil)
		demand := scheduler.UnmetDemand{ComputedAt: time.Now()}
		gpus, onDemandGPUs := 0, 0
		for i := range rapid.IntRange(1, 12).Draw(t, "groups") {
			spec := drawSpec(t, i)
			specGPUs := spec.TaskCount * int(spec.GPUs)
			gpus += specGPUs
			if !spec.AllowSpot {
				onDemandGPUs += specGPUs
			}
			group := scheduler.UnplacedGroup{
				Spec:       spec,
				Count:      spec.TaskCount,
				Zone:       rapid.SampledFrom([]string{"", "west"}).Draw(t, "zone"),
				ReadySince: time.Now(),
			}
			if spec.Spread {
				group.SpreadZones = spreadZones(spec.TaskCount, nil)
			}
			demand.Groups = append(demand.Groups, group)
		}
		planned := a.planScaleOut(demand)
		plannedGPUs, plannedOnDemandGPUs := 0, 0
		for _, machine := range planned {
			plannedGPUs += gpusPerMachine
			if !machine.spot {
				plannedOnDemandGPUs += gpusPerMachine
			}
		}
		if plannedGPUs < gpus || plannedOnDemandGPUs < onDemandGPUs {
			t.Errorf("%d machines planned, %d GPUs on demand, for a need of %d GPUs, %d of them on demand",
				len(planned), plannedOnDemandGPUs, gpus, onDemandGPUs)
		}
		if plannedGPUs > 2*gpus+4*len(demand.Groups)+8 {
			t.Errorf("%d GPUs planned for a need of %d GPUs", plannedGPUs, gpus)
		}
	})
}

// spreadZones returns the zones that may take tasks of a spread job beside those that are placed in each zone.
func spreadZones(tasks int, placed map[string]int) *binpack.ZoneConstraint {
	zones := &binpack.ZoneConstraint{
		TasksByZone: map[string]int{}, MaxPerZone: (tasks + 1) / 2, PlacementKnown: true,
	}
	maps.Copy(zones.TasksByZone, placed)
	return zones
}

// TestSpreadJobIsRentedForWhereItMayStart checks that machines for the rest of a spread job are rented in zones
// that may take it beside the job's other tasks. The test guards against machines that are rented again and
// again in a zone that already holds half of the job.
func TestSpreadJobIsRentedForWhereItMayStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := newTestGang(rapid.IntRange(2, 60).Draw(t, "tasks"))
		spec.SameZone, spec.Spread = false, true
		half := (spec.TaskCount + 1) / 2
		placed := map[string]int{}
		count := spec.TaskCount
		for _, zone := range testZones {
			placed[zone] = rapid.IntRange(0, min(half, count)).Draw(t, "placed")
			count -= placed[zone]
		}
		group := scheduler.UnplacedGroup{
			Spec: spec, Count: count, ReadySince: time.Now(), SpreadZones: spreadZones(spec.TaskCount, placed),
		}
		a := newTestAutoscaler(nil)
		a.operator.MinMachines = 0
		planned := a.planScaleOut(gangDemand(group))
		inZone := maps.Clone(placed)
		for _, machine := range planned {
			inZone[machine.zone]++
		}
		for zone, tasks := range inZone {
			if tasks > half {
				t.Errorf("%d of %d tasks in %s with the planned machines", tasks, spec.TaskCount, zone)
			}
		}
		if len(planned) != count {
			t.Errorf("%d machines planned for %d tasks", len(planned), count)
		}
	})
}

// TestGangMovesFromRefusedZone checks that capacity for a whole gang is rented in another zone if the
// cloud refuses further machines in the gang's zone.
func TestGangMovesFromRefusedZone(t *testing.T) {
	a := newTestAutoscaler(t)
	a.rentals.refusals[machineKind{"m", "west", false}] = refusal{until: time.Now().Add(tuning.RentalRefusalBackoff)}
	demand := gangDemand(scheduler.UnplacedGroup{
		Spec: newTestGang(8), Count: 2, Zone: "west", ReadySince: time.Now(),
	})
	planned := a.planScaleOut(demand)
	for _, machine := range planned {
		if machine.zone != "east" {
			t.Errorf("machine planned in zone %s, want east", machine.zone)
		}
	}
	if len(planned) != 8 {
		t.Errorf("%d machines planned, want 8", len(planned))
	}
}

// gangDemand returns the demand for the groups, with so much spare capacity that no headroom is rented.
func gangDemand(groups ...scheduler.UnplacedGroup) scheduler.UnmetDemand {
	return scheduler.UnmetDemand{
		Groups:        groups,
		SpareOnDemand: binpack.SpareCapacity{Machines: 9, IdleMachineCount: 9},
		SpareSpot:     binpack.SpareCapacity{Machines: 9},
	}
}

// gangRenter simulates the rental of machines for a gang of gangTasks tasks. The gang starts with one
// machine in its zone, and both zones have just refused further machines.
type gangRenter struct {
	autoscaler *Autoscaler
	zone       string
	startedAt  time.Time
	machines   int // machines that the gang has
	available  int // machines that the cloud can provide
	requests   int // requests to the cloud so far
}

const gangTasks = 4

func newGangRenter(t *testing.T, zone string) *gangRenter {
	a := newTestAutoscaler(t)
	a.operator.MinMachines = 0
	for _, refusedZone := range testZones {
		a.rentals.recordRefusal(machineKind{"m", refusedZone, false})
	}
	return &gangRenter{autoscaler: a, zone: zone, startedAt: time.Now(), machines: 1}
}

// plan returns the number of planned machines by kind.
func (r *gangRenter) plan() map[machineKind]int {
	demand := gangDemand()
	if r.machines < gangTasks {
		demand.Groups = []scheduler.UnplacedGroup{{
			Spec: newTestGang(gangTasks), Count: gangTasks - r.machines, Zone: r.zone, ReadySince: r.startedAt,
		}}
	}
	count := map[machineKind]int{}
	for _, machine := range r.autoscaler.planScaleOut(demand) {
		count[machine.machineKind]++
	}
	return count
}

// rent requests the planned machines, and checks that they are for the rest of the gang in its zone.
func (r *gangRenter) rent(t *testing.T, second int) {
	for kind, count := range r.plan() {
		r.requests++
		if kind.zone != r.zone || count != gangTasks-r.machines {
			t.Errorf("second %d, gang has %d machines in %s: %d machines requested in %s",
				second, r.machines, r.zone, count, kind.zone)
		}
		rented := min(r.available, count)
		r.available -= rented
		r.machines += rented
		if rented < count {
			r.autoscaler.rentals.recordRefusal(kind)
		}
	}
}

// TestGangMachinesAreRentedInOneZone checks which machines are requested once every zone has refused
// machines for a whole gang. Until tuning.InsufficientCapacityBackoff has passed, only the rest of the gang
// is requested, in the zone where part of it fits, each time that the refusal of that zone expires.
// Afterwards the other zones may have more machines, and the whole gang is requested there again.
//
// The test guards against requests for the whole gang in one zone after another: each zone provided a few
// machines, which were deleted as idle (inc-c6d1).
func TestGangMachinesAreRentedInOneZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zone := rapid.SampledFrom(testZones).Draw(rt, "zone")
		becomeAvailable := map[int]int{} // number of machines by second
		for range rapid.IntRange(0, 3).Draw(rt, "available machines") {
			becomeAvailable[rapid.IntRange(0, 40).Draw(rt, "second")]++
		}
		synctest.Test(t, func(t *testing.T) {
			renter := newGangRenter(t, zone)
			for second := range int(tuning.InsufficientCapacityBackoff / time.Second) {
				renter.available += becomeAvailable[second]
				renter.rent(t, second)
				time.Sleep(time.Second)
			}
			isIncomplete := renter.machines < gangTasks
			if left := renter.plan(); isIncomplete && (renter.requests < 5 || len(left) == 0) {
				t.Errorf("%d requests; planned after the backoff: %v", renter.requests, left)
			}
			if isIncomplete && renter.available > 0 {
				t.Errorf("%d machines are available but not rented; the gang has %d", renter.available, renter.machines)
			}
		})
	})
}
