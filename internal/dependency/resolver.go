// Package dependency finds out how the jobs ended on which others depend.
//
// The outcome of a job that is over stands in its final record, which is not part of the cluster state
// that each node follows; a Resolver reads it and adds it there. It writes no record. A record that is
// absent or unreadable proves nothing: the dependent job goes on waiting until its outcome is read
// (safety invariant 27).
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

// Resolver reads the final records of dependencies into the cluster state. Only Run uses it once it
// is made.
type Resolver struct {
	clusterState *clusterstate.State
	reader       kvstore.Reader
	logger       *slog.Logger
	failedAt     map[string]time.Time // when the record of a job was last absent or unreadable
}

// NewResolver makes a resolver that reads through reader.
func NewResolver(state *clusterstate.State, reader kvstore.Reader, logger *slog.Logger) *Resolver {
	return &Resolver{clusterState: state, reader: reader, logger: logger, failedAt: map[string]time.Time{}}
}

// Run reads missing outcomes after each change of the cluster state, until ctx ends; it returns the
// error of ctx.
func (r *Resolver) Run(ctx context.Context) error {
	changed := r.clusterState.Subscribe()
	retryTicker := time.NewTicker(tuning.OutcomeReadRetryPause)
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

// outcome is what reading a final record gave.
type outcome struct {
	record record.Final
	found  bool
}

// resolveMissing reads each outcome that the cluster state lacks, unless that failed a short while ago.
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

// dueJobIDs gives the jobs whose final records are to be read now.
func (r *Resolver) dueJobIDs(now time.Time) []string {
	for id, at := range r.failedAt {
		if now.Sub(at) >= tuning.OutcomeReadRetryPause {
			delete(r.failedAt, id)
		}
	}
	var ids []string
	for _, id := range r.clusterState.UnresolvedDependencies() {
		if _, failedLately := r.failedAt[id]; !failedLately {
			ids = append(ids, id)
		}
	}
	return ids
}

// readOutcomes reads the final records of jobs, a bounded number at once.
func (r *Resolver) readOutcomes(ctx context.Context, ids []string) []outcome {
	outcomes := make([]outcome, len(ids))
	var group errgroup.Group
	group.SetLimit(tuning.OutcomeReadConcurrency)
	for i, id := range ids {
		group.Go(func() error {
			finalRecord, err := kvstore.ReadRecord[record.Final](ctx, r.reader, record.FinalKey(id))
			outcomes[i] = outcome{record: finalRecord, found: err == nil}
			// An absent record proves nothing either way: the cluster state is older than the job, or
			// the job is about to be live in it again.
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				r.logger.Debug("final record not read", "job_id", id, "err", err)
			}
			return nil
		})
	}
	_ = group.Wait() // no read returns an error
	return outcomes
}
