package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	ownMachineMinTasks = 64 // more than a record of lowered limits holds if each task has a machine of its own
	ownMachineMaxTasks = 90
	ownMachineCapacity = 150 // of a machine type in a zone
	ownMachineRunTime  = 6 * time.Minute
)

// ownMachineJobs returns jobs whose tasks take a machine each and run for hours: a service, an array, and unless
// spreadJobs is false a spread service.
func ownMachineJobs(random *rand.Rand, spreadJobs bool) []userJob {
	kinds := []wire.JobKind{wire.KindService, wire.KindArray}
	if spreadJobs {
		kinds = append(kinds, wire.KindService)
	}
	var jobs []userJob
	for i, kind := range kinds {
		spec := newSpec(i+1, kind)
		spec.TaskCount = ownMachineMinTasks + random.IntN(ownMachineMaxTasks-ownMachineMinTasks+1)
		spec.CPUs, spec.GPUs, spec.MemoryGB = 20, 3, 100
		spec.Spread = i == 2
		jobs = append(jobs, userJob{spec: spec, runSeconds: 7200, cancelAfter: ownMachineRunTime})
	}
	return jobs
}

// checkNeedsSeveralRecords checks that the tasks of a job, each on a machine of its own, don't fit into one record.
func checkNeedsSeveralRecords(t *testing.T, spec *wire.JobSpec) {
	t.Helper()
	job := record.Job{Spec: *spec, ChunkWidth: tuning.FixedChunkTasks}
	var tasks []record.Task
	for i := range spec.TaskCount {
		tasks = append(tasks, record.Task{
			Index: i, State: record.TaskBound, Attempt: 1, Machine: fmt.Sprintf("vm-%06d", i+1), Session: 1,
		})
	}
	if size := wire.JSONSize(job.EncodeTasks(0, tasks).Value); size <= maxRecordBytes {
		t.Errorf("all tasks of %s fit into a record of %d bytes", spec.ID, size)
	}
}

// TestTasksOnOwnMachinesRunUnderLoweredLimits checks that services and arrays whose tasks have a machine each and run
// for hours run as a whole under lowered limits of the key-value store, after machines have failed, the leader has
// restarted and another controller was cut off from the store. In every second scenario the jobs are accepted before an
// upgrade and the limits fall while the tasks run. It guards against tasks that wait beside empty machines for space in
// the record of their job. OWN_MACHINE_DAYS sets the number of scenarios.
func TestTasksOnOwnMachinesRunUnderLoweredLimits(t *testing.T) {
	simulateSeedsInParallel(t, "OWN_MACHINE_DAYS", 2, simulateTasksOnOwnMachines)
}

func simulateTasksOnOwnMachines(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	scenario := upgradeScenario{seed: seed, random: newRandom(seed, streamOwnMachineScenario)}
	r := testRegion{
		settings: upgradeSettings, machineTypes: largeMachinesOnly, capacityPerKind: ownMachineCapacity,
		random: newRandom(seed, streamOwnMachineRegion),
	}.start(ctx)
	scenario.region = r
	upgrades := seed%2 == 1
	for i := range threeControllers {
		r.AddStoppedController(upgradeSettings(i), tuning.SchemaVersion)
		if upgrades {
			r.controllers[i].SchemaVersion = 0
		}
		r.StartController(ctx, i)
	}
	time.Sleep(10 * time.Second)
	jobs := ownMachineJobs(scenario.random, !upgrades)
	if !upgrades {
		r.KV.LowerLimits(loweredLimits)
	}
	for _, job := range jobs {
		checkNeedsSeveralRecords(t, &job.spec)
		r.wg.Go(func() { r.SimulateUser(ctx, job) })
	}
	if upgrades {
		time.Sleep(30 * time.Second)
		scenario.replaceControllers(ctx)
		time.Sleep(secondsBetween(scenario.random, 5, 10))
		r.KV.LowerLimits(loweredLimits)
	}
	time.Sleep(secondsBetween(scenario.random, 1, 10))
	injection{r, scenario.random, time.Now().Add(20 * time.Second)}.forThirdOfMachines(r.FailMachine)
	partitionAndRestart(ctx, r, scenario.random)
	r.Checker.FaultsEnded()
	time.Sleep(2 * time.Minute)
	for _, job := range jobs {
		if running := r.Checker.runningTasks(&job.spec); running != job.spec.TaskCount {
			t.Errorf("%d of %d tasks of %s (%s, spread %v) run", running, job.spec.TaskCount, job.spec.ID,
				job.spec.Kind, job.spec.Spread)
		}
	}
	r.waitUntilFinished(48)
	size, key := r.KV.LargestValue("s/")
	r.end(cancel)
	checkRun(t, r)
	if size > maxRecordBytes {
		t.Errorf("%s takes %d bytes", key, size)
	}
}
