package dependency

import (
	"context"
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

// fakeReader answers with the values it holds, or with an error while it is unavailable.
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

// set changes the reader, or looks at it, while no read is under way.
func (r *fakeReader) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Ids of the jobs of the test: one depends on the other.
const (
	awaitedJobID   = "run-1"
	dependentJobID = "run-2"
)

// putDependentJob brings a job that depends on another one into the cluster state.
func putDependentJob(state *clusterstate.State) {
	spec := wire.JobSpec{ID: dependentJobID, Team: "t", TaskCount: 1, Dependencies: []string{awaitedJobID}}
	state.BeginUpdate()
	defer state.EndUpdate()
	job := record.Job{Spec: spec, SubmittedAtMs: 1}
	state.Put(record.JobKey(dependentJobID), wire.MustEncode(job), 1)
}

// waitsStill gives the resolver time, and reports whether the dependent job still waits.
func waitsStill(state *clusterstate.State) bool {
	time.Sleep(3 * tuning.OutcomeReadRetryPause)
	state.RLock()
	defer state.RUnlock()
	return state.Jobs[dependentJobID].HasUnmetDependencies()
}

// TestMissingRecordsProveNothing: a final record that is not there, can't be read or is damaged proves
// nothing; a job waits until it is read, it is asked for again at a bounded pace, and not at all once it is
// known.
func TestMissingRecordsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		logger := slog.New(slog.DiscardHandler)
		state := clusterstate.New(3, logger)
		finalKey := record.FinalKey(awaitedJobID)
		reader := &fakeReader{values: map[string]any{}}
		go func() { _ = NewResolver(state, reader, logger).Run(ctx) }()
		putDependentJob(state)
		if !waitsStill(state) {
			t.Error("released though nothing is known of the first")
		}
		reader.set(func() { reader.unavailable = true })
		if !waitsStill(state) {
			t.Error("released while records can't be read")
		}
		reader.set(func() { reader.unavailable, reader.values[finalKey] = false, "damaged" })
		if !waitsStill(state) {
			t.Error("released by a damaged record")
		}
		reader.set(func() {
			if most := 3*3 + 4; reader.reads > most || reader.reads < 3 {
				t.Errorf("read %d times", reader.reads)
			}
			reader.values[finalKey] = record.Final{Status: wire.JobDone, TaskCount: 1, DoneCount: 1, EndedAtMs: 77}
		})
		if waitsStill(state) {
			t.Error("still waits for a job that is done")
		}
		if since := state.Jobs[dependentJobID].ReadySinceMs(); since != 77 {
			t.Errorf("counts from %d", since)
		}
		reads := 0
		reader.set(func() { reads = reader.reads })
		putDependentJob(state)
		waitsStill(state)
		reader.set(func() {
			if reader.reads != reads {
				t.Error("read again though it is known")
			}
		})
	})
}
