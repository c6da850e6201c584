// Package dependency follows the jobs that others await: what became of those that
// are over stands in their final records, which no node's view holds.
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

// Resolver reads the final records of awaited jobs into the view.
type Resolver struct {
	clusterState *clusterstate.State
	reader       kvstore.Reader
	logger       *slog.Logger
	failedAt     map[string]time.Time // when a record was last not there, or not to be read
}

// NewResolver makes a resolver.
func NewResolver(state *clusterstate.State, reader kvstore.Reader, logger *slog.Logger) *Resolver {
	return &Resolver{clusterState: state, reader: reader, logger: logger, failedAt: map[string]time.Time{}}
}

// Run reads what is missing after each change of the view, until ctx ends.
func (r *Resolver) Run(ctx context.Context) error {
	changed := r.clusterState.Subscribe()
	retryTicker := time.NewTicker(tuning.OutcomeRetry)
	defer retryTicker.Stop()
	for {
		r.readMissing(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-retryTicker.C:
		}
	}
}

func (r *Resolver) readMissing(ctx context.Context) {
	now := time.Now()
	for id, at := range r.failedAt {
		if now.Sub(at) >= tuning.OutcomeRetry {
			delete(r.failedAt, id)
		}
	}
	type answer struct {
		rec record.Final
		ok  bool
	}
	var ids []string
	for _, id := range r.clusterState.UnresolvedDependencies() {
		if _, ok := r.failedAt[id]; !ok {
			ids = append(ids, id)
		}
	}
	answers := make([]answer, len(ids))
	var g errgroup.Group
	g.SetLimit(tuning.OutcomeLanes)
	for i, id := range ids {
		g.Go(func() error {
			rec, err := kvstore.ReadRecord[record.Final](ctx, r.reader, record.FinalKey(id))
			// Not there: this view is older than the job, or the job is live again in it
			// soon. It proves nothing either way.
			if answers[i] = (answer{rec, err == nil}); err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				r.logger.Debug("final record not read", "job", id, "err", err)
			}
			return nil
		})
	}
	_ = g.Wait()
	for i, id := range ids {
		if answers[i].ok {
			r.clusterState.PutFinalRecord(id, answers[i].rec)
		} else {
			r.failedAt[id] = now
		}
	}
}
