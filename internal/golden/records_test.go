package golden_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// arraySpec returns a job description without the fields that were added after the first version.
func arraySpec(tasks int) wire.JobSpec {
	return wire.JobSpec{
		ID: "run-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityHigh,
		TaskCount: tasks, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageSizeGB: 6.2,
		MachineTypes: []string{"g8"}, Zone: "east", AllowSpot: true,
		JobTiming: wire.JobTiming{
			RuntimeEstimateSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900,
		},
	}
}

func boundTask(index int, attempt uint64, machine string) record.Task {
	return record.Task{
		Index: index, State: record.TaskBound, Attempt: attempt, Machine: machine, Session: 7, ChargedShard: 2,
	}
}

// Times of submission and of later events, in milliseconds since the Unix epoch.
const (
	submittedMs = 1_700_000_000_000
	laterMs     = 1_700_000_060_000
)

func testTasks() []record.Task {
	return []record.Task{
		{Index: 0, State: record.TaskDone, Attempt: 1, Machine: "vm-1", Session: 7},
		{Index: 3, State: record.TaskPending, Attempt: 2},
		boundTask(4, 3, "vm-2"),
	}
}

func testGroups() []record.TaskGroup {
	return []record.TaskGroup{
		{State: record.TaskDone, Attempt: 1, Machine: "vm-1", Session: 7, IndexRuns: []int{0, 3, 9, 0}},
		{
			State: record.TaskBound, Attempt: 300, Machine: "vm-2", Session: 70000, ChargedShard: 1,
			IndexRuns: []int{5, 1},
		},
	}
}

// jobRecords returns records of jobs and of their chunks in every schema version and layout.
func jobRecords() []message {
	job := func(name string, change func(*record.Job)) message {
		value := record.Job{Spec: arraySpec(200), SubmittedAtMs: submittedMs}
		change(&value)
		return message{"job/" + name, value}
	}
	dependent := func(j *record.Job) { j.Spec.Dependencies = []string{"run-1", "run-2"} }
	limited := func(j *record.Job) { j.Spec.MaxRetries = new(3) }
	return []message{
		job("version-0-no-task", func(j *record.Job) { j.Spec = arraySpec(1) }),
		job("version-0", func(j *record.Job) { j.Tasks = testTasks() }),
		job("version-0-cancelled", func(j *record.Job) { j.CancelledAtMs, j.Tasks = laterMs, testTasks() }),
		job("version-0-gang-to-stop", func(j *record.Job) {
			j.Spec = arraySpec(4)
			j.Spec.Kind, j.Spec.SameZone, j.Spec.Spread = wire.KindGang, true, true
			j.PreemptedAttempt, j.Tasks = 3, testTasks()
		}),
		job("version-1-groups", func(j *record.Job) {
			dependent(j)
			j.ChunkWidth, j.Groups = 50, testGroups()
		}),
		job("version-1-half-moved", func(j *record.Job) {
			dependent(j)
			j.ChunkWidth, j.FirstFixedChunk, j.Groups = 50, 1, testGroups()
		}),
		job("version-2-cancelled", func(j *record.Job) {
			dependent(j)
			j.CancelledAtMs, j.CancelAfterRelease, j.ChunkWidth, j.Groups = laterMs, true, 50, testGroups()
		}),
		job("version-3-failures", func(j *record.Job) {
			limited(j)
			j.Tasks, j.Failures = testTasks(), []int{3, 1, 4, 2}
		}),
		job("version-3-failed", func(j *record.Job) {
			limited(j)
			j.CancelledAtMs, j.CancelAfterRelease, j.Failures, j.Failed = laterMs, true, []int{3, 4}, true
		}),
		job("version-4-away", func(j *record.Job) {
			limited(j)
			j.OffloadedTo = &record.Transfer{Cell: "b", Number: 9, Epoch: 2, Recalled: true}
			j.OffloadedAtMs = laterMs
		}),
		job("version-4-guest", func(j *record.Job) {
			limited(j)
			j.OffloadedFrom = &record.Transfer{Cell: "c", Number: 1, Epoch: 1}
		}),
		{"chunk/version-0", record.FixedChunk{Tasks: testTasks()}},
		{"chunk/version-3", record.FixedChunk{Tasks: testTasks(), Failures: []int{3, 1}}},
		{"fine/version-1", record.GroupedChunk{Groups: testGroups()}},
		{"fine/version-3", record.GroupedChunk{Groups: testGroups(), Failures: []int{5, 1}}},
	}
}

// TestRecords checks that the durable records keep their encoding.
func TestRecords(t *testing.T) {
	checkCBOR(t, "records.txt", slices.Concat(jobRecords(),
		filledSinceVersion(t, "job",
			addedField[record.Job]{"cancel-request", func(j *record.Job) { j.CancelRequestedAtMs = 0 }}),
		filled[record.Transfer](t, "transfer"),
		filled[record.Cell](t, "cell"),
		filled[record.TransferOutcome](t, "ended-guest"),
		filled[record.FixedChunk](t, "chunk"),
		filled[record.GroupedChunk](t, "fine"),
		filled[record.SchemaVersion](t, "schema-version"),
		filled[record.Machine](t, "machine"),
		filled[record.Shard](t, "shard"),
		filledSinceVersion(t, "node",
			addedField[record.Node]{"cancel-request", func(n *record.Node) { n.HonorsCancelRequests = false }},
			addedField[record.Node]{"narrowed-chunks", func(n *record.Node) { n.ReadsNarrowedChunks = false }}),
		filled[record.Quota](t, "quota"),
		filled[record.Rental](t, "rental"),
		filled[record.Final](t, "final"),
		filled[record.Resources](t, "amount"),
		filled[record.Task](t, "task"),
		filled[record.TaskGroup](t, "group"),
		filled[wire.Catalog](t, "catalog"),
		filled[wire.MachineType](t, "machine-type"),
		filled[learner.Checkpoint](t, "learner-checkpoint"),
		[]message{
			{"quota/no-grants", record.Quota{Grants: map[string]record.Resources{}}},
			{"machine/in-use", record.Machine{
				Type: "g8", Zone: "east", Address: "10.0.0.1:80", CreatedAtMs: submittedMs, Up: true,
			}},
			{"node/version-before", record.Node{Incarnation: 77}},
			{"job/cancel-request", record.Job{
				Spec: arraySpec(5), SubmittedAtMs: submittedMs, CancelRequestedAtMs: laterMs,
			}},
			{"shard/given", record.Shard{Owner: "n0", OwnerIncarnation: 7, FencingToken: 12, Transferred: true}},
		},
	))
}

// TestRecordKeys checks that the records keep their keys and that machines keep their shards.
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
		{"ended guest", record.TransferOutcomeKey("b", 12)},
		{"learner", record.LearnerCheckpointKey("n0")},
		{"learner piece", record.LearnerCheckpointPieceKey("n0", 2)},
		{"task", record.TaskRef{JobID: "run-000412", Index: 12}.String()},
	} {
		fmt.Fprintf(&out, "%s: %s\n", line.name, line.key)
	}
	for i := range 12 {
		machine := fmt.Sprintf("vm-%d", i*i)
		fmt.Fprintf(&out, "shard of %s among 3: %d, among 7: %d\n",
			machine, record.ShardOf(machine, 3), record.ShardOf(machine, 7))
	}
	checkText(t, "keys.txt", out.String())
}
