package clusterstate

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestDependenciesMatchModel drives graphs of jobs through submission, completion,
// cancellation and the loss of live records, with final records read late or not
// at all, and compares what may start and what falls with a plain model.
func TestDependenciesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
		awaits := map[string][]string{}
		fate := map[string]wire.JobState{}  // as the state service holds it: "", done or cancelled
		live := map[string]bool{}           // whether the live record is still there
		final := map[string]wire.JobState{} // final records
		var ids []string
		rev := uint64(0)
		put := func(id string, mut func(*record.Job)) {
			rev++
			rec := record.Job{Spec: wire.JobSpec{ID: id, Team: "t", Kind: wire.KindArray, TaskCount: 1, Dependencies: awaits[id]}, SubmittedAtMs: 5}
			mut(&rec)
			w.BeginUpdate()
			w.Put(record.JobKey(id), wire.MustEncode(rec), rev)
			w.EndUpdate()
		}
		drop := func(id string, status wire.JobState) {
			live[id], final[id] = false, status
			w.BeginUpdate()
			w.Delete(record.JobKey(id))
			w.EndUpdate()
		}
		// falls tells whether a job that one needs is cancelled.
		var falls func(id string) bool
		falls = func(id string) bool {
			for _, a := range awaits[id] {
				if fate[a] == wire.JobCancelled || fate[a] != wire.JobDone && falls(a) {
					return true
				}
			}
			return false
		}
		ready := func(id string) bool {
			for _, a := range awaits[id] {
				if fate[a] != wire.JobDone {
					return false
				}
			}
			return true
		}
		read := func() {
			for _, a := range w.UnresolvedDependencies() {
				if status, ok := final[a]; ok {
					w.PutFinalRecord(a, record.Final{Status: status, TaskCount: 1, EndedAtMs: 9})
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			what := rapid.IntRange(0, 6).Draw(t, "what")
			if len(ids) == 0 {
				what = 0
			}
			if what == 0 {
				id := fmt.Sprintf("run-%d", len(ids))
				for _, a := range ids {
					if rapid.IntRange(0, 2).Draw(t, "awaits") == 0 {
						awaits[id] = append(awaits[id], a)
					}
				}
				ids, live[id] = append(ids, id), true
				put(id, func(*record.Job) {})
			} else {
				id := rapid.SampledFrom(ids).Draw(t, "job")
				switch {
				case what == 1 && live[id] && fate[id] == "" && ready(id): // its task completes, the live record stays for a while
					fate[id] = wire.JobDone
					put(id, func(r *record.Job) { r.Tasks = []record.Task{{State: record.TaskDone, Attempt: 1}} })
				case what == 2 && live[id] && fate[id] == "" && ready(id): // it is over in one step
					fate[id] = wire.JobDone
					drop(id, wire.JobDone)
				case what == 3 && live[id] && fate[id] == "":
					fate[id] = wire.JobCancelled
					put(id, func(r *record.Job) { r.CancelledAtMs = 7 })
				case what == 4 && live[id] && fate[id] != "":
					drop(id, fate[id])
				case what == 5:
					read()
				case what == 6 && live[id] && fate[id] == wire.JobDone: // cancelled at its end: it is done all the same
					put(id, func(r *record.Job) { r.CancelledAtMs, r.Tasks = 7, []record.Task{{State: record.TaskDone, Attempt: 1}} })
				}
				if _, ok := w.DependencyCancelled()[id]; ok && live[id] && fate[id] == "" && rapid.Bool().Draw(t, "sweep") {
					fate[id] = wire.JobCancelled
					drop(id, wire.JobCancelled)
				}
			}
			for _, id := range ids {
				j := w.Jobs[id]
				if !live[id] {
					continue
				}
				if !j.HasUnmetDependencies() && !ready(id) {
					t.Fatalf("%s may start before what it awaits is done", id)
				}
				if j.DependencyCancelled && !falls(id) {
					t.Fatalf("%s falls though nothing that it needs is cancelled", id)
				}
			}
		}
		// Nothing more happens: what is known has to catch up, however long the chains.
		for range len(ids) + 1 {
			read()
		}
		fresh := New(3, w.log) // and so for a node that starts from the records alone
		fresh.BeginUpdate()
		for _, id := range ids {
			if live[id] {
				rec := w.Jobs[id].Job
				rec.Tasks = w.Jobs[id].startedTasks(0, 1, nil)
				fresh.Put(record.JobKey(id), wire.MustEncode(rec), 1)
			}
		}
		fresh.EndUpdate()
		for range len(ids) + 1 {
			for _, a := range fresh.UnresolvedDependencies() {
				fresh.PutFinalRecord(a, record.Final{Status: final[a], TaskCount: 1, EndedAtMs: 9})
			}
		}
		for _, view := range []*State{w, fresh} {
			for _, id := range ids {
				if !live[id] {
					continue
				}
				j := view.Jobs[id]
				if j.HasUnmetDependencies() == (ready(id) && !falls(id)) {
					t.Errorf("%s waits: %v, though all done: %v, falls: %v", id, j.HasUnmetDependencies(), ready(id), falls(id))
				}
				if j.DependencyCancelled != falls(id) {
					t.Errorf("%s falls: %v, want %v", id, j.DependencyCancelled, falls(id))
				}
				if view.OutcomeUndecided(j) != j.DependencyCancelled {
					t.Errorf("%s undecided: %v", id, view.OutcomeUndecided(j))
				}
			}
		}
		w.BeginUpdate()
		for _, id := range ids {
			if live[id] {
				w.Delete(record.JobKey(id))
			}
		}
		w.EndUpdate()
		if n := len(w.dependentsOf) + len(w.finalRecords) + len(w.unresolvedDependencies) + len(w.dependencyCancelled) + len(w.Jobs); n != 0 {
			t.Errorf("%d entries are kept of jobs that are over", n)
		}
	})
}
