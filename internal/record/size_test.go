package record

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const submittedAtMs = 1764600000000

// TestLargestFixedChunkFits checks that the record of a fixed chunk full of tasks with long field values takes at most
// tuning.RecordShareOfValueLimit of 16 KiB, the smallest value limit known of a store. The record is measured in
// CBOR, the limit in JSON.
func TestLargestFixedChunkFits(t *testing.T) {
	job := Job{Spec: wire.JobSpec{ID: "run-00000000000000000001", TaskCount: tuning.MaxTasksPerJob}}
	var tasks []Task
	for range tuning.FixedChunkTasks {
		tasks = append(tasks, Task{Index: tuning.MaxTasksPerJob, State: TaskBound, Attempt: 1 << 20,
			Machine: "vm-000000231", Session: 1 << 20})
	}
	if op := job.EncodeTasks(1, tasks); float64(len(op.Value)) > tuning.RecordShareOfValueLimit*16*1024 {
		t.Fatalf("fixed chunk takes %d bytes", len(op.Value))
	}
}

// longSpecGang returns a gang whose description is as long as any that is expected in practice.
func longSpecGang(tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: "run-00000000000000000001", Class: "a-class-of-work", Team: "a-team-of-people", Kind: wire.KindGang,
		Priority: wire.PriorityProduction, TaskCount: tasks, CPUs: 28.123456789, GPUs: 4, MemoryGB: 200.123456789,
		Image: "image-000000001", ImageSizeGB: 5.123456789012, SameZone: true,
		JobTiming: wire.JobTiming{
			RuntimeEstimateSeconds: 70.1234567891234, CheckpointIntervalSeconds: 15, CheckpointSaveSeconds: 5,
			DeadlineSeconds: 123.456789012345,
		},
		Dependencies: []string{"run-00000000000000000002", "run-00000000000000000003"},
	}
}

// TestGangRecordsFitSmallLimit checks that the first records of a gang with a long description and a different machine
// for each task stay within a value limit of 2 KiB.
func TestGangRecordsFitSmallLimit(t *testing.T) {
	limit := 2048
	const longestName = len("vm-000000000")
	limits := NewSizeLimits(int(float64(limit)*tuning.JSONShareOfValueLimit), longestName)
	for _, taskCount := range []int{1, 32, 100, 5000} {
		job := Job{Spec: longSpecGang(taskCount), SubmittedAtMs: submittedAtMs}
		job.ChunkWidth = limits.ChunkWidth(&job.Spec, EncodedBaseSize(job))
		if job.ChunkWidth == 0 {
			t.Fatalf("%d tasks: no chunk width fits", taskCount)
		}
		for chunk := range min(job.ChunkCount(), 3) {
			var tasks []Task
			first, end := job.TaskRange(chunk)
			for i := first; i < end; i++ {
				tasks = append(tasks, Task{Index: i, State: TaskBound, Attempt: 1234,
					Machine: fmt.Sprintf("vm-%09d", i), Session: 12, ChargedShard: 3})
			}
			if size := wire.JSONSize(job.EncodeTasks(chunk, tasks).Value); size > limit {
				t.Errorf("%d tasks: chunk %d takes %d bytes", taskCount, chunk, size)
			}
		}
	}
}

// TestRecordsWithFailuresFit checks that a task can still be bound within the size limit if all other tasks of its
// chunk wait for a retry. Otherwise no task of the job could ever start again.
func TestRecordsWithFailuresFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{2048, 8192, 16384}).Draw(t, "limit")
		const longestName = len("vm-000000000")
		limits := NewSizeLimits(int(limit*tuning.JSONShareOfValueLimit), longestName)
		retries := tuning.MaxClassRetries
		job := Job{SubmittedAtMs: submittedAtMs, Spec: wire.JobSpec{
			ID: "run-00000000000000000001", Class: "c", Team: "t", Priority: wire.PriorityNormal, GPUs: 1,
			Kind:       rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindGang}).Draw(t, "kind"),
			TaskCount:  rapid.IntRange(1, 3000).Draw(t, "tasks"),
			MaxRetries: &retries,
		}}
		baseSize := EncodedBaseSize(job)
		if !limits.FixedChunksFit(&job.Spec, baseSize) {
			if job.ChunkWidth = limits.ChunkWidth(&job.Spec, baseSize); job.ChunkWidth == 0 {
				t.Fatal("no chunk width fits")
			}
		}
		chunk := rapid.IntRange(0, job.ChunkCount()-1).Draw(t, "chunk")
		first, end := job.TaskRange(chunk)
		tasks := []Task{{Index: first, State: TaskBound, Attempt: 1000, Machine: "vm-000000000", Session: 99,
			ChargedShard: 3, Failures: retries}}
		for i := first + 1; i < end; i++ {
			tasks = append(tasks, Task{Index: i, Attempt: 999, Failures: retries})
		}
		if size := wire.JSONSize(job.EncodeTasks(chunk, tasks).Value); size > limits.MaxBytes {
			t.Errorf("chunk width %d: record takes %d bytes, limit is %d", job.ChunkWidth, size, limits.MaxBytes)
		}
	})
}

// drawTasks draws tasks of a chunk in any state, with as many digits and as long machine names as occur.
func drawTasks(t *rapid.T, job *Job, chunk, longestName int) []Task {
	var tasks []Task
	first, end := job.TaskRange(chunk)
	for i := first; i < end; i++ {
		task := Task{Index: i, Attempt: uint64(rapid.IntRange(1, 9999).Draw(t, "attempt"))}
		task.State = rapid.SampledFrom([]TaskState{TaskPending, TaskBound, TaskBound, TaskDone}).Draw(t, "state")
		if task.State == TaskBound {
			task.Machine = fmt.Sprintf("%0*d", longestName, i)
			task.Session, task.ChargedShard = uint64(rapid.IntRange(1, 999).Draw(t, "session")), 7
		}
		if job.Spec.MaxRetries != nil && task.State != TaskDone {
			task.Failures = rapid.IntRange(0, *job.Spec.MaxRetries).Draw(t, "failures")
		}
		tasks = append(tasks, task)
	}
	return tasks
}

// TestOneBoundHoldsForAllChunks checks that the bound by which a layout is chosen holds for the chunks of gangs,
// services and spread jobs in every state of their tasks, after a cancellation too, and that the bound of a written
// record lies between the record's size and the former.
func TestOneBoundHoldsForAllChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longestName := rapid.IntRange(4, 40).Draw(t, "longest name")
		limits := NewSizeLimits(int(rapid.Float64Range(2.3, 16).Draw(t, "KiB")*870), longestName)
		job := Job{SubmittedAtMs: submittedAtMs, Spec: longSpecGang(rapid.IntRange(1, 3000).Draw(t, "tasks"))}
		kinds := []wire.JobKind{wire.KindArray, wire.KindGang, wire.KindService}
		job.Spec.Kind = rapid.SampledFrom(kinds).Draw(t, "kind")
		job.Spec.Spread = job.Spec.Kind == wire.KindArray || rapid.Bool().Draw(t, "spread")
		if rapid.Bool().Draw(t, "retry limit") {
			retries := tuning.MaxClassRetries
			job.Spec.MaxRetries = &retries
		}
		baseSize := EncodedBaseSize(job)
		if limits.widthFor(&job.Spec, baseSize, limits.GroupedTaskBytes) == 0 {
			t.Fatal("no chunk width fits")
		}
		job.ChunkWidth = limits.ChunkWidth(&job.Spec, baseSize)
		chunk := rapid.IntRange(0, job.ChunkCount()-1).Draw(t, "chunk")
		if !job.ChunkAlwaysFits(chunk, baseSize, limits) {
			t.Fatalf("chunks of %d tasks don't fit in every state", job.ChunkWidth)
		}
		tasks := drawTasks(t, &job, chunk, longestName)
		if rapid.Bool().Draw(t, "cancelled") {
			job.MarkCancelled(submittedAtMs, true)
		}
		job.PreemptedAttempt = rapid.Uint64Range(0, 9999).Draw(t, "preempted attempt")
		size, bound := wire.JSONSize(job.EncodeTasks(chunk, tasks).Value), job.MaxChunkSize(chunk, baseSize, tasks)
		if size > bound || bound > limits.MaxBytes {
			t.Errorf("record of %d bytes, its bound is %d, the limit %d", size, bound, limits.MaxBytes)
		}
	})
}

// TestEndsFitIntoFullRecord checks that a cancellation, an end and a failure of a task find space in a record that has
// none for a further binding: they stay within the part of the value limit that bindings leave free.
func TestEndsFitIntoFullRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueLimit, longestName := 2048, len("vm-000231")
		limits := NewSizeLimits(int(float64(valueLimit)*tuning.JSONShareOfValueLimit), longestName)
		retries := tuning.MaxClassRetries
		job := Job{SubmittedAtMs: submittedAtMs, Spec: longSpecGang(tuning.FixedChunkTasks)}
		job.Spec.Kind, job.Spec.MaxRetries = wire.KindArray, &retries
		baseSize := EncodedBaseSize(job)
		job.ChunkWidth = limits.ChunkWidth(&job.Spec, baseSize)
		perMachine := rapid.IntRange(1, 8).Draw(t, "tasks on a machine")
		var tasks []Task
		first, end := job.TaskRange(rapid.IntRange(0, job.ChunkCount()-1).Draw(t, "chunk"))
		chunk := job.ChunkOf(first)
		for i := first; i < end; i++ {
			machine := fmt.Sprintf("vm-%06d", i/perMachine)
			bound := Task{Index: i, State: TaskBound, Attempt: 1, Session: 1, Machine: machine}
			if job.MaxChunkSize(chunk, baseSize, append(tasks, bound)) > limits.MaxBytes {
				break
			}
			tasks = append(tasks, bound)
		}
		for i := range tasks {
			switch rapid.SampledFrom([]string{"runs", "failed", "done"}).Draw(t, "task") {
			case "failed":
				tasks[i] = Task{Index: tasks[i].Index, Attempt: 1, Failures: retries}
			case "done":
				tasks[i] = Task{Index: tasks[i].Index, State: TaskDone, Attempt: 1}
			}
		}
		job.MarkCancelled(submittedAtMs, true)
		job.Failed = true
		if size := wire.JSONSize(job.EncodeTasks(chunk, tasks).Value); size > valueLimit {
			t.Errorf("record of %d bytes", size)
		}
	})
}
