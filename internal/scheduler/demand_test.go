package scheduler

import (
	"testing"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// startableJob is a job that may start, with tasks of some cores and GPUs.
func startableJob(id string, kind wire.JobKind, tasks int, cpus, gpus float64) *clusterstate.Job {
	spec := wire.JobSpec{ID: id, Kind: kind, TaskCount: tasks, CPUs: cpus, GPUs: gpus, MemoryGB: 2 * cpus}
	return &clusterstate.Job{Job: record.Job{Spec: spec}, HasRecord: true}
}

// TestCommonTaskIsHalfOfAllCores: half of all cores asked for are for tasks of at least the common size; it stays
// for tuning.CommonTaskHold when larger work is over, and there is none beside work on GPUs.
func TestCommonTaskIsHalfOfAllCores(t *testing.T) {
	demand := newDemandState()
	small := startableJob("small", wire.KindArray, 100, 1, 0)
	large := startableJob("large", wire.KindArray, 20, 8, 0)
	huge := startableJob("huge", wire.KindService, 1, 64, 0)
	jobs := map[string]*clusterstate.Job{"small": small, "large": large, "huge": huge}
	check := func(when string, cpus float64) {
		t.Helper()
		if demand.commonTask.CPUs != cpus {
			t.Errorf("%s: a common task takes %v cores, want %v", when, demand.commonTask.CPUs, cpus)
		}
	}
	now := testNow
	demand.updateCommonTask(jobs, now)
	check("large and huge have 224 of 324 cores", 8)
	delete(jobs, "large")
	now = now.Add(tuning.CommonTaskHold)
	demand.updateCommonTask(jobs, now)
	check("large is over", 8)
	demand.updateCommonTask(jobs, now.Add(1))
	check("large has been over for long", 1)
	jobs["gpu"] = startableJob("gpu", wire.KindGang, 1, 8, 1)
	demand.updateCommonTask(jobs, now.Add(1))
	check("work on GPUs", 0)
}

// TestNeedPerGPUIsMostOfGangsAndMeanOfArrays: a gang or a service counts with what it takes for each GPU, arrays
// with what they take on average.
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
		t.Errorf("a gang beside them needs %v, want %v", got, want)
	}
}

// TestUnplacedJobsAreKeptWhileTheyWait: a job counts as unplaced since it was first noted, until it is over or has
// nothing to place; a service that found no capacity is remembered beside it.
func TestUnplacedJobsAreKeptWhileTheyWait(t *testing.T) {
	demand := newDemandState()
	array := startableJob("array", wire.KindArray, 1, 1, 0)
	service := startableJob("service", wire.KindService, 1, 1, 0)
	demand.noteUnplaced(array, testNow)
	demand.noteUnplaced(array, testNow.Add(time.Second))
	if since := demand.unplacedSince["array"]; since != testNow || !demand.lastServiceShortage.IsZero() {
		t.Errorf("unplaced since %v, services since %v", since, demand.lastServiceShortage)
	}
	demand.noteUnplaced(service, testNow.Add(1))
	if demand.lastServiceShortage != testNow.Add(1) {
		t.Errorf("services found no capacity at %v", demand.lastServiceShortage)
	}
	array.BoundCount = 1
	if demand.prune(map[string]*clusterstate.Job{"array": array, "service": service}); len(demand.unplacedSince) != 1 {
		t.Errorf("kept %v, want the service alone", demand.unplacedSince)
	}
	if demand.prune(nil); len(demand.unplacedSince) != 0 {
		t.Errorf("kept %v of jobs that are over", demand.unplacedSince)
	}
}
