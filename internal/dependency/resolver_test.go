package dependency

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// fakeReader answers with what it holds, or with an error while it is away.
type fakeReader struct {
	mu          sync.Mutex
	unavailable bool
	values      map[string]any
	reads       int
}

func (r *fakeReader) Get(_ context.Context, key string) (wire.KeyValue, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	v, ok := r.values[key]
	switch {
	case r.unavailable:
		return wire.KeyValue{}, kvstore.ErrOutcomeUnknown
	case !ok:
		return wire.KeyValue{}, kvstore.ErrNotFound
	}
	return wire.KeyValue{Value: wire.MustEncode(v)}, nil
}

func (r *fakeReader) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// TestNothingIsConcludedFromSilence: a final record that is not there, can't be
// read or is damaged proves nothing; a job waits until it is read, is asked for
// again at a bounded pace, and not at all once it is known.
func TestMissingRecordsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		w := clusterstate.New(3, log)
		put := func(id string, awaits ...string) {
			w.BeginUpdate()
			w.Put(record.JobKey(id), wire.MustEncode(record.Job{Spec: wire.JobSpec{ID: id, Team: "t", TaskCount: 1, Dependencies: awaits}, SubmittedAtMs: 1}), 1)
			w.EndUpdate()
		}
		rec := &fakeReader{values: map[string]any{}}
		go func() { _ = NewResolver(w, rec, log).Run(ctx) }()
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
		rec.set(func() { rec.unavailable = true })
		if !waits() {
			t.Error("released while records can't be read")
		}
		rec.set(func() { rec.unavailable, rec.values[record.FinalKey("run-1")] = false, "damaged" })
		if !waits() {
			t.Error("released by a damaged record")
		}
		rec.set(func() {
			if most := 3*3 + 4; rec.reads > most || rec.reads < 3 {
				t.Errorf("asked %d times", rec.reads)
			}
			rec.values[record.FinalKey("run-1")] = record.Final{Status: wire.JobDone, TaskCount: 1, DoneCount: 1, EndedAtMs: 77}
		})
		if waits() {
			t.Error("still waits for a job that is done")
		}
		if w.Jobs["run-2"].ReadySinceMs() != 77 {
			t.Errorf("counts from %d", w.Jobs["run-2"].ReadySinceMs())
		}
		asked := 0
		rec.set(func() { asked = rec.reads })
		put("run-2", "run-1")
		waits()
		rec.set(func() {
			if rec.reads != asked {
				t.Error("asked again for what is known")
			}
		})
		cancel()
	})
}
