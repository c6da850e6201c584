package scheduler

import (
	"context"
	"errors"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/learner"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Learner gives the learner that the pool shares.
func (e *Engine) Learner() *learner.Learner { return e.learning.learner }

// RunLearner keeps the readout fitted and saved until ctx ends.
func (e *Engine) RunLearner(ctx context.Context) error {
	key := clusterstate.LearnerCheckpointKey(e.settings.Node)
	e.restoreCheckpoint(ctx, key)
	refit := time.NewTicker(config.Seconds(e.operator.RefitS))
	defer refit.Stop()
	save := time.NewTicker(tuning.LearnSave)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-refit.C:
			if err := e.learning.learner.Refit(); err != nil {
				e.log.Info("values not refitted", "err", err)
			}
			e.dropStaleDecisions()
		case <-save.C:
			checkpoint := e.learning.learner.Save()
			e.learning.runTimes.Save(&checkpoint)
			saveCtx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
			if _, err := e.committer.Commit(saveCtx, kvstore.Transaction{Ops: e.checkpointOps(key, checkpoint)}); err != nil {
				e.log.Debug("values not saved", "err", err)
			}
			cancel()
		}
	}
}

// checkpointOps gives the changes that save what was learned, in the form that is written.
func (e *Engine) checkpointOps(key string, checkpoint learner.Saved) []wire.Op {
	e.cluster.RLock()
	level := e.cluster.SchemaVersion
	e.cluster.RUnlock()
	if level < tuning.LevelPipelines {
		return []wire.Op{kvstore.PutOp(key, checkpoint)}
	}
	var ops []wire.Op
	for i, piece := range checkpoint.Split(e.committer.MaxRecordBytes(), time.Now().UnixMilli()) {
		ops = append(ops, kvstore.PutOp(clusterstate.LearnerCheckpointPieceKey(e.settings.Node, i), piece))
	}
	return ops
}

// readCheckpoint reads a record, again and again while the state service doesn't answer.
func (e *Engine) readCheckpoint(ctx context.Context, key string) (learner.Saved, error) {
	for {
		var checkpoint learner.Saved
		row, err := e.reader.Get(ctx, key)
		switch {
		case err == nil:
			return checkpoint, wire.Decode(row.Value, &checkpoint)
		case errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil:
			return checkpoint, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.StateRetry):
		}
	}
}

// loadCheckpoint reads the values saved under the node's name: in pieces, or as one
// record, as they were before LevelPipelines.
func (e *Engine) loadCheckpoint(ctx context.Context, key string) (learner.Saved, error) {
	checkpoint, err := e.readCheckpoint(ctx, clusterstate.LearnerCheckpointPieceKey(e.settings.Node, 0))
	if errors.Is(err, kvstore.ErrNotFound) {
		return e.readCheckpoint(ctx, key)
	}
	for i := 1; i < checkpoint.Of && err == nil; i++ {
		var piece learner.Saved
		if piece, err = e.readCheckpoint(ctx, clusterstate.LearnerCheckpointPieceKey(e.settings.Node, i)); err == nil {
			err = checkpoint.Join(piece)
		}
	}
	return checkpoint, err
}

// restoreCheckpoint goes on from the values saved under the node's name. They are advice
// only: what is corrupt or of another form is ignored.
func (e *Engine) restoreCheckpoint(ctx context.Context, key string) {
	checkpoint, err := e.loadCheckpoint(ctx, key)
	if err == nil {
		err = e.learning.learner.Restore(checkpoint)
	}
	switch {
	case errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil:
	case err != nil:
		e.log.Info("saved values ignored", "err", err)
	default:
		e.learning.runTimes.Restore(checkpoint)
		e.log.Info("goes on from saved values", "payoffs", checkpoint.Paid)
	}
}
