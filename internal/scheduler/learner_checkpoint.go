package scheduler

import (
	"context"
	"errors"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// learnerCheckpoints saves and loads the learner's checkpoint of a node in the key-value store.
type learnerCheckpoints struct {
	node      string
	cluster   *clusterstate.State
	committer *kvstore.Committer
	reader    kvstore.Reader
}

// Learner returns the learner, which the autoscaler shares.
func (e *Engine) Learner() *learner.Learner { return e.learning.learner }

// RunLearner restores the learner, then refits its value function and saves its checkpoint periodically until ctx ends.
// It returns the error of ctx.
func (e *Engine) RunLearner(ctx context.Context) error {
	checkpoints := learnerCheckpoints{
		node: e.settings.Node, cluster: e.cluster, committer: e.committer, reader: e.reader,
	}
	e.restoreLearner(ctx, checkpoints)
	refit := time.NewTicker(config.ToDuration(e.operator.RefitIntervalSeconds))
	defer refit.Stop()
	save := time.NewTicker(tuning.LearnerCheckpointInterval)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-refit.C:
			e.refitLearner()
		case <-save.C:
			checkpoint := e.learning.learner.Save()
			e.learning.runTimes.Save(&checkpoint)
			if err := checkpoints.save(ctx, checkpoint); err != nil {
				e.log.Debug("cannot save the learner checkpoint", "err", err)
			}
		}
	}
}

// refitLearner fits the value function to the rewards so far and drops decisions that will never be rewarded.
func (e *Engine) refitLearner() {
	if err := e.learning.learner.Refit(); err != nil {
		e.log.Info("cannot refit the learner's value function", "err", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	e.learning.dropStaleAttempts(e.cluster.Jobs)
}

// restoreLearner restores the checkpoint saved under the node's name. The checkpoint only improves decisions, so one
// that is corrupt or in another format is ignored.
func (e *Engine) restoreLearner(ctx context.Context, checkpoints learnerCheckpoints) {
	checkpoint, err := checkpoints.load(ctx)
	if err == nil {
		err = e.learning.learner.Restore(checkpoint)
	}
	switch {
	case errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil:
	case err != nil:
		e.log.Info("cannot restore the learner checkpoint; starting without it", "err", err)
	default:
		e.learning.runTimes.Restore(checkpoint)
		e.log.Info("learner checkpoint restored", "rewards", checkpoint.RewardCount)
	}
}

// save writes a checkpoint.
func (s learnerCheckpoints) save(ctx context.Context, checkpoint learner.Checkpoint) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
	defer cancel()
	_, err := s.committer.Commit(ctx, kvstore.Transaction{Ops: s.ops(checkpoint)})
	return err
}

// ops returns the operations that save a checkpoint, in the format of the cluster's schema version.
func (s learnerCheckpoints) ops(checkpoint learner.Checkpoint) []wire.Op {
	s.cluster.RLock()
	version := s.cluster.SchemaVersion
	s.cluster.RUnlock()
	if version < tuning.SchemaVersionDependencies {
		return []wire.Op{kvstore.PutOp(record.LearnerCheckpointKey(s.node), checkpoint)}
	}
	var ops []wire.Op
	for i, piece := range checkpoint.Split(s.committer.MaxRecordBytes(), time.Now().UnixMilli()) {
		ops = append(ops, kvstore.PutOp(record.LearnerCheckpointPieceKey(s.node, i), piece))
	}
	return ops
}

// load reads the checkpoint, in pieces or, as before tuning.SchemaVersionDependencies, as one record.
func (s learnerCheckpoints) load(ctx context.Context) (learner.Checkpoint, error) {
	checkpoint, err := s.read(ctx, record.LearnerCheckpointPieceKey(s.node, 0))
	if errors.Is(err, kvstore.ErrNotFound) {
		return s.read(ctx, record.LearnerCheckpointKey(s.node))
	}
	for i := 1; i < checkpoint.PieceCount && err == nil; i++ {
		var piece learner.Checkpoint
		if piece, err = s.read(ctx, record.LearnerCheckpointPieceKey(s.node, i)); err == nil {
			err = checkpoint.Append(piece)
		}
	}
	return checkpoint, err
}

// read reads a record. It retries until the key-value store answers or ctx ends.
func (s learnerCheckpoints) read(ctx context.Context, key string) (learner.Checkpoint, error) {
	for {
		var checkpoint learner.Checkpoint
		entry, err := s.reader.Get(ctx, key)
		switch {
		case err == nil:
			return checkpoint, wire.Decode(entry.Value, &checkpoint)
		case errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil:
			return checkpoint, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.KVRetryBackoff):
		}
	}
}
