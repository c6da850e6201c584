package clusterstate

import (
	"io"
	"log/slog"
	"math"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestIndexesFollowRecords puts and drops records in generated orders and
// compares the indexes with a count from scratch.
func TestIndexesFollowRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		w := New(size, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ids := []string{"run-1", "run-2"}
		machines := []string{"vm-1", "vm-2", "vm-3"}
		tasks := func(base, n int) []record.Task {
			var out []record.Task
			for i := range n {
				if rapid.Bool().Draw(t, "skip") {
					continue
				}
				k := record.Task{Index: base + i, State: rapid.IntRange(record.TaskPending, record.TaskDone).Draw(t, "state"), Attempt: 1}
				if k.State == record.TaskBound {
					k.Machine = rapid.SampledFrom(machines).Draw(t, "machine")
				}
				out = append(out, k)
			}
			return out
		}
		for rev := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			id := rapid.SampledFrom(ids).Draw(t, "job")
			w.BeginUpdate()
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				w.Put(record.JobKey(id), wire.MustEncode(record.Job{Spec: wire.JobSpec{ID: id, Team: "t", TaskCount: tuning.ChunkTasks + 3, GPUs: 1}, Tasks: tasks(0, 4)}), rev+1)
			case 1:
				w.Put(record.FixedChunkKey(id, 1), wire.MustEncode(record.FixedChunk{Tasks: tasks(tuning.ChunkTasks, 3)}), rev+1)
			case 2:
				w.Delete(record.JobKey(id))
			case 3:
				w.Delete(record.FixedChunkKey(id, 1))
			case 4:
				w.Put(record.MachineKey(rapid.SampledFrom(machines).Draw(t, "m")), wire.MustEncode(record.Machine{Type: "x"}), rev+1)
			case 5:
				w.Delete(record.MachineKey(rapid.SampledFrom(machines).Draw(t, "m")))
			}
			w.EndUpdate()
			use := make([]float64, size)
			on := map[string]int{}
			for _, j := range w.Jobs {
				if !j.HasRecord {
					continue
				}
				bound, done := 0, 0
				j.ForEachStartedTask(func(k record.Task) {
					switch k.State {
					case record.TaskBound:
						bound++
						on[k.Machine]++
						use[record.ShardOf(k.Machine, size)]++
					case record.TaskDone:
						done++
					}
				})
				if bound != j.BoundCount || done != j.DoneCount {
					t.Fatalf("job counts %d/%d, want %d/%d", j.BoundCount, j.DoneCount, bound, done)
				}
			}
			for p := range size {
				if got := w.UsageByShard[p]["t"].GPUs; math.Abs(got-use[p]) > 1e-9 {
					t.Fatalf("part %d uses %v, want %v", p, got, use[p])
				}
			}
			for _, name := range machines {
				got := len(w.OrphanBindings[name])
				if m := w.Machines[name]; m != nil {
					got = len(m.Bindings)
					if math.Abs(m.Used.GPUs-float64(on[name])) > 1e-9 {
						t.Fatalf("%s: used %v, want %d", name, m.Used.GPUs, on[name])
					}
					if w.OrphanBindings[name] != nil {
						t.Fatalf("%s is known and orphaned", name)
					}
				}
				if got != on[name] {
					t.Fatalf("%s holds %d tasks, want %d", name, got, on[name])
				}
			}
		}
	})
}

// TestLargestRecordFits: a full record stays within the smallest value limit
// seen (16 KiB as JSON), whatever its tasks have gone through.
func TestLargestFixedChunkFits(t *testing.T) {
	j := &Job{HasRecord: true, Job: record.Job{Spec: wire.JobSpec{ID: "run-00000000000000000001", TaskCount: tuning.MaxTasks}}}
	change := map[int]record.Task{}
	for i := tuning.ChunkTasks; i < 2*tuning.ChunkTasks; i++ {
		change[i] = record.Task{Index: tuning.MaxTasks, State: record.TaskBound, Attempt: 1 << 20, Machine: "vm-000000231", Session: 1 << 20}
	}
	if op := j.EncodeChunk(1, change); float64(len(op.Value)) > tuning.ValueFraction*16*1024 {
		t.Fatalf("%d bytes", len(op.Value))
	}
}

// TestPartsAreEven: names that count up must not crowd into one part.
func TestShardsAreBalanced(t *testing.T) {
	count := make([]int, 3)
	for i := range 300 {
		count[record.ShardOf("vm-"+string(rune('0'+i/100))+string(rune('0'+i/10%10))+string(rune('0'+i%10)), 3)]++
	}
	for p, c := range count {
		if c < 70 || c > 130 {
			t.Errorf("part %d has %d of 300", p, c)
		}
	}
}
