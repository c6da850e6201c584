package golden_test

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"sableusher/internal/clusterstate"
	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// arraySpec describes a job of the first version: no field that a later one added.
func arraySpec(tasks int) wire.JobSpec {
	return wire.JobSpec{ID: "run-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: tasks,
		CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageSizeGB: 6.2, MachineTypes: []string{"g8"}, Zone: "east", AllowSpot: true,
		RuntimeEstimateSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900}
}

func boundTask(index int, attempt uint64, machine string) record.Task {
	return record.Task{Index: index, State: record.TaskBound, Attempt: attempt, Machine: machine, Session: 7, ChargedShard: 2}
}

// jobRecords are jobs' records of every schema version and layout.
func jobRecords() []message {
	tasks := []record.Task{
		{Index: 0, State: record.TaskDone, Attempt: 1, Machine: "vm-1", Session: 7},
		{Index: 3, State: record.TaskPending, Attempt: 2},
		boundTask(4, 3, "vm-2"),
	}
	groups := []record.TaskGroup{
		{State: record.TaskDone, Attempt: 1, Machine: "vm-1", Session: 7, IndexRuns: []int{0, 3, 9, 0}},
		{State: record.TaskBound, Attempt: 300, Machine: "vm-2", Session: 70000, ChargedShard: 1, IndexRuns: []int{5, 1}},
	}
	three := 3
	awaiting, limited := arraySpec(200), arraySpec(200)
	awaiting.Dependencies = []string{"run-1", "run-2"}
	limited.MaxRetries = &three
	gang := arraySpec(4)
	gang.Kind, gang.SameZone, gang.Spread = wire.KindGang, true, true
	away := &record.Transfer{Cell: "b", Number: 9, Epoch: 2, Recalled: true}
	const submittedMs, laterMs = 1_700_000_000_000, 1_700_000_060_000
	return []message{
		{"job/version-0-no-task", record.Job{Spec: arraySpec(1), SubmittedAtMs: submittedMs}},
		{"job/version-0", record.Job{Spec: arraySpec(200), SubmittedAtMs: submittedMs, Tasks: tasks}},
		{"job/version-0-cancelled", record.Job{Spec: arraySpec(200), SubmittedAtMs: submittedMs, CancelledAtMs: laterMs, Tasks: tasks}},
		{"job/version-0-gang-to-stop", record.Job{Spec: gang, SubmittedAtMs: submittedMs, PreemptedAttempt: 3, Tasks: tasks}},
		{"job/version-1-groups", record.Job{Spec: awaiting, SubmittedAtMs: submittedMs, ChunkWidth: 50, Groups: groups}},
		{"job/version-1-half-moved", record.Job{Spec: awaiting, SubmittedAtMs: submittedMs, ChunkWidth: 50, FirstFixedChunk: 1, Groups: groups}},
		{"job/version-2-cancelled", record.Job{Spec: awaiting, SubmittedAtMs: submittedMs, CancelledAtMs: laterMs, ChunkWidth: 50, Groups: groups, CancelAfterRelease: true}},
		{"job/version-3-failures", record.Job{Spec: limited, SubmittedAtMs: submittedMs, Tasks: tasks, Failures: []int{3, 1, 4, 2}}},
		{"job/version-3-failed", record.Job{Spec: limited, SubmittedAtMs: submittedMs, CancelledAtMs: laterMs, CancelAfterRelease: true, Failures: []int{3, 4}, Failed: true}},
		{"job/version-4-away", record.Job{Spec: limited, SubmittedAtMs: submittedMs, OffloadedTo: away, OffloadedAtMs: laterMs}},
		{"job/version-4-guest", record.Job{Spec: limited, SubmittedAtMs: submittedMs, OffloadedFrom: &record.Transfer{Cell: "c", Number: 1, Epoch: 1}}},
		{"chunk/version-0", record.FixedChunk{Tasks: tasks}},
		{"chunk/version-3", record.FixedChunk{Tasks: tasks, Failures: []int{3, 1}}},
		{"fine/version-1", record.GroupedChunk{Groups: groups}},
		{"fine/version-3", record.GroupedChunk{Groups: groups, Failures: []int{5, 1}}},
	}
}

// TestRecords: the durable records keep their bytes.
func TestRecords(t *testing.T) {
	checkCBOR(t, "records.txt", slices.Concat(jobRecords(),
		filled[record.Job](t, "job"),
		filled[record.Transfer](t, "transfer"),
		filled[record.Cell](t, "cell"),
		filled[record.GuestOutcome](t, "ended-guest"),
		filled[record.FixedChunk](t, "chunk"),
		filled[record.GroupedChunk](t, "fine"),
		filled[record.SchemaVersion](t, "schema-version"),
		filled[record.Machine](t, "machine"),
		filled[record.Shard](t, "shard"),
		filled[record.Node](t, "node"),
		filled[record.Quota](t, "quota"),
		filled[record.Rental](t, "rental"),
		filled[record.Final](t, "final"),
		filled[record.Resources](t, "amount"),
		filled[record.Task](t, "task"),
		filled[record.TaskGroup](t, "group"),
		filled[wire.Catalog](t, "catalog"),
		filled[wire.MachineType](t, "machine-type"),
		filled[learner.Saved](t, "learner-checkpoint"),
		[]message{
			{"quota/no-grants", record.Quota{Grants: map[string]record.Resources{}}},
			{"machine/in-use", record.Machine{Type: "g8", Zone: "east", Address: "10.0.0.1:80", CreatedAtMs: 1_700_000_000_000, Up: true}},
			{"node/version-before", record.Node{Incarnation: 77}},
			{"shard/given", record.Shard{Owner: "n0", Incarnation: 7, FencingToken: 12, HandedOff: true}},
		},
	))
}

// TestRecordKeys: the records keep their keys.
func TestRecordKeys(t *testing.T) {
	var out strings.Builder
	for _, line := range []struct{ name, key string }{
		{"root", record.LivePrefix},
		{"catalog", record.CatalogKey},
		{"machine type", record.MachineTypeKey("g8")},
		{"schema version", record.SchemaVersionKey},
		{"job", record.JobKey("run-000412")},
		{"chunk", record.FixedChunkKey("run-000412", 7)},
		{"fine", record.GroupedChunkKey("run-000412", 7)},
		{"machine", record.MachineKey("vm-1")},
		{"shard", record.ShardKey(3)},
		{"leader", record.ShardKey(record.LeaderShard)},
		{"node", record.NodeKey("n0")},
		{"quota", record.QuotaKey("vision")},
		{"rental", record.RentalKey("r-1")},
		{"final", record.FinalKey("run-000412")},
		{"cell", record.CellKey("b")},
		{"ended guest", record.GuestOutcomeKey("b", 12)},
		{"learner", record.LearnerCheckpointKey("n0")},
		{"learner piece", record.LearnerCheckpointPieceKey("n0", 2)},
		{"task", record.TaskRef{Job: "run-000412", Index: 12}.String()},
	} {
		fmt.Fprintf(&out, "%s: %s\n", line.name, line.key)
	}
	for i := range 12 {
		machine := fmt.Sprintf("vm-%d", i*i)
		fmt.Fprintf(&out, "shard of %s among 3: %d, among 7: %d\n", machine, record.ShardOf(machine, 3), record.ShardOf(machine, 7))
	}
	checkText(t, "keys.txt", out.String())
}

// TestJobChanges: a job's changes, made from the cluster's state, keep their keys, order and bytes.
func TestJobChanges(t *testing.T) {
	var messages []message
	add := func(name string, ops []wire.Op) {
		for i, op := range ops {
			messages = append(messages, message{fmt.Sprintf("%s/%d", name, i), op})
		}
	}
	for _, width := range []struct {
		name        string
		width, wide int
	}{{"chunks", 0, 0}, {"groups", tuning.ChunkTasks / 4, 0}, {"half-moved", tuning.ChunkTasks / 4, 1}} {
		three := 3
		rec := record.Job{Spec: arraySpec(2 * tuning.ChunkTasks), SubmittedAtMs: 1_700_000_000_000, ChunkWidth: width.width, FirstFixedChunk: width.wide}
		rec.Spec.MaxRetries = &three
		view := clusterstate.New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
		view.BeginUpdate()
		view.Put(record.JobKey(rec.Spec.ID), wire.MustEncode(rec), 11)
		view.EndUpdate()
		job := view.Jobs[rec.Spec.ID]
		change := map[int]record.Task{}
		for _, index := range []int{0, 1, 2, 49, 50, 51, tuning.ChunkTasks - 1, tuning.ChunkTasks, tuning.ChunkTasks + 1} {
			task := boundTask(index, 1, "vm-1")
			task.Failures = index % 3
			change[index] = task
		}
		for chunk := range job.ChunkCount() {
			add(fmt.Sprintf("%s/record-%d", width.name, chunk), []wire.Op{job.EncodeChunk(chunk, change)})
		}
		add(width.name+"/final", job.FinalizeOps(wire.JobDone, 400, 1_700_000_060_000))
		if migration, ok := job.MigrateChunk(view.SizeLimits(4000), 1); ok {
			messages = append(messages, message{width.name + "/move", wire.TxnRequest{Conditions: migration.Conditions, Ops: migration.Ops}})
		}
	}
	checkCBOR(t, "job_changes.txt", messages)
}
