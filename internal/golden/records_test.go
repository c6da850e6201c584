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
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// arraySpec describes a job of the first version: no field that a later one added.
func arraySpec(tasks int) wire.JobSpec {
	return wire.JobSpec{ID: "run-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: tasks,
		CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageSizeGB: 6.2, MachineTypes: []string{"g8"}, Zone: "east", AllowSpot: true,
		RuntimeEstimateSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900}
}

func boundTask(index int, attempt uint64, machine string) clusterstate.Task {
	return clusterstate.Task{Index: index, State: clusterstate.TaskBound, Attempt: attempt, Machine: machine, Session: 7, ChargedShard: 2}
}

// jobRecords are jobs' records of every schema version and layout.
func jobRecords() []message {
	tasks := []clusterstate.Task{
		{Index: 0, State: clusterstate.TaskDone, Attempt: 1, Machine: "vm-1", Session: 7},
		{Index: 3, State: clusterstate.TaskPending, Attempt: 2},
		boundTask(4, 3, "vm-2"),
	}
	groups := []clusterstate.TaskGroup{
		{State: clusterstate.TaskDone, Attempt: 1, Machine: "vm-1", Session: 7, IndexRuns: []int{0, 3, 9, 0}},
		{State: clusterstate.TaskBound, Attempt: 300, Machine: "vm-2", Session: 70000, ChargedShard: 1, IndexRuns: []int{5, 1}},
	}
	three := 3
	awaiting, limited := arraySpec(200), arraySpec(200)
	awaiting.Dependencies = []string{"run-1", "run-2"}
	limited.MaxRetries = &three
	gang := arraySpec(4)
	gang.Kind, gang.SameZone, gang.Spread = wire.KindGang, true, true
	away := &clusterstate.Transfer{Cell: "b", Number: 9, Epoch: 2, Recalled: true}
	const submittedMs, laterMs = 1_700_000_000_000, 1_700_000_060_000
	return []message{
		{"job/version-0-no-task", clusterstate.JobRecord{Spec: arraySpec(1), SubmittedAtMs: submittedMs}},
		{"job/version-0", clusterstate.JobRecord{Spec: arraySpec(200), SubmittedAtMs: submittedMs, Tasks: tasks}},
		{"job/version-0-cancelled", clusterstate.JobRecord{Spec: arraySpec(200), SubmittedAtMs: submittedMs, CancelledAtMs: laterMs, Tasks: tasks}},
		{"job/version-0-gang-to-stop", clusterstate.JobRecord{Spec: gang, SubmittedAtMs: submittedMs, PreemptedAttempt: 3, Tasks: tasks}},
		{"job/version-1-groups", clusterstate.JobRecord{Spec: awaiting, SubmittedAtMs: submittedMs, ChunkWidth: 50, Groups: groups}},
		{"job/version-1-half-moved", clusterstate.JobRecord{Spec: awaiting, SubmittedAtMs: submittedMs, ChunkWidth: 50, FirstFixedChunk: 1, Groups: groups}},
		{"job/version-2-cancelled", clusterstate.JobRecord{Spec: awaiting, SubmittedAtMs: submittedMs, CancelledAtMs: laterMs, ChunkWidth: 50, Groups: groups, CancelAfterRelease: true}},
		{"job/version-3-failures", clusterstate.JobRecord{Spec: limited, SubmittedAtMs: submittedMs, Tasks: tasks, Failures: []int{3, 1, 4, 2}}},
		{"job/version-3-failed", clusterstate.JobRecord{Spec: limited, SubmittedAtMs: submittedMs, CancelledAtMs: laterMs, CancelAfterRelease: true, Failures: []int{3, 4}, Failed: true}},
		{"job/version-4-away", clusterstate.JobRecord{Spec: limited, SubmittedAtMs: submittedMs, OffloadedTo: away, OffloadedAtMs: laterMs}},
		{"job/version-4-guest", clusterstate.JobRecord{Spec: limited, SubmittedAtMs: submittedMs, OffloadedFrom: &clusterstate.Transfer{Cell: "c", Number: 1, Epoch: 1}}},
		{"chunk/version-0", clusterstate.FixedChunkRecord{Tasks: tasks}},
		{"chunk/version-3", clusterstate.FixedChunkRecord{Tasks: tasks, Failures: []int{3, 1}}},
		{"fine/version-1", clusterstate.GroupedChunkRecord{Groups: groups}},
		{"fine/version-3", clusterstate.GroupedChunkRecord{Groups: groups, Failures: []int{5, 1}}},
	}
}

// TestRecords: the durable records keep their bytes.
func TestRecords(t *testing.T) {
	checkCBOR(t, "records.txt", slices.Concat(jobRecords(),
		filled[clusterstate.JobRecord](t, "job"),
		filled[clusterstate.Transfer](t, "transfer"),
		filled[clusterstate.CellRecord](t, "cell"),
		filled[clusterstate.GuestOutcomeRecord](t, "ended-guest"),
		filled[clusterstate.FixedChunkRecord](t, "chunk"),
		filled[clusterstate.GroupedChunkRecord](t, "fine"),
		filled[clusterstate.SchemaVersionRecord](t, "schema-version"),
		filled[clusterstate.MachineRecord](t, "machine"),
		filled[clusterstate.ShardRecord](t, "shard"),
		filled[clusterstate.NodeRecord](t, "node"),
		filled[clusterstate.QuotaRecord](t, "quota"),
		filled[clusterstate.RentalRecord](t, "rental"),
		filled[clusterstate.FinalRecord](t, "final"),
		filled[clusterstate.Resources](t, "amount"),
		filled[clusterstate.Task](t, "task"),
		filled[clusterstate.TaskGroup](t, "group"),
		filled[wire.Catalog](t, "catalog"),
		filled[wire.MachineType](t, "machine-type"),
		filled[learner.Saved](t, "learner-checkpoint"),
		[]message{
			{"quota/no-grants", clusterstate.QuotaRecord{Grants: map[string]clusterstate.Resources{}}},
			{"machine/in-use", clusterstate.MachineRecord{Type: "g8", Zone: "east", Address: "10.0.0.1:80", CreatedAtMs: 1_700_000_000_000, Up: true}},
			{"node/version-before", clusterstate.NodeRecord{Incarnation: 77}},
			{"shard/given", clusterstate.ShardRecord{Owner: "n0", Incarnation: 7, FencingToken: 12, HandedOff: true}},
		},
	))
}

// TestRecordKeys: the records keep their keys.
func TestRecordKeys(t *testing.T) {
	var out strings.Builder
	for _, line := range []struct{ name, key string }{
		{"root", clusterstate.LivePrefix},
		{"catalog", clusterstate.CatalogKey},
		{"machine type", clusterstate.MachineTypeKey("g8")},
		{"schema version", clusterstate.SchemaVersionKey},
		{"job", clusterstate.JobKey("run-000412")},
		{"chunk", clusterstate.FixedChunkKey("run-000412", 7)},
		{"fine", clusterstate.GroupedChunkKey("run-000412", 7)},
		{"machine", clusterstate.MachineKey("vm-1")},
		{"shard", clusterstate.ShardKey(3)},
		{"leader", clusterstate.ShardKey(clusterstate.LeaderShard)},
		{"node", clusterstate.NodeKey("n0")},
		{"quota", clusterstate.QuotaKey("vision")},
		{"rental", clusterstate.RentalKey("r-1")},
		{"final", clusterstate.FinalKey("run-000412")},
		{"cell", clusterstate.CellKey("b")},
		{"ended guest", clusterstate.GuestOutcomeKey("b", 12)},
		{"learner", clusterstate.LearnerCheckpointKey("n0")},
		{"learner piece", clusterstate.LearnerCheckpointPieceKey("n0", 2)},
		{"task", clusterstate.TaskRef{Job: "run-000412", Index: 12}.String()},
	} {
		fmt.Fprintf(&out, "%s: %s\n", line.name, line.key)
	}
	for i := range 12 {
		machine := fmt.Sprintf("vm-%d", i*i)
		fmt.Fprintf(&out, "shard of %s among 3: %d, among 7: %d\n", machine, clusterstate.ShardOf(machine, 3), clusterstate.ShardOf(machine, 7))
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
		rec := clusterstate.JobRecord{Spec: arraySpec(2 * tuning.ChunkTasks), SubmittedAtMs: 1_700_000_000_000, ChunkWidth: width.width, FirstFixedChunk: width.wide}
		rec.Spec.MaxRetries = &three
		view := clusterstate.New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
		view.BeginUpdate()
		view.Put(clusterstate.JobKey(rec.Spec.ID), wire.MustEncode(rec), 11)
		view.EndUpdate()
		job := view.Jobs[rec.Spec.ID]
		change := map[int]clusterstate.Task{}
		for _, index := range []int{0, 1, 2, 49, 50, 51, tuning.ChunkTasks - 1, tuning.ChunkTasks, tuning.ChunkTasks + 1} {
			task := boundTask(index, 1, "vm-1")
			task.Failures = index % 3
			change[index] = task
		}
		for record := range job.ChunkCount() {
			add(fmt.Sprintf("%s/record-%d", width.name, record), []wire.Op{job.EncodeChunk(record, change)})
		}
		add(width.name+"/final", job.FinalizeOps(wire.JobDone, 400, 1_700_000_060_000))
		if guards, ops, ok := job.MigrateChunk(view.SizeLimits(4000), 1); ok {
			messages = append(messages, message{width.name + "/move", wire.TxnRequest{Conditions: guards, Ops: ops}})
		}
	}
	checkCBOR(t, "job_changes.txt", messages)
}
