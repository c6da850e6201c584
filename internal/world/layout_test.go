package world

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// shelf is a store of records with stamps, and a view that follows it.
type shelf struct {
	rows   map[string]wire.RawValue
	stamps map[string]uint64
	rev    uint64
	view   *World
}

func newShelf() *shelf {
	return &shelf{rows: map[string]wire.RawValue{}, stamps: map[string]uint64{}, view: New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))}
}

// commit applies a change if its guards hold; the view sees its parts in any order.
func (s *shelf) commit(t *rapid.T, guards []wire.Condition, ops []wire.Op) bool {
	for _, g := range guards {
		if s.stamps[g.Key] != g.ModRevision {
			return false
		}
	}
	s.rev++
	s.view.Begin()
	defer s.view.Flush()
	for _, i := range rapid.Permutation(indexes(len(ops))).Draw(t, "order") {
		if o := ops[i]; o.PutKey != "" {
			s.rows[o.PutKey], s.stamps[o.PutKey] = o.Value, s.rev
			s.view.Put(o.PutKey, o.Value, s.rev)
		} else {
			delete(s.rows, o.DeleteKey)
			delete(s.stamps, o.DeleteKey)
			s.view.Drop(o.DeleteKey)
		}
	}
	return true
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// again reads all records anew, in any order, as a node does that starts.
func (s *shelf) again(t *rapid.T) *World {
	w := New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.Begin()
	for _, k := range rapid.Permutation(slices.Sorted(maps.Keys(s.rows))).Draw(t, "listed") {
		w.Put(k, s.rows[k], s.stamps[k])
	}
	w.Flush()
	return w
}

// TestRecordsMoveUnderWrites changes tasks of jobs of every size in every layout
// while their records are moved, with writers that look away in between, and
// compares with a plain map: nothing is lost, nothing written twice, and what is
// written after the move stays within the limit.
func TestRecordsMoveUnderWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShelf()
		fit := Fit{rapid.IntRange(900, 16000).Draw(t, "room"), tuning.TaskBytes}
		spec := wire.JobSpec{ID: "run-7", Class: "c", Team: "t", Kind: rapid.SampledFrom([]string{wire.KindArray, wire.KindGang}).Draw(t, "kind"),
			Priority: wire.PriorityNormal, TaskCount: rapid.IntRange(1, 600).Draw(t, "tasks"), GPUs: 1}
		if rapid.Bool().Draw(t, "counted") {
			spec.MaxRetries = new(int)
		}
		s.commit(t, nil, []wire.Op{{PutKey: JobKey(spec.ID), Value: wire.MustEncode(JobRecord{Spec: spec, AtMs: 1764600000000})}})
		model := map[int]Task{}
		type write struct {
			guards []wire.Condition
			ops    []wire.Op
			tasks  map[int]Task
		}
		var late []write
		moving := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			j := s.view.Jobs[spec.ID]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1: // some tasks of one record change
				lo, hi := j.Span(rapid.IntRange(0, j.Records()-1).Draw(t, "record"))
				change := map[int]Task{}
				for range rapid.IntRange(1, 12).Draw(t, "changed") {
					i := rapid.IntRange(lo, hi-1).Draw(t, "task")
					k := Task{Index: i, State: rapid.IntRange(Idle, Done).Draw(t, "state"), Attempt: uint64(rapid.IntRange(1, 3).Draw(t, "attempt"))}
					if spec.MaxRetries != nil && k.State != Done {
						k.Failures = rapid.IntRange(0, 12).Draw(t, "failures")
					}
					if k.State == Bound {
						k.Machine, k.Session = fmt.Sprintf("vm-%06d", rapid.IntRange(0, 5).Draw(t, "machine")), 1
					}
					change[i] = k
				}
				k := j.RecordOf(lo)
				w := write{j.ChunkGuards(k), []wire.Op{j.Encode(k, change)}, change}
				if size := wire.JSONSize(w.ops[0].Value); j.Size(k, change) < size {
					t.Fatalf("record takes %d bytes, %d were expected", size, j.Size(k, change))
				}
				if rapid.Bool().Draw(t, "late") {
					late = append(late, w) // it is applied later, if its guards still hold
				} else if s.commit(t, w.guards, w.ops) {
					maps.Copy(model, change)
				}
			case 2:
				if !j.Outgrows(fit) {
					break
				}
				guards, ops, ok := j.Move(fit, 4)
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
			for _, w := range []*World{s.view, s.again(t)} {
				j := w.Jobs[spec.ID]
				bound, done, failing := 0, 0, 0
				for i := range spec.TaskCount {
					want, ok := model[i]
					if !ok {
						want = Task{Index: i}
					}
					if got := j.Task(i); got != want {
						t.Fatalf("task %d is %+v, want %+v (width %d, wide %d)", i, got, want, j.Width, j.Wide)
					}
					if want.State == Idle && want.Failures > 0 {
						failing++
						if j.Failing[i].Failures != want.Failures {
							t.Fatalf("task %d waits to be repeated after %d failures, known as %+v", i, want.Failures, j.Failing[i])
						}
					}
					switch want.State {
					case Bound:
						bound++
					case Done:
						done++
					}
				}
				if len(j.Failing) != failing {
					t.Fatalf("%d tasks wait to be repeated, want %d", len(j.Failing), failing)
				}
				if j.Bound != bound || j.Done != done {
					t.Fatalf("%d bound, %d done, want %d and %d", j.Bound, j.Done, bound, done)
				}
			}
		}
		for range 20 {
			if j := s.view.Jobs[spec.ID]; moving && j.Outgrows(fit) {
				guards, ops, _ := j.Move(fit, 4)
				s.commit(t, guards, ops)
			}
		}
		if j := s.view.Jobs[spec.ID]; moving && (j.Width == 0 || j.Wide != 0) {
			t.Fatalf("records were not moved to the end: width %d, wide %d", j.Width, j.Wide)
		}
		s.view.Begin()
		for _, k := range slices.Sorted(maps.Keys(s.rows)) {
			s.view.Drop(k)
		}
		s.view.Flush()
		if len(s.view.Jobs) != 0 {
			t.Fatal("a job without records is left")
		}
	})
}

// TestWidestRecordsFit: a gang of the widest kind with a machine for each task, and
// a full record of an array, are written within a limit of 2 KiB.
func TestWidestRecordsFit(t *testing.T) {
	limit := 2048.0
	room := int(limit * tuning.JSONShare)
	for _, tasks := range []int{1, 32, 100, 5000} {
		spec := wire.JobSpec{ID: "run-00000000000000000001", Class: "a-class-of-work", Team: "a-team-of-people", Kind: wire.KindGang, Priority: wire.PriorityProduction,
			TaskCount: tasks, CPUs: 28.123456789, GPUs: 4, MemoryGB: 200.123456789, Image: "image-000000001", ImageSizeGB: 5.123456789012, SameZone: true,
			RuntimeEstimateSeconds: 70.1234567891234, CheckpointIntervalSeconds: 15, CheckpointSaveSeconds: 5, DeadlineSeconds: 123.456789012345, Dependencies: []string{"run-00000000000000000002", "run-00000000000000000003"}}
		rec := JobRecord{Spec: spec, AtMs: 1764600000000}
		rec.Width = Fit{room, tuning.TaskBytes}.Width(&spec, BareSize(rec))
		if rec.Width == 0 {
			t.Fatalf("%d tasks: no width", tasks)
		}
		j := &Job{JobRecord: rec, Known: true, Bare: BareSize(rec)}
		for k := range min(j.Records(), 3) {
			change := map[int]Task{}
			lo, hi := j.Span(k)
			for i := lo; i < hi; i++ {
				change[i] = Task{Index: i, State: Bound, Attempt: 1234, Machine: fmt.Sprintf("vm-%09d", i), Session: 12, Charge: 3}
			}
			if n := wire.JSONSize(j.Encode(k, change).Value); n > 2048 {
				t.Errorf("%d tasks: record %d takes %d bytes", tasks, k, n)
			}
		}
	}
}

// TestCountedRecordsFit: where every task of a job waits to be repeated, its records still
// have room for a task to be bound again: else the job would stand still for ever.
func TestCountedRecordsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{2048, 8192, 16384}).Draw(t, "limit")
		room := int(limit * tuning.JSONShare)
		repeats := tuning.MaxRepeats
		spec := wire.JobSpec{ID: "run-00000000000000000001", Class: "c", Team: "t", Kind: rapid.SampledFrom([]string{wire.KindArray, wire.KindGang}).Draw(t, "kind"),
			Priority: wire.PriorityNormal, TaskCount: rapid.IntRange(1, 3000).Draw(t, "tasks"), GPUs: 1, MaxRetries: &repeats}
		rec := JobRecord{Spec: spec, AtMs: 1764600000000}
		bare, fit := BareSize(rec), Fit{room, tuning.TaskBytes}
		if !fit.Holds(&spec, bare) {
			if rec.Width = fit.Width(&spec, bare); rec.Width == 0 {
				t.Fatal("no width")
			}
		}
		j := &Job{JobRecord: rec, Known: true, Bare: bare}
		lo, hi := j.Span(rapid.IntRange(0, j.Records()-1).Draw(t, "record"))
		change := map[int]Task{}
		for i := lo; i < hi; i++ {
			change[i] = Task{Index: i, Attempt: 999, Failures: repeats}
		}
		change[lo] = Task{Index: lo, State: Bound, Attempt: 1000, Machine: "vm-000000000", Session: 99, Charge: 3, Failures: repeats}
		if n := wire.JSONSize(j.Encode(j.RecordOf(lo), change).Value); n > room {
			t.Errorf("width %d: a record takes %d bytes of %d", rec.Width, n, room)
		}
	})
}

// TestGroupsRefuseNonsense: a record with numbers out of range is unreadable, not a
// way to fill the memory.
func TestGroupsRefuseNonsense(t *testing.T) {
	for _, spans := range [][]int{{1}, {-1, 0}, {0, -1}, {0, tuning.ChunkTasks}, {tuning.MaxTasks, 0}, {0, 1 << 40}, {0, 100, 0, 100}} {
		if tasks, err := ungroup([]Group{{State: Bound, Spans: spans}}); err == nil {
			t.Errorf("%v gave %d tasks", spans, len(tasks))
		}
	}
}
