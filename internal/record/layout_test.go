package record

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// drawLayout draws a job with a valid layout from before, during or after a migration.
func drawLayout(t *rapid.T) Job {
	job := Job{Spec: wire.JobSpec{ID: "run-7", TaskCount: rapid.IntRange(1, 3000).Draw(t, "tasks")}}
	if rapid.Bool().Draw(t, "grouped") {
		job.ChunkWidth = rapid.SampledFrom([]int{16, 32, 64, 128}).Draw(t, "width")
		job.FirstFixedChunk = rapid.IntRange(0, FixedChunkCount(job.Spec.TaskCount)-1).Draw(t, "first fixed")
	}
	return job
}

// TestChunksPartitionTasks checks that in every layout each task is in exactly one chunk, and that the key of each
// further chunk identifies it.
func TestChunksPartitionTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawLayout(t)
		if !job.validLayout() {
			t.Fatalf("chunk width %d, first fixed chunk %d are not valid", job.ChunkWidth, job.FirstFixedChunk)
		}
		next := 0
		for chunk := range job.ChunkCount() {
			first, end := job.TaskRange(chunk)
			if first != next || end <= first {
				t.Fatalf("chunk %d has the task range [%d, %d), want it to start at %d", chunk, first, end, next)
			}
			for _, task := range []int{first, end - 1} {
				if got := job.ChunkOf(task); got != chunk {
					t.Fatalf("task %d is in chunk %d, want %d", task, got, chunk)
				}
			}
			if chunk > 0 {
				if got, ok := job.ChunkIndexOf(job.ChunkKey(chunk)); got != chunk || !ok {
					t.Fatalf("key %s belongs to chunk %d, %v, want %d", job.ChunkKey(chunk), got, ok, chunk)
				}
			}
			next = end
		}
		if next != job.Spec.TaskCount {
			t.Fatalf("the chunks hold %d tasks, want %d", next, job.Spec.TaskCount)
		}
	})
}

// TestJobRoundTrip checks that encoding and decoding a job's own record preserves its tasks in every layout.
func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawLayout(t)
		var tasks []Task
		_, end := job.TaskRange(0)
		for index := range end {
			if rapid.Bool().Draw(t, "started") {
				tasks = append(tasks, Task{
					Index: index, State: TaskBound, Machine: "vm-1",
					Attempt:  rapid.Uint64Range(1, 3).Draw(t, "attempt"),
					Failures: rapid.IntRange(0, 2).Draw(t, "failures"),
				})
			}
		}
		decoded, err := DecodeJob(job.EncodeTasks(0, tasks).Value)
		if err != nil {
			t.Fatal(err)
		}
		if len(decoded.Tasks) != len(tasks) || decoded.Groups != nil || decoded.Failures != nil {
			t.Fatalf("%d tasks, %d groups, want %d tasks", len(decoded.Tasks), len(decoded.Groups), len(tasks))
		}
		got := map[int]Task{}
		for _, task := range decoded.Tasks {
			got[task.Index] = task
		}
		for _, want := range tasks {
			if got[want.Index] != want {
				t.Fatalf("task %d is %+v, want %+v", want.Index, got[want.Index], want)
			}
		}
	})
}

// TestInvalidLayoutsAreRejected checks that a job record with an invalid layout fails to decode.
func TestInvalidLayoutsAreRejected(t *testing.T) {
	for _, layout := range []struct{ width, firstFixed int }{
		{-1, 0}, {3, 0}, {tuning.FixedChunkTasks * 2, 0}, {0, 1}, {16, -1}, {16, 2},
	} {
		job := Job{Spec: wire.JobSpec{ID: "run-7", TaskCount: 200}}
		job.ChunkWidth, job.FirstFixedChunk = layout.width, layout.firstFixed
		_, err := DecodeJob(wire.MustEncode(job))
		var invalid *LayoutError
		want := LayoutError{layout.width, layout.firstFixed, job.Spec.TaskCount}
		if !errors.As(err, &invalid) || *invalid != want {
			t.Errorf("decoding layout %+v returned %v", layout, err)
		}
	}
}
