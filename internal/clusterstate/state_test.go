package clusterstate

import (
	"log/slog"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var taskStates = []record.TaskState{record.TaskPending, record.TaskBound, record.TaskDone}

var (
	testJobs     = []string{"run-1", "run-2"}
	testMachines = []string{"vm-1", "vm-2", "vm-3"}
)

const testShards = 3

// drawTasks draws random states for some of the count tasks from first on.
func drawTasks(t *rapid.T, first, count int) []record.Task {
	var tasks []record.Task
	for i := range count {
		if rapid.Bool().Draw(t, "skip") {
			continue
		}
		task := record.Task{Index: first + i, State: rapid.SampledFrom(taskStates).Draw(t, "state"), Attempt: 1}
		if task.State == record.TaskBound {
			task.Machine = rapid.SampledFrom(testMachines).Draw(t, "machine")
		}
		tasks = append(tasks, task)
	}
	return tasks
}

// changeRecord writes or deletes a random record of a job or machine.
func changeRecord(t *rapid.T, state *State, modRevision uint64) {
	id := rapid.SampledFrom(testJobs).Draw(t, "job")
	machine := rapid.SampledFrom(testMachines).Draw(t, "changed machine")
	state.BeginUpdate()
	defer state.EndUpdate()
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		spec := wire.JobSpec{ID: id, Team: "t", TaskCount: tuning.FixedChunkTasks + 3, GPUs: 1}
		job := record.Job{Spec: spec, Tasks: drawTasks(t, 0, 4)}
		state.Put(record.JobKey(id), wire.MustEncode(job), modRevision)
	case 1:
		chunk := record.FixedChunk{Tasks: drawTasks(t, tuning.FixedChunkTasks, 3)}
		state.Put(record.FixedChunkKey(id, 1), wire.MustEncode(chunk), modRevision)
	case 2:
		state.Delete(record.JobKey(id))
	case 3:
		state.Delete(record.FixedChunkKey(id, 1))
	case 4:
		state.Put(record.MachineKey(machine), wire.MustEncode(record.Machine{Type: "x"}), modRevision)
	case 5:
		state.Delete(record.MachineKey(machine))
	}
}

// boundTasks counts the bound tasks by shard and by machine without the indexes, and checks the counts of each job.
func boundTasks(t *rapid.T, state *State) (byShard []float64, byMachine map[string]int) {
	byShard, byMachine = make([]float64, testShards), map[string]int{}
	for _, job := range state.Jobs {
		if !job.HasRecord {
			continue
		}
		bound, done := 0, 0
		job.ForEachStartedTask(func(task record.Task) {
			switch task.State {
			case record.TaskBound:
				bound++
				byMachine[task.Machine]++
				byShard[record.ShardOf(task.Machine, testShards)]++
			case record.TaskDone:
				done++
			case record.TaskPending:
			}
		})
		if bound != job.BoundCount || done != job.DoneCount {
			t.Fatalf("job counts %d bound and %d done tasks, want %d and %d",
				job.BoundCount, job.DoneCount, bound, done)
		}
	}
	return byShard, byMachine
}

// checkMachine compares the indexed bindings and usage of a machine with the number of tasks bound to it.
func checkMachine(t *rapid.T, state *State, name string, bound int) {
	got := len(state.OrphanBindings[name])
	if machine := state.Machines[name]; machine != nil {
		got = len(machine.Bindings)
		if math.Abs(machine.Used.GPUs-float64(bound)) > 1e-9 {
			t.Fatalf("%s: %v GPUs used, want %d", name, machine.Used.GPUs, bound)
		}
		if state.OrphanBindings[name] != nil {
			t.Fatalf("%s is a known machine and has orphan bindings", name)
		}
	}
	if got != bound {
		t.Fatalf("%s holds %d tasks, want %d", name, got, bound)
	}
}

// TestIndexesFollowRecords writes and deletes records in random order and compares the indexes with counts that are
// computed without them.
func TestIndexesFollowRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New(testShards, slog.New(slog.DiscardHandler))
		for revision := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			changeRecord(t, state, revision+1)
			byShard, byMachine := boundTasks(t, state)
			for shard, want := range byShard {
				if got := state.UsageByShard[shard]["t"].GPUs; math.Abs(got-want) > 1e-9 {
					t.Fatalf("shard %d uses %v, want %v", shard, got, want)
				}
			}
			for _, name := range testMachines {
				checkMachine(t, state, name, byMachine[name])
			}
		}
	})
}
