package golden_test

import (
	"fmt"
	"log/slog"
	"testing"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// layout describes how a job's tasks are distributed over its records.
type layout struct {
	name            string
	chunkWidth      int
	firstFixedChunk int
}

var layouts = []layout{
	{name: "chunks"},
	{name: "groups", chunkWidth: tuning.FixedChunkTasks / 4},
	{name: "half-moved", chunkWidth: tuning.FixedChunkTasks / 4, firstFixedChunk: 1},
}

// liveJob returns a cluster state that contains a job with several records, and that job.
func liveJob(l layout) (*clusterstate.State, *clusterstate.Job) {
	spec := arraySpec(2 * tuning.FixedChunkTasks)
	spec.MaxRetries = new(3)
	job := record.Job{
		Spec: spec, SubmittedAtMs: submittedMs, ChunkWidth: l.chunkWidth, FirstFixedChunk: l.firstFixedChunk,
	}
	state := clusterstate.New(3, slog.New(slog.DiscardHandler))
	state.BeginUpdate()
	defer state.EndUpdate()
	state.Put(record.JobKey(spec.ID), wire.MustEncode(job), 11)
	return state, state.Jobs[spec.ID]
}

// changedTasks returns tasks at the boundaries of records by index. Some of them have earlier failures.
func changedTasks() map[int]record.Task {
	tasks := map[int]record.Task{}
	for _, index := range []int{0, 1, 2, 49, 50, 51, tuning.FixedChunkTasks - 1, tuning.FixedChunkTasks,
		tuning.FixedChunkTasks + 1} {
		task := boundTask(index, 1, "vm-1")
		task.Failures = index % 3
		tasks[index] = task
	}
	return tasks
}

// TestJobChanges checks that the store operations that the cluster state generates for a job keep their keys, order and
// encoding.
func TestJobChanges(t *testing.T) {
	var messages []message
	for _, l := range layouts {
		state, job := liveJob(l)
		for chunk := range job.ChunkCount() {
			name := fmt.Sprintf("%s/record-%d/0", l.name, chunk)
			messages = append(messages, message{name, job.EncodeChunk(chunk, changedTasks())})
		}
		for i, op := range job.FinalizeOps(wire.JobDone, 400, laterMs) {
			messages = append(messages, message{fmt.Sprintf("%s/final/%d", l.name, i), op})
		}
		if migration, ok := job.MigrateChunk(state.SizeLimits(4000), 1); ok {
			transaction := wire.TxnRequest{Conditions: migration.Conditions, Ops: migration.Ops}
			messages = append(messages, message{l.name + "/move", transaction})
		}
	}
	checkCBOR(t, "job_changes.txt", messages)
}
