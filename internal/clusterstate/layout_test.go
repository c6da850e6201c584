package clusterstate

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// recordStore is a store of records with stamps, and a view that follows it.
type recordStore struct {
	records      map[string]wire.RawValue
	modRevisions map[string]uint64
	revision     uint64
	view         *State
}

func newRecordStore() *recordStore {
	return &recordStore{records: map[string]wire.RawValue{}, modRevisions: map[string]uint64{}, view: New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))}
}

// commit applies a change if its guards hold; the view sees its parts in any order.
func (s *recordStore) commit(t *rapid.T, guards []wire.Condition, ops []wire.Op) bool {
	for _, g := range guards {
		if s.modRevisions[g.Key] != g.ModRevision {
			return false
		}
	}
	s.revision++
	s.view.BeginUpdate()
	defer s.view.EndUpdate()
	for _, i := range rapid.Permutation(indexesUpTo(len(ops))).Draw(t, "order") {
		if o := ops[i]; o.PutKey != "" {
			s.records[o.PutKey], s.modRevisions[o.PutKey] = o.Value, s.revision
			s.view.Put(o.PutKey, o.Value, s.revision)
		} else {
			delete(s.records, o.DeleteKey)
			delete(s.modRevisions, o.DeleteKey)
			s.view.Delete(o.DeleteKey)
		}
	}
	return true
}

func indexesUpTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// reload reads all records anew, in any order, as a node does that starts.
func (s *recordStore) reload(t *rapid.T) *State {
	w := New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.BeginUpdate()
	for _, k := range rapid.Permutation(slices.Sorted(maps.Keys(s.records))).Draw(t, "listed") {
		w.Put(k, s.records[k], s.modRevisions[k])
	}
	w.EndUpdate()
	return w
}

// TestMigrationUnderConcurrentWrites changes tasks of jobs of every size in every layout
// while their records are moved, with writers that look away in between, and
// compares with a plain map: nothing is lost, nothing written twice, and what is
// written after the move stays within the limit.
func TestMigrationUnderConcurrentWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRecordStore()
		fit := record.SizeLimits{MaxBytes: rapid.IntRange(900, 16000).Draw(t, "room"), BoundTaskBytes: tuning.TaskBytes}
		spec := wire.JobSpec{ID: "run-7", Class: "c", Team: "t", Kind: rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindGang}).Draw(t, "kind"),
			Priority: wire.PriorityNormal, TaskCount: rapid.IntRange(1, 600).Draw(t, "tasks"), GPUs: 1}
		if rapid.Bool().Draw(t, "counted") {
			spec.MaxRetries = new(int)
		}
		s.commit(t, nil, []wire.Op{{PutKey: record.JobKey(spec.ID), Value: wire.MustEncode(record.Job{Spec: spec, SubmittedAtMs: 1764600000000})}})
		model := map[int]record.Task{}
		type write struct {
			guards []wire.Condition
			ops    []wire.Op
			tasks  map[int]record.Task
		}
		var late []write
		moving := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			j := s.view.Jobs[spec.ID]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1: // some tasks of one record change
				lo, hi := j.TaskRange(rapid.IntRange(0, j.ChunkCount()-1).Draw(t, "record"))
				change := map[int]record.Task{}
				for range rapid.IntRange(1, 12).Draw(t, "changed") {
					i := rapid.IntRange(lo, hi-1).Draw(t, "task")
					k := record.Task{Index: i, State: rapid.IntRange(record.TaskPending, record.TaskDone).Draw(t, "state"), Attempt: uint64(rapid.IntRange(1, 3).Draw(t, "attempt"))}
					if spec.MaxRetries != nil && k.State != record.TaskDone {
						k.Failures = rapid.IntRange(0, 12).Draw(t, "failures")
					}
					if k.State == record.TaskBound {
						k.Machine, k.Session = fmt.Sprintf("vm-%06d", rapid.IntRange(0, 5).Draw(t, "machine")), 1
					}
					change[i] = k
				}
				k := j.ChunkOf(lo)
				w := write{j.ChunkConditions(k), []wire.Op{j.EncodeChunk(k, change)}, change}
				if size := wire.JSONSize(w.ops[0].Value); j.MaxChunkSize(k, change) < size {
					t.Fatalf("record takes %d bytes, %d were expected", size, j.MaxChunkSize(k, change))
				}
				if rapid.Bool().Draw(t, "late") {
					late = append(late, w) // it is applied later, if its guards still hold
				} else if s.commit(t, w.guards, w.ops) {
					maps.Copy(model, change)
				}
			case 2:
				if !j.NeedsMigration(fit) {
					break
				}
				guards, ops, ok := j.MigrateChunk(fit, 4)
				if !ok {
					break
				}
				moving = true
				if len(ops) > tuning.LeastTxnOps {
					t.Fatalf("%d changes in one step", len(ops))
				}
				if !s.commit(t, guards, ops) {
					t.Fatal("a move from the newest view failed")
				}
			case 3:
				if len(late) > 0 {
					w := late[0]
					late = late[1:]
					if s.commit(t, w.guards, w.ops) {
						maps.Copy(model, w.tasks)
					}
				}
			}
			for _, w := range []*State{s.view, s.reload(t)} {
				j := w.Jobs[spec.ID]
				bound, done, failing := 0, 0, 0
				for i := range spec.TaskCount {
					want, ok := model[i]
					if !ok {
						want = record.Task{Index: i}
					}
					if got := j.Task(i); got != want {
						t.Fatalf("task %d is %+v, want %+v (width %d, wide %d)", i, got, want, j.ChunkWidth, j.FirstFixedChunk)
					}
					if want.State == record.TaskPending && want.Failures > 0 {
						failing++
						if j.PendingRetries[i].Failures != want.Failures {
							t.Fatalf("task %d waits to be repeated after %d failures, known as %+v", i, want.Failures, j.PendingRetries[i])
						}
					}
					switch want.State {
					case record.TaskBound:
						bound++
					case record.TaskDone:
						done++
					}
				}
				if len(j.PendingRetries) != failing {
					t.Fatalf("%d tasks wait to be repeated, want %d", len(j.PendingRetries), failing)
				}
				if j.BoundCount != bound || j.DoneCount != done {
					t.Fatalf("%d bound, %d done, want %d and %d", j.BoundCount, j.DoneCount, bound, done)
				}
			}
		}
		for range 20 {
			if j := s.view.Jobs[spec.ID]; moving && j.NeedsMigration(fit) {
				guards, ops, _ := j.MigrateChunk(fit, 4)
				s.commit(t, guards, ops)
			}
		}
		if j := s.view.Jobs[spec.ID]; moving && (j.ChunkWidth == 0 || j.FirstFixedChunk != 0) {
			t.Fatalf("records were not moved to the end: width %d, wide %d", j.ChunkWidth, j.FirstFixedChunk)
		}
		s.view.BeginUpdate()
		for _, k := range slices.Sorted(maps.Keys(s.records)) {
			s.view.Delete(k)
		}
		s.view.EndUpdate()
		if len(s.view.Jobs) != 0 {
			t.Fatal("a job without records is left")
		}
	})
}

// TestWidestRecordsFit: a gang of the widest kind with a machine for each task, and
// a full record of an array, are written within a limit of 2 KiB.
func TestGangRecordsFitSmallLimit(t *testing.T) {
	limit := 2048.0
	room := int(limit * tuning.JSONShare)
	for _, tasks := range []int{1, 32, 100, 5000} {
		spec := wire.JobSpec{ID: "run-00000000000000000001", Class: "a-class-of-work", Team: "a-team-of-people", Kind: wire.KindGang, Priority: wire.PriorityProduction,
			TaskCount: tasks, CPUs: 28.123456789, GPUs: 4, MemoryGB: 200.123456789, Image: "image-000000001", ImageSizeGB: 5.123456789012, SameZone: true,
			RuntimeEstimateSeconds: 70.1234567891234, CheckpointIntervalSeconds: 15, CheckpointSaveSeconds: 5, DeadlineSeconds: 123.456789012345, Dependencies: []string{"run-00000000000000000002", "run-00000000000000000003"}}
		rec := record.Job{Spec: spec, SubmittedAtMs: 1764600000000}
		rec.ChunkWidth = record.SizeLimits{MaxBytes: room, BoundTaskBytes: tuning.TaskBytes}.ChunkWidth(&spec, record.EncodedBaseSize(rec))
		if rec.ChunkWidth == 0 {
			t.Fatalf("%d tasks: no width", tasks)
		}
		j := &Job{Job: rec, HasRecord: true, EncodedBaseSize: record.EncodedBaseSize(rec)}
		for k := range min(j.ChunkCount(), 3) {
			change := map[int]record.Task{}
			lo, hi := j.TaskRange(k)
			for i := lo; i < hi; i++ {
				change[i] = record.Task{Index: i, State: record.TaskBound, Attempt: 1234, Machine: fmt.Sprintf("vm-%09d", i), Session: 12, ChargedShard: 3}
			}
			if n := wire.JSONSize(j.EncodeChunk(k, change).Value); n > 2048 {
				t.Errorf("%d tasks: record %d takes %d bytes", tasks, k, n)
			}
		}
	}
}

// TestCountedRecordsFit: where every task of a job waits to be repeated, its records still
// have room for a task to be bound again: else the job would stand still for ever.
func TestRecordsWithFailuresFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{2048, 8192, 16384}).Draw(t, "limit")
		room := int(limit * tuning.JSONShare)
		repeats := tuning.MaxRepeats
		spec := wire.JobSpec{ID: "run-00000000000000000001", Class: "c", Team: "t", Kind: rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindGang}).Draw(t, "kind"),
			Priority: wire.PriorityNormal, TaskCount: rapid.IntRange(1, 3000).Draw(t, "tasks"), GPUs: 1, MaxRetries: &repeats}
		rec := record.Job{Spec: spec, SubmittedAtMs: 1764600000000}
		bare, fit := record.EncodedBaseSize(rec), record.SizeLimits{MaxBytes: room, BoundTaskBytes: tuning.TaskBytes}
		if !fit.FixedChunksFit(&spec, bare) {
			if rec.ChunkWidth = fit.ChunkWidth(&spec, bare); rec.ChunkWidth == 0 {
				t.Fatal("no width")
			}
		}
		j := &Job{Job: rec, HasRecord: true, EncodedBaseSize: bare}
		lo, hi := j.TaskRange(rapid.IntRange(0, j.ChunkCount()-1).Draw(t, "record"))
		change := map[int]record.Task{}
		for i := lo; i < hi; i++ {
			change[i] = record.Task{Index: i, Attempt: 999, Failures: repeats}
		}
		change[lo] = record.Task{Index: lo, State: record.TaskBound, Attempt: 1000, Machine: "vm-000000000", Session: 99, ChargedShard: 3, Failures: repeats}
		if n := wire.JSONSize(j.EncodeChunk(j.ChunkOf(lo), change).Value); n > room {
			t.Errorf("width %d: a record takes %d bytes of %d", rec.ChunkWidth, n, room)
		}
	})
}

// TestGroupsRefuseNonsense: a record with numbers out of range is unreadable, not a
// way to fill the memory.
func TestInvalidTaskGroupsAreRefused(t *testing.T) {
	for _, spans := range [][]int{{1}, {-1, 0}, {0, -1}, {0, tuning.ChunkTasks}, {tuning.MaxTasks, 0}, {0, 1 << 40}, {0, 100, 0, 100}} {
		if tasks, err := record.ExpandGroups([]record.TaskGroup{{State: record.TaskBound, IndexRuns: spans}}); err == nil {
			t.Errorf("%v gave %d tasks", spans, len(tasks))
		}
	}
}
