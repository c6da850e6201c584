package autoscaler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/binpack"
	"sableusher/internal/scheduler"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// gpusPerMachine is the number of GPUs of the test's machine type.
const gpusPerMachine = 4

// drawSpec draws an array that may use spot machines, a spread service, or a gang in one zone.
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

// TestPlannedMachinesFitUnplacedWork: the planned machines have capacity for everything that did
// not fit, on demand for jobs that may not use spot machines; and not twice as many as are needed.
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
			demand.Groups = append(demand.Groups, scheduler.UnplacedGroup{
				Spec:        spec,
				Count:       spec.TaskCount,
				Zone:        rapid.SampledFrom([]string{"", "west"}).Draw(t, "zone"),
				SubmittedAt: time.Now(),
			})
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
			t.Errorf("%d machines, %d GPUs on demand, for %d GPUs, %d of them on demand",
				len(planned), plannedOnDemandGPUs, gpus, onDemandGPUs)
		}
		if plannedGPUs > 2*gpus+4*len(demand.Groups)+8 {
			t.Errorf("%d GPUs rented for %d", plannedGPUs, gpus)
		}
	})
}

// TestGangMovesFromRefusedZone: where a gang's zone has no more machines, capacity for all of it is
// rented in another, not only for the rest of it.
func TestGangMovesFromRefusedZone(t *testing.T) {
	a := newTestAutoscaler(t)
	a.rentals.refusals[machineKind{"m", "west", false}] = refusal{until: time.Now().Add(tuning.RentalRefusalBackoff)}
	demand := demandOfGang(scheduler.UnplacedGroup{
		Spec: newTestGang(8), Count: 2, Zone: "west", SubmittedAt: time.Now(),
	})
	planned := a.planScaleOut(demand)
	for _, machine := range planned {
		if machine.zone != "east" {
			t.Errorf("a machine in %s", machine.zone)
		}
	}
	if len(planned) != 8 {
		t.Errorf("%d machines, want 8", len(planned))
	}
}

// demandOfGang is the demand for some groups beside enough headroom.
func demandOfGang(groups ...scheduler.UnplacedGroup) scheduler.UnmetDemand {
	return scheduler.UnmetDemand{
		Groups:        groups,
		SpareOnDemand: binpack.SpareCapacity{Machines: 9, UnusedMachines: 9},
		SpareSpot:     binpack.SpareCapacity{Machines: 9},
	}
}

// gangRenter rents machines for a gang of four that has one machine in its zone, while both zones
// have refused further ones.
type gangRenter struct {
	autoscaler *Autoscaler
	zone       string
	startedAt  time.Time
	machines   int // that the gang has
	available  int // that the cloud has
	requests   int
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

// plan counts the planned machines by kind.
func (r *gangRenter) plan() map[machineKind]int {
	demand := demandOfGang()
	if r.machines < gangTasks {
		demand.Groups = []scheduler.UnplacedGroup{{
			Spec: newTestGang(gangTasks), Count: gangTasks - r.machines, Zone: r.zone, SubmittedAt: r.startedAt,
		}}
	}
	count := map[machineKind]int{}
	for _, machine := range r.autoscaler.planScaleOut(demand) {
		count[machine.machineKind]++
	}
	return count
}

// rent requests what is planned, and checks that it is the rest of the gang in its zone.
func (r *gangRenter) rent(t *testing.T, second int) {
	for kind, count := range r.plan() {
		r.requests++
		if kind.zone != r.zone || count != gangTasks-r.machines {
			t.Errorf("second %d, %d in %s: %d machines asked for in %s", second, r.machines, r.zone, count, kind.zone)
		}
		rented := min(r.available, count)
		r.available -= rented
		r.machines += rented
		if rented < count {
			r.autoscaler.rentals.recordRefusal(kind)
		}
	}
}

// TestGangIsCollectedInOneZone: once every zone has shown to have less than a gang needs, only the
// rest of it is asked for, where some of it fits, as often as a refusal allows. The autoscaler once
// asked one zone after the other for the whole gang, got a machine here and one there, and returned
// each as idle (inc-c6d1). After a while the others may have more, and are asked for the whole
// again.
func TestGangIsCollectedInOneZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zone := rapid.SampledFrom(testZones).Draw(rt, "zone")
		becomeAvailable := map[int]int{} // machines by second
		for range rapid.IntRange(0, 3).Draw(rt, "available machines") {
			becomeAvailable[rapid.IntRange(0, 40).Draw(rt, "second")]++
		}
		synctest.Test(t, func(t *testing.T) {
			renter := newGangRenter(t, zone)
			for second := range int(tuning.InsufficientCapacityHold / time.Second) {
				renter.available += becomeAvailable[second]
				renter.rent(t, second)
				time.Sleep(time.Second)
			}
			isIncomplete := renter.machines < gangTasks
			if left := renter.plan(); isIncomplete && (renter.requests < 5 || len(left) == 0) {
				t.Errorf("asked %d times, then for %v", renter.requests, left)
			}
			if isIncomplete && renter.available > 0 {
				t.Errorf("%d machines are available, the gang has %d", renter.available, renter.machines)
			}
		})
	})
}
