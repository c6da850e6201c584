package scheduler

import (
	"fmt"
	"testing"

	"sableusher/internal/record"
)

// TestServicePreemptsDespiteBootingMachines checks that a service spread over two zones has arrays stopped at once in
// both zones, although booting machines would have enough capacity for it. The service waits for the boot instead if
// the tasks expected on booting machines count towards the limit of tasks per zone.
func TestServicePreemptsDespiteBootingMachines(t *testing.T) {
	inUsedZone := func(i int) bool { return i%len(testZones) != 2 } // two of the three zones are used
	fixture := newTestCluster(t)
	array := arraySpec(1, 40)
	array.CPUs, array.GPUs = 28, 4
	var running []record.Task
	for i := range 60 {
		if inUsedZone(i) {
			running = append(running, boundTask(len(running), fixture.addMachine(i, false)))
		}
	}
	fixture.addJob(array, running...)
	for i := range 30 {
		if inUsedZone(i) {
			booting := record.Machine{
				Type: testType.Name, Zone: testZones[i%len(testZones)], CreatedAtMs: testNow.UnixMilli(),
			}
			fixture.put(record.MachineKey(fmt.Sprintf("vm-1%05d", i)), booting)
		}
	}
	service := serviceSpec("run-000002", 4)
	service.Spread = true
	fixture.addJob(service)
	zones := map[string]int{}
	for i, engine := range fixture.engines {
		fixture.runCycle(i)
		for name, reservation := range engine.reservations {
			if reservation.task.JobID == service.ID {
				zones[fixture.cluster.Machines[name].Zone]++
			}
		}
	}
	if zones["east"]+zones["west"] != 4 || zones["east"] > 3 {
		t.Errorf("machines reserved by zone: %v, want 4 in both zones", zones)
	}
}
