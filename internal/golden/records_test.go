package golden_test

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"sableusher/internal/learn"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// arraySpec describes a job of the first version: no field that a later one added.
func arraySpec(tasks int) wire.JobSpec {
	return wire.JobSpec{ID: "run-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityHigh, TaskCount: tasks,
		CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageSizeGB: 6.2, MachineTypes: []string{"g8"}, Zone: "east", AllowSpot: true,
		RuntimeEstimateSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900}
}

func boundTask(index int, attempt uint64, machine string) world.Task {
	return world.Task{Index: index, State: world.Bound, Attempt: attempt, Machine: machine, Session: 7, Charge: 2}
}

// jobRecords are jobs' records of every schema version and layout.
func jobRecords() []message {
	tasks := []world.Task{
		{Index: 0, State: world.Done, Attempt: 1, Machine: "vm-1", Session: 7},
		{Index: 3, State: world.Idle, Attempt: 2},
		boundTask(4, 3, "vm-2"),
	}
	groups := []world.Group{
		{State: world.Done, Attempt: 1, Machine: "vm-1", Session: 7, Spans: []int{0, 3, 9, 0}},
		{State: world.Bound, Attempt: 300, Machine: "vm-2", Session: 70000, Charge: 1, Spans: []int{5, 1}},
	}
	three := 3
	awaiting, limited := arraySpec(200), arraySpec(200)
	awaiting.Dependencies = []string{"run-1", "run-2"}
	limited.MaxRetries = &three
	gang := arraySpec(4)
	gang.Kind, gang.SameZone, gang.Spread = wire.KindGang, true, true
	away := &world.Transfer{Cell: "b", Number: 9, Epoch: 2, Recalled: true}
	const submittedMs, laterMs = 1_700_000_000_000, 1_700_000_060_000
	return []message{
		{"job/version-0-no-task", world.JobRecord{Spec: arraySpec(1), AtMs: submittedMs}},
		{"job/version-0", world.JobRecord{Spec: arraySpec(200), AtMs: submittedMs, Tasks: tasks}},
		{"job/version-0-cancelled", world.JobRecord{Spec: arraySpec(200), AtMs: submittedMs, CancelMs: laterMs, Tasks: tasks}},
		{"job/version-0-gang-to-stop", world.JobRecord{Spec: gang, AtMs: submittedMs, Yield: 3, Tasks: tasks}},
		{"job/version-1-groups", world.JobRecord{Spec: awaiting, AtMs: submittedMs, Width: 50, Groups: groups}},
		{"job/version-1-half-moved", world.JobRecord{Spec: awaiting, AtMs: submittedMs, Width: 50, Wide: 1, Groups: groups}},
		{"job/version-2-cancelled", world.JobRecord{Spec: awaiting, AtMs: submittedMs, CancelMs: laterMs, Width: 50, Groups: groups, Certain: true}},
		{"job/version-3-failures", world.JobRecord{Spec: limited, AtMs: submittedMs, Tasks: tasks, Failures: []int{3, 1, 4, 2}}},
		{"job/version-3-failed", world.JobRecord{Spec: limited, AtMs: submittedMs, CancelMs: laterMs, Certain: true, Failures: []int{3, 4}, Failed: true}},
		{"job/version-4-away", world.JobRecord{Spec: limited, AtMs: submittedMs, Away: away, AwayMs: laterMs}},
		{"job/version-4-guest", world.JobRecord{Spec: limited, AtMs: submittedMs, Guest: &world.Transfer{Cell: "c", Number: 1, Epoch: 1}}},
		{"chunk/version-0", world.ChunkRecord{Tasks: tasks}},
		{"chunk/version-3", world.ChunkRecord{Tasks: tasks, Failures: []int{3, 1}}},
		{"fine/version-1", world.FineRecord{Groups: groups}},
		{"fine/version-3", world.FineRecord{Groups: groups, Failures: []int{5, 1}}},
	}
}

// TestRecords: the durable records keep their bytes.
func TestRecords(t *testing.T) {
	checkCBOR(t, "records.txt", slices.Concat(jobRecords(),
		filled[world.JobRecord](t, "job"),
		filled[world.Transfer](t, "transfer"),
		filled[world.CellRecord](t, "cell"),
		filled[world.OverRecord](t, "ended-guest"),
		filled[world.ChunkRecord](t, "chunk"),
		filled[world.FineRecord](t, "fine"),
		filled[world.LevelRecord](t, "schema-version"),
		filled[world.MachineRecord](t, "machine"),
		filled[world.PartRecord](t, "shard"),
		filled[world.NodeRecord](t, "node"),
		filled[world.QuotaRecord](t, "quota"),
		filled[world.RentalRecord](t, "rental"),
		filled[world.FinalRecord](t, "final"),
		filled[world.Amount](t, "amount"),
		filled[world.Task](t, "task"),
		filled[world.Group](t, "group"),
		filled[wire.Catalog](t, "catalog"),
		filled[wire.MachineType](t, "machine-type"),
		filled[learn.Saved](t, "learner-checkpoint"),
		[]message{
			{"quota/no-grants", world.QuotaRecord{Grants: map[string]world.Amount{}}},
			{"machine/in-use", world.MachineRecord{Type: "g8", Zone: "east", Address: "10.0.0.1:80", AtMs: 1_700_000_000_000, Up: true}},
			{"node/version-before", world.NodeRecord{Inc: 77}},
			{"shard/given", world.PartRecord{Owner: "n0", Inc: 7, Token: 12, Given: true}},
		},
	))
}

// TestRecordKeys: the records keep their keys.
func TestRecordKeys(t *testing.T) {
	var out strings.Builder
	for _, line := range []struct{ name, key string }{
		{"root", world.Root},
		{"catalog", world.CatalogKey},
		{"machine type", world.TypeKey("g8")},
		{"schema version", world.LevelKey},
		{"job", world.JobKey("run-000412")},
		{"chunk", world.ChunkKey("run-000412", 7)},
		{"fine", world.FineKey("run-000412", 7)},
		{"machine", world.MachineKey("vm-1")},
		{"shard", world.PartKey(3)},
		{"leader", world.PartKey(world.Leader)},
		{"node", world.NodeKey("n0")},
		{"quota", world.QuotaKey("vision")},
		{"rental", world.RentalKey("r-1")},
		{"final", world.FinalKey("run-000412")},
		{"cell", world.CellKey("b")},
		{"ended guest", world.OverKey("b", 12)},
		{"learner", world.LearnKey("n0")},
		{"learner piece", world.LearnPieceKey("n0", 2)},
		{"task", world.TaskRef{Job: "run-000412", Index: 12}.String()},
	} {
		fmt.Fprintf(&out, "%s: %s\n", line.name, line.key)
	}
	for i := range 12 {
		machine := fmt.Sprintf("vm-%d", i*i)
		fmt.Fprintf(&out, "shard of %s among 3: %d, among 7: %d\n", machine, world.PartOf(machine, 3), world.PartOf(machine, 7))
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
		rec := world.JobRecord{Spec: arraySpec(2 * tuning.ChunkTasks), AtMs: 1_700_000_000_000, Width: width.width, Wide: width.wide}
		rec.Spec.MaxRetries = &three
		view := world.New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
		view.Begin()
		view.Put(world.JobKey(rec.Spec.ID), wire.MustEncode(rec), 11)
		view.Flush()
		job := view.Jobs[rec.Spec.ID]
		change := map[int]world.Task{}
		for _, index := range []int{0, 1, 2, 49, 50, 51, tuning.ChunkTasks - 1, tuning.ChunkTasks, tuning.ChunkTasks + 1} {
			task := boundTask(index, 1, "vm-1")
			task.Failures = index % 3
			change[index] = task
		}
		for record := range job.Records() {
			add(fmt.Sprintf("%s/record-%d", width.name, record), []wire.Op{job.Encode(record, change)})
		}
		add(width.name+"/final", job.Final(wire.JobDone, 400, 1_700_000_060_000))
		if guards, ops, ok := job.Move(view.Fit(4000), 1); ok {
			messages = append(messages, message{width.name + "/move", wire.TxnRequest{Conditions: guards, Ops: ops}})
		}
	}
	checkCBOR(t, "job_changes.txt", messages)
}
