package world

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// TestAwaitedJobs drives graphs of jobs through submission, completion,
// cancellation and the loss of live records, with final records read late or not
// at all, and compares what may start and what falls with a plain model.
func TestAwaitedJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(3, slog.New(slog.NewTextHandler(io.Discard, nil)))
		awaits := map[string][]string{}
		fate := map[string]string{}  // as the state service holds it: "", done or cancelled
		live := map[string]bool{}    // whether the live record is still there
		final := map[string]string{} // final records
		var ids []string
		rev := uint64(0)
		put := func(id string, mut func(*JobRecord)) {
			rev++
			rec := JobRecord{Spec: wire.JobSpec{ID: id, Team: "t", Kind: wire.KindArray, TaskCount: 1, Dependencies: awaits[id]}, AtMs: 5}
			mut(&rec)
			w.Begin()
			w.Put(JobKey(id), wire.MustEncode(rec), rev)
			w.Flush()
		}
		drop := func(id, status string) {
			live[id], final[id] = false, status
			w.Begin()
			w.Drop(JobKey(id))
			w.Flush()
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
			for _, a := range w.Unread() {
				if status, ok := final[a]; ok {
					w.Over(a, FinalRecord{Status: status, Tasks: 1, AtMs: 9})
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
				put(id, func(*JobRecord) {})
			} else {
				id := rapid.SampledFrom(ids).Draw(t, "job")
				switch {
				case what == 1 && live[id] && fate[id] == "" && ready(id): // its task completes, the live record stays for a while
					fate[id] = wire.JobDone
					put(id, func(r *JobRecord) { r.Tasks = []Task{{State: Done, Attempt: 1}} })
				case what == 2 && live[id] && fate[id] == "" && ready(id): // it is over in one step
					fate[id] = wire.JobDone
					drop(id, wire.JobDone)
				case what == 3 && live[id] && fate[id] == "":
					fate[id] = wire.JobCancelled
					put(id, func(r *JobRecord) { r.CancelMs = 7 })
				case what == 4 && live[id] && fate[id] != "":
					drop(id, fate[id])
				case what == 5:
					read()
				case what == 6 && live[id] && fate[id] == wire.JobDone: // cancelled at its end: it is done all the same
					put(id, func(r *JobRecord) { r.CancelMs, r.Tasks = 7, []Task{{State: Done, Attempt: 1}} })
				}
				if _, ok := w.Doomed()[id]; ok && live[id] && fate[id] == "" && rapid.Bool().Draw(t, "sweep") {
					fate[id] = wire.JobCancelled
					drop(id, wire.JobCancelled)
				}
			}
			for _, id := range ids {
				j := w.Jobs[id]
				if !live[id] {
					continue
				}
				if !j.Waits() && !ready(id) {
					t.Fatalf("%s may start before what it awaits is done", id)
				}
				if j.Doomed && !falls(id) {
					t.Fatalf("%s falls though nothing that it needs is cancelled", id)
				}
			}
		}
		// Nothing more happens: what is known has to catch up, however long the chains.
		for range len(ids) + 1 {
			read()
		}
		fresh := New(3, w.log) // and so for a node that starts from the records alone
		fresh.Begin()
		for _, id := range ids {
			if live[id] {
				rec := w.Jobs[id].JobRecord
				rec.Tasks = w.Jobs[id].tasks(0, 1, nil)
				fresh.Put(JobKey(id), wire.MustEncode(rec), 1)
			}
		}
		fresh.Flush()
		for range len(ids) + 1 {
			for _, a := range fresh.Unread() {
				fresh.Over(a, FinalRecord{Status: final[a], Tasks: 1, AtMs: 9})
			}
		}
		for _, view := range []*World{w, fresh} {
			for _, id := range ids {
				if !live[id] {
					continue
				}
				j := view.Jobs[id]
				if j.Waits() == (ready(id) && !falls(id)) {
					t.Errorf("%s waits: %v, though all done: %v, falls: %v", id, j.Waits(), ready(id), falls(id))
				}
				if j.Doomed != falls(id) {
					t.Errorf("%s falls: %v, want %v", id, j.Doomed, falls(id))
				}
				if view.Undecided(j) != j.Doomed {
					t.Errorf("%s undecided: %v", id, view.Undecided(j))
				}
			}
		}
		w.Begin()
		for _, id := range ids {
			if live[id] {
				w.Drop(JobKey(id))
			}
		}
		w.Flush()
		if n := len(w.waiters) + len(w.over) + len(w.unread) + len(w.doomed) + len(w.Jobs); n != 0 {
			t.Errorf("%d entries are kept of jobs that are over", n)
		}
	})
}
