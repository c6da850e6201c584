package simulation

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	spreadScenarioJobs     = 6
	spreadScenarioMinTasks = tuning.FixedChunkTasks + 1 // in several records
	spreadScenarioMaxTasks = 400                        // in more records than a transaction of lowered limits changes
	spreadServiceRunTime   = 4 * time.Minute
)

// spreadSettings returns the settings of a controller in a region with the given zones. If lowered is set, they
// announce the lowered limits of the key-value store, so that the jobs' records are split further.
func spreadSettings(zones []string, lowered bool) func(index int) *config.Settings {
	return func(index int) *config.Settings {
		settings := testSettings(index)
		settings.Deployment.Zones = zones
		if lowered {
			settings.Deployment.State.Next = &loweredLimits
		}
		return settings
	}
}

// spreadMachineTypes returns the large machine type in the given zones.
func spreadMachineTypes(zones []string) []wire.MachineType {
	large := largeMachinesOnly[0]
	large.Zones = zones
	return []wire.MachineType{large}
}

// newSpreadJob returns a gang, an array or a service that must be spread over several zones.
func newSpreadJob(random *rand.Rand, number int) userJob {
	kind := []wire.JobKind{wire.KindGang, wire.KindArray, wire.KindService}[number%3]
	spec := newSpec(number, kind)
	spec.Spread = true
	spec.TaskCount = spreadScenarioMinTasks + random.IntN(spreadScenarioMaxTasks-spreadScenarioMinTasks+1)
	spec.CPUs, spec.GPUs, spec.MemoryGB = 0.5, 0, 1
	job := userJob{spec: spec, runSeconds: 10}
	if kind == wire.KindService {
		job.cancelAfter = spreadServiceRunTime
	}
	return job
}

// runningTasks returns how many tasks of a job are on machines.
func (c *InvariantChecker) runningTasks(spec *wire.JobSpec) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := 0
	for index := range spec.TaskCount {
		running += len(c.placements[record.TaskRef{JobID: spec.ID, Index: index}])
	}
	return running
}

// furtherChunks returns the number of records that hold tasks beside the jobs' own records.
func (kv *FakeKV) furtherChunks() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	count := 0
	for key := range kv.rows {
		if _, _, ok := record.ParseChunkKey(key); ok {
			count++
		}
	}
	return count
}

// TestSpreadJobsOfSeveralRecordsRun checks that gangs, arrays and services that must be spread over two or three zones
// run as a whole, with few or many tasks in a record, after machines have failed, the leader has restarted and another
// controller was cut off from the key-value store. It guards against jobs that wait for ever because the zone limit of
// one of their records is taken for that of all. SPREAD_DAYS sets the number of scenarios.
func TestSpreadJobsOfSeveralRecordsRun(t *testing.T) {
	simulateSeedsInParallel(t, "SPREAD_DAYS", 4, simulateSpreadJobs)
}

func simulateSpreadJobs(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	random := newRandom(seed, streamSpreadScenario)
	lowered, zones := seed%2 == 0, testZones[:2+seed/2%2]
	r := testRegion{
		settings: spreadSettings(zones, lowered), machineTypes: spreadMachineTypes(zones), capacityPerKind: 40,
		random: newRandom(seed, streamSpreadRegion),
	}.startControllers(ctx, threeControllers)
	time.Sleep(10 * time.Second)
	if lowered {
		r.KV.LowerLimits(loweredLimits)
	}
	var services []wire.JobSpec
	for i := range spreadScenarioJobs {
		job := newSpreadJob(random, i+1)
		if job.spec.Kind == wire.KindService {
			services = append(services, job.spec)
		}
		r.wg.Go(func() { r.SimulateUser(ctx, job) })
	}
	time.Sleep(secondsBetween(random, 1, 10))
	injection{r, random, time.Now().Add(20 * time.Second)}.forThirdOfMachines(r.FailMachine)
	partitionAndRestart(ctx, r, random)
	r.Checker.FaultsEnded()
	time.Sleep(2 * time.Minute)
	if chunks := r.KV.furtherChunks(); chunks < len(services) {
		t.Errorf("%d services are kept in one record each and %d others", len(services), chunks)
	}
	for i := range services {
		if running := r.Checker.runningTasks(&services[i]); running != services[i].TaskCount {
			t.Errorf("%d of %d replicas of %s run", running, services[i].TaskCount, services[i].ID)
		}
	}
	r.waitUntilFinished(36)
	r.end(cancel)
	checkRun(t, r)
}
