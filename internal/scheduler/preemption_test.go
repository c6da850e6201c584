package scheduler

import (
	"fmt"
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestServiceMakesRoomBesideBoots: a service that is spread over two zones has arrays stopped at
// once in both, though machines that come up would hold all of it: it once waited for their
// boot, since what it expected there counted against its zones.
func TestServicePreemptsDespiteBootingMachines(t *testing.T) {
	fixture := newTestCluster(t)
	busy := arraySpec(1, 40)
	busy.Priority = wire.PriorityNormal
	busy.CPUs, busy.GPUs = 28, 4
	var on []record.Task
	for i := range 60 {
		if i%3 == 2 {
			continue // of three zones two are used
		}
		on = append(on, record.Task{Index: len(on), State: record.TaskBound, Attempt: 1, Machine: fixture.addMachine(i, false), Session: 1})
	}
	fixture.addJob(busy, on...)
	for i := range 30 {
		if i%3 != 2 {
			fixture.put(record.MachineKey(fmt.Sprintf("vm-1%05d", i)), record.Machine{Type: "m", Zone: testZones[i%3], CreatedAtMs: testNow.UnixMilli()})
		}
	}
	service := wire.JobSpec{ID: "run-000002", Kind: wire.KindService, Priority: wire.PriorityProduction, TaskCount: 4, CPUs: 5, GPUs: 1, MemoryGB: 38, Spread: true}
	fixture.addJob(service)
	zones := map[string]int{}
	for i, engine := range fixture.engines {
		fixture.runCycle(i)
		for name, h := range engine.reservations {
			if h.task.JobID == service.ID {
				zones[fixture.cluster.Machines[name].Zone]++
			}
		}
	}
	if zones["east"]+zones["west"] != 4 || zones["east"] > 3 {
		t.Errorf("room is made by zone: %v, want 4 in both", zones)
	}
}
