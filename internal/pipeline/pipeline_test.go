package pipeline

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// records answers with what it holds, or with an error while it is away.
type records struct {
	mu    sync.Mutex
	away  bool
	rows  map[string]any
	asked int
}

func (r *records) Get(_ context.Context, key string) (wire.KeyValue, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	v, ok := r.rows[key]
	switch {
	case r.away:
		return wire.KeyValue{}, store.ErrOutcomeUnknown
	case !ok:
		return wire.KeyValue{}, store.ErrNotFound
	}
	return wire.KeyValue{Value: wire.MustEncode(v)}, nil
}

func (r *records) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// TestNothingIsConcludedFromSilence: a final record that is not there, can't be
// read or is damaged proves nothing; a job waits until it is read, is asked for
// again at a bounded pace, and not at all once it is known.
func TestNothingIsConcludedFromSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		w := world.New(3, log)
		put := func(id string, awaits ...string) {
			w.BeginUpdate()
			w.Put(world.JobKey(id), wire.MustEncode(world.JobRecord{Spec: wire.JobSpec{ID: id, Team: "t", TaskCount: 1, Dependencies: awaits}, SubmittedAtMs: 1}), 1)
			w.EndUpdate()
		}
		rec := &records{rows: map[string]any{}}
		go func() { _ = New(w, rec, log).Run(ctx) }()
		put("run-2", "run-1")
		waits := func() bool {
			time.Sleep(3 * tuning.OutcomeRetry)
			w.RLock()
			defer w.RUnlock()
			return w.Jobs["run-2"].HasUnmetDependencies()
		}
		if !waits() {
			t.Error("released though nothing tells of the first")
		}
		rec.set(func() { rec.away = true })
		if !waits() {
			t.Error("released while records can't be read")
		}
		rec.set(func() { rec.away, rec.rows[world.FinalKey("run-1")] = false, "damaged" })
		if !waits() {
			t.Error("released by a damaged record")
		}
		rec.set(func() {
			if most := 3*3 + 4; rec.asked > most || rec.asked < 3 {
				t.Errorf("asked %d times", rec.asked)
			}
			rec.rows[world.FinalKey("run-1")] = world.FinalRecord{Status: wire.JobDone, TaskCount: 1, DoneCount: 1, EndedAtMs: 77}
		})
		if waits() {
			t.Error("still waits for a job that is done")
		}
		if w.Jobs["run-2"].ReadySinceMs() != 77 {
			t.Errorf("counts from %d", w.Jobs["run-2"].ReadySinceMs())
		}
		asked := 0
		rec.set(func() { asked = rec.asked })
		put("run-2", "run-1")
		waits()
		rec.set(func() {
			if rec.asked != asked {
				t.Error("asked again for what is known")
			}
		})
		cancel()
	})
}
