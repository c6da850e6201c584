package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// startableJob returns a job that may start, with tasks of the given cores and GPUs.
func startableJob(id string, kind wire.JobKind, tasks int, cpus, gpus float64) *clusterstate.Job {
	spec := wire.JobSpec{ID: id, Kind: kind, TaskCount: tasks, CPUs: cpus, GPUs: gpus, MemoryGB: 2 * cpus}
	return &clusterstate.Job{Job: record.Job{Spec: spec}, HasRecord: true}
}

// TestCommonTaskIsHalfOfAllCores checks that tasks of at least the common size have half of all requested cores, that
// the size is kept for tuning.CommonTaskRetention after larger work has ended, and that it is zero beside GPU work.
func TestCommonTaskIsHalfOfAllCores(t *testing.T) {
	demand := newDemandState()
	small := startableJob("small", wire.KindArray, 100, 1, 0)
	large := startableJob("large", wire.KindArray, 20, 8, 0)
	huge := startableJob("huge", wire.KindService, 1, 64, 0)
	jobs := map[string]*clusterstate.Job{"small": small, "large": large, "huge": huge}
	check := func(when string, cpus float64) {
		t.Helper()
		if demand.commonTask.CPUs != cpus {
			t.Errorf("%s: a common task needs %v cores, want %v", when, demand.commonTask.CPUs, cpus)
		}
	}
	now := testNow
	demand.updateCommonTask(jobs, now)
	check("large and huge have 224 of 324 cores", 8)
	delete(jobs, "large")
	now = now.Add(tuning.CommonTaskRetention)
	demand.updateCommonTask(jobs, now)
	check("large has just ended", 8)
	demand.updateCommonTask(jobs, now.Add(1))
	check("large ended longer ago than the retention", 1)
	jobs["gpu"] = startableJob("gpu", wire.KindGang, 1, 8, 1)
	demand.updateCommonTask(jobs, now.Add(1))
	check("GPU work", 0)
}

// TestNeedPerGPUIsMostOfGangsAndMeanOfArrays checks that gangs and services count with their own need for each GPU and
// arrays with the mean need of all arrays.
func TestNeedPerGPUIsMostOfGangsAndMeanOfArrays(t *testing.T) {
	demand := newDemandState()
	jobs := map[string]*clusterstate.Job{
		"a": startableJob("a", wire.KindArray, 1, 12, 1),
		"b": startableJob("b", wire.KindArray, 1, 4, 1),
		"c": startableJob("c", wire.KindArray, 1, 100, 0),
	}
	demand.updateNeedPerGPU(jobs)
	if got, want := demand.needPerGPU, (record.Resources{CPUs: 8, MemoryGB: 16}); got != want {
		t.Errorf("arrays need %v for a GPU, want %v", got, want)
	}
	jobs["d"] = startableJob("d", wire.KindGang, 1, 40, 4)
	demand.updateNeedPerGPU(jobs)
	if got, want := demand.needPerGPU, (record.Resources{CPUs: 10, MemoryGB: 20}); got != want {
		t.Errorf("with a gang the need for each GPU is %v, want %v", got, want)
	}
}

// TestUnplacedJobsAreKeptWhileTheyWait checks that a job counts as unplaced from when it was first recorded until it
// ends or has no pending task, and that the last time at which a service found no capacity is recorded too.
func TestUnplacedJobsAreKeptWhileTheyWait(t *testing.T) {
	demand := newDemandState()
	array := startableJob("array", wire.KindArray, 1, 1, 0)
	service := startableJob("service", wire.KindService, 1, 1, 0)
	demand.recordUnplaced(array, testNow)
	demand.recordUnplaced(array, testNow.Add(time.Second))
	if since := demand.unplacedSince["array"]; since != testNow || !demand.lastServiceShortage.IsZero() {
		t.Errorf("unplaced since %v, last service shortage %v", since, demand.lastServiceShortage)
	}
	demand.recordUnplaced(service, testNow.Add(1))
	if demand.lastServiceShortage != testNow.Add(1) {
		t.Errorf("last service shortage at %v", demand.lastServiceShortage)
	}
	array.BoundCount = 1
	if demand.prune(map[string]*clusterstate.Job{"array": array, "service": service}); len(demand.unplacedSince) != 1 {
		t.Errorf("kept %v, want the service only", demand.unplacedSince)
	}
	if demand.prune(nil); len(demand.unplacedSince) != 0 {
		t.Errorf("kept %v of jobs that have ended", demand.unplacedSince)
	}
}
