// Package dependency looks up the outcomes of finished jobs that other jobs depend on.
//
// The outcome of a finished job is stored in its final record. Nodes don't replicate final records into
// their cluster state, so a Resolver reads the ones that are needed and adds them there. It writes no
// record. An absent or unreadable final record says nothing about the outcome: the dependent job keeps
// waiting until the record has been read (safety invariant 27).
package dependency

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// Resolver reads the final records of dependencies into the cluster state. Its state is used only by
// Run, so Run must be called at most once at a time.
type Resolver struct {
	clusterState *clusterstate.State
	reader       kvstore.Reader
	logger       *slog.Logger
	failedAt     map[string]time.Time // by job ID: the time of the last read that found no readable record
}

// NewResolver returns a resolver that reads final records from reader and adds them to state.
func NewResolver(state *clusterstate.State, reader kvstore.Reader, logger *slog.Logger) *Resolver {
	return &Resolver{clusterState: state, reader: reader, logger: logger, failedAt: map[string]time.Time{}}
}

// Run reads missing outcomes after each change of the cluster state, and at intervals of
// tuning.OutcomeReadRetryBackoff, until ctx is done. It returns the error of ctx.
func (r *Resolver) Run(ctx context.Context) error {
	changed := r.clusterState.Subscribe()
	retryTicker := time.NewTicker(tuning.OutcomeReadRetryBackoff)
	defer retryTicker.Stop()
	for {
		r.resolveMissing(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-retryTicker.C:
		}
	}
}

// outcome is the result of reading a final record.
type outcome struct {
	record record.Final
	found  bool // whether record was read
}

// resolveMissing reads the outcomes that are missing in the cluster state, except those whose last read
// failed less than tuning.OutcomeReadRetryBackoff ago.
func (r *Resolver) resolveMissing(ctx context.Context) {
	now := time.Now()
	ids := r.dueJobIDs(now)
	for i, outcome := range r.readOutcomes(ctx, ids) {
		if outcome.found {
			r.clusterState.PutFinalRecord(ids[i], outcome.record)
		} else {
			r.failedAt[ids[i]] = now
		}
	}
}

// dueJobIDs returns the jobs whose final records are to be read now. It also drops the failures that no
// longer delay a read.
func (r *Resolver) dueJobIDs(now time.Time) []string {
	for id, at := range r.failedAt {
		if now.Sub(at) >= tuning.OutcomeReadRetryBackoff {
			delete(r.failedAt, id)
		}
	}
	var ids []string
	for _, id := range r.clusterState.UnresolvedDependencies() {
		if _, failedRecently := r.failedAt[id]; !failedRecently {
			ids = append(ids, id)
		}
	}
	return ids
}

// readOutcomes reads the final records of jobs, at most tuning.OutcomeReadConcurrency at a time. The
// outcomes are in the order of ids.
func (r *Resolver) readOutcomes(ctx context.Context, ids []string) []outcome {
	outcomes := make([]outcome, len(ids))
	var group errgroup.Group
	group.SetLimit(tuning.OutcomeReadConcurrency)
	for i, id := range ids {
		group.Go(func() error {
			finalRecord, err := kvstore.ReadRecord[record.Final](ctx, r.reader, record.FinalKey(id))
			outcomes[i] = outcome{record: finalRecord, found: err == nil}
			// An absent final record is not an error: the cluster state either does not contain the live
			// job yet or will soon contain it again.
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				r.logger.Debug("could not read final record", "job_id", id, "err", err)
			}
			return nil
		})
	}
	_ = group.Wait() // no read returns an error
	return outcomes
}
