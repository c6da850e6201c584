// Package pipeline follows the jobs that others await: what became of those that
// are over stands in their final records, which no node's view holds.
package pipeline

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/world"
)

// Resolver reads the final records of awaited jobs into the view.
type Resolver struct {
	world  *world.State
	reader store.Reader
	log    *slog.Logger
	asked  map[string]time.Time // when a record was last not there, or not to be read
}

// New makes a resolver.
func New(w *world.State, r store.Reader, log *slog.Logger) *Resolver {
	return &Resolver{world: w, reader: r, log: log, asked: map[string]time.Time{}}
}

// Run reads what is missing after each change of the view, until ctx ends.
func (r *Resolver) Run(ctx context.Context) error {
	changed := r.world.Subscribe()
	again := time.NewTicker(tuning.OutcomeRetry)
	defer again.Stop()
	for {
		r.look(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-again.C:
		}
	}
}

func (r *Resolver) look(ctx context.Context) {
	now := time.Now()
	for id, at := range r.asked {
		if now.Sub(at) >= tuning.OutcomeRetry {
			delete(r.asked, id)
		}
	}
	type answer struct {
		rec world.FinalRecord
		ok  bool
	}
	var ids []string
	for _, id := range r.world.UnresolvedDependencies() {
		if _, ok := r.asked[id]; !ok {
			ids = append(ids, id)
		}
	}
	answers := make([]answer, len(ids))
	var g errgroup.Group
	g.SetLimit(tuning.OutcomeLanes)
	for i, id := range ids {
		g.Go(func() error {
			rec, err := store.ReadRecord[world.FinalRecord](ctx, r.reader, world.FinalKey(id))
			// Not there: this view is older than the job, or the job is live again in it
			// soon. It proves nothing either way.
			if answers[i] = (answer{rec, err == nil}); err != nil && !errors.Is(err, store.ErrNotFound) {
				r.log.Debug("final record not read", "job", id, "err", err)
			}
			return nil
		})
	}
	_ = g.Wait()
	for i, id := range ids {
		if answers[i].ok {
			r.world.PutFinalRecord(id, answers[i].rec)
		} else {
			r.asked[id] = now
		}
	}
}
