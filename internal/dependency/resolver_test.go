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

// fakeReader returns the values it holds, or an error while unavailable is set. It is safe for concurrent
// use; the test accesses its fields within withLock.
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

// withLock calls f while no read is in progress.
func (r *fakeReader) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// IDs of the two jobs of the test: dependentJobID depends on dependencyJobID.
const (
	dependencyJobID = "run-1"
	dependentJobID  = "run-2"
)

// putDependentJob adds the dependent job to the cluster state.
func putDependentJob(state *clusterstate.State) {
	spec := wire.JobSpec{ID: dependentJobID, Team: "t", TaskCount: 1, Dependencies: []string{dependencyJobID}}
	state.BeginUpdate()
	defer state.EndUpdate()
	job := record.Job{Spec: spec, SubmittedAtMs: 1}
	state.Put(record.JobKey(dependentJobID), wire.MustEncode(job), 1)
}

// stillWaiting sleeps for three retry intervals of the resolver, and reports whether the dependent job
// still has unmet dependencies.
func stillWaiting(state *clusterstate.State) bool {
	time.Sleep(3 * tuning.OutcomeReadRetryBackoff)
	state.RLock()
	defer state.RUnlock()
	return state.Jobs[dependentJobID].HasUnmetDependencies()
}

// TestJobWaitsForReadableFinalRecord checks that a job keeps waiting while the final record of its
// dependency is absent, can't be read or is damaged. The record must be read again at a bounded rate, and
// not at all once it is known.
func TestJobWaitsForReadableFinalRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		logger := slog.New(slog.DiscardHandler)
		state := clusterstate.New(3, logger)
		finalKey := record.FinalKey(dependencyJobID)
		reader := &fakeReader{values: map[string]any{}}
		go func() { _ = NewResolver(state, reader, logger).Run(ctx) }()
		putDependentJob(state)
		if !stillWaiting(state) {
			t.Error("released though the dependency has no final record")
		}
		reader.withLock(func() { reader.unavailable = true })
		if !stillWaiting(state) {
			t.Error("released while final records can't be read")
		}
		reader.withLock(func() { reader.unavailable, reader.values[finalKey] = false, "damaged" })
		if !stillWaiting(state) {
			t.Error("released by a damaged final record")
		}
		reader.withLock(func() {
			if most := 3*3 + 4; reader.reads > most || reader.reads < 3 {
				t.Errorf("the final record was read %d times, want 3 to 13", reader.reads)
			}
			reader.values[finalKey] = record.Final{Status: wire.JobDone, TaskCount: 1, DoneCount: 1, EndedAtMs: 77}
		})
		if stillWaiting(state) {
			t.Error("still waiting for a dependency that is done")
		}
		if since := state.Jobs[dependentJobID].ReadySinceMs(); since != 77 {
			t.Errorf("the job is ready since %d ms, want 77", since)
		}
		reads := 0
		reader.withLock(func() { reads = reader.reads })
		putDependentJob(state)
		stillWaiting(state)
		reader.withLock(func() {
			if reader.reads != reads {
				t.Error("the final record was read again though it is known")
			}
		})
	})
}
