package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestJobsOfManyRecords runs jobs whose tasks take several records: an array and a gang of tiny tasks that are bound
// over many scheduling cycles, and a gang that no single shard can hold.
func TestJobsOfManyRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := threeControllerRegion(ctx, 5, 3)
		array, gang := newSpec(1, wire.KindArray), newSpec(2, wire.KindGang)
		array.TaskCount, array.SameZone = 700, true
		gang.TaskCount, gang.Priority = 300, wire.PriorityNormal
		// Nine whole machines: more than any shard can have, so the gang would starve
		// if only one shard's machines counted.
		wide := wholeMachineGang(3, 9)
		for _, spec := range []wire.JobSpec{array, gang, wide} {
			if spec.ID != wide.ID {
				spec.CPUs, spec.GPUs, spec.MemoryGB = 0.05, 0, 0.1
			}
			spec.RuntimeEstimateSeconds = 5
			r.wg.Go(func() { r.SimulateUser(ctx, userJob{spec: spec, runSeconds: 5}) })
		}
		time.Sleep(4 * time.Minute)
		r.end(cancel)
		checkRun(t, r)
		if r.Checker.TaskStarts < 1000 {
			t.Errorf("%d starts", r.Checker.TaskStarts)
		}
	})
}

// TestGangCheckpointsTogether checks that all tasks of a gang save a checkpoint when the cloud reclaims one of its
// machines, and that the gang ends afterwards.
func TestGangCheckpointsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := threeControllerRegion(ctx, 5, 5)
		spec := wholeMachineGang(1, 2)
		spec.AllowSpot, spec.RuntimeEstimateSeconds = true, 60
		spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 10, 3
		r.wg.Go(func() { r.SimulateUser(ctx, userJob{spec: spec, runSeconds: 90}) })
		time.Sleep(60 * time.Second)
		machine := r.spotMachineWithRunningTask()
		if machine == "" {
			t.Error("the gang does not run")
		}
		r.ReclaimMachine(machine, 10*time.Second)
		time.Sleep(4 * time.Minute)
		r.end(cancel)
		for i := range spec.TaskCount {
			if !r.workload.checkpointed[record.TaskRef{JobID: spec.ID, Index: i}] {
				t.Errorf("task %d did not save a checkpoint", i)
			}
		}
		checkRun(t, r)
	})
}

// spotMachineWithRunningTask returns the name of a spot machine with a running task, or an empty string if there is
// none.
func (r *Region) spotMachineWithRunningTask() (name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for machine, agent := range r.agents {
		for _, task := range agent.tasks {
			if agent.spot && task.State == wire.TaskRunning {
				name = machine
			}
		}
	}
	return name
}
