package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/wire"
)

// drawServiceMachines adds machines that run service replicas, each of which takes a quarter of a machine.
// It returns the capacity that the replicas take in each zone, in machines.
func drawServiceMachines(t *rapid.T, state *clusterstate.State) map[string]float64 {
	usedByZone := map[string]float64{}
	job := &clusterstate.Job{Job: record.Job{Spec: wire.JobSpec{
		ID: "run-1", Kind: wire.KindService, TaskCount: 8, CPUs: 8, GPUs: 1, MemoryGB: 60,
	}}}
	for i := range rapid.IntRange(0, 40).Draw(t, "machines") {
		zone := rapid.SampledFrom(testZones).Draw(t, "zone")
		machine := &clusterstate.Machine{
			Name:     fmt.Sprintf("vm-%d", i),
			Machine:  record.Machine{Type: "m", Zone: zone, Up: true},
			Bindings: map[record.TaskRef]clusterstate.Binding{},
		}
		for replica := range rapid.IntRange(0, 4).Draw(t, "replicas") {
			ref := record.TaskRef{JobID: fmt.Sprintf("run-%d", i), Index: replica}
			machine.Bindings[ref] = clusterstate.Binding{Ref: ref, Job: job}
			usedByZone[zone] += 0.25
		}
		state.Machines[machine.Name] = machine
	}
	return usedByZone
}

// TestReserveCoversALostZone checks that with a zone reserve set, the capacity planned beyond the waiting
// work covers, for the loss of any zone, the configured share of that zone's services in the other zones.
// It also checks that no reserve is kept while a zone is unavailable.
func TestReserveCoversALostZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTestAutoscaler(nil)
		a.operator.MinMachines, a.operator.MinHeadroom = 0, 0
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		a.operator.ZoneReserve = share
		usedByZone := drawServiceMachines(t, a.state)
		spareByZone := map[string]float64{}
		for _, machine := range a.planScaleOut(scheduler.UnmetDemand{ComputedAt: time.Now()}) {
			spareByZone[machine.zone]++
		}
		for _, zone := range testZones {
			elsewhere := spareByZone["east"] + spareByZone["west"] - spareByZone[zone]
			if elsewhere+1 < share*usedByZone[zone] {
				t.Errorf(
					"%v spare machines outside of zone %s, whose services take %v machines; the reserve share is %.2f",
					elsewhere, zone, usedByZone[zone], share,
				)
			}
		}
		a.unavailableZones = []string{"east"}
		if kept := len(a.planScaleOut(scheduler.UnmetDemand{ComputedAt: time.Now()})); kept > 0 {
			t.Errorf("%d machines planned while a zone is unavailable", kept)
		}
	})
}
