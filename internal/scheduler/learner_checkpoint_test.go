package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/kvstore"
	"sableusher/internal/learner"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// recordReader is a key-value store that is unavailable for a number of calls and then reads from a map.
type recordReader struct {
	records  map[string]any
	failures int
}

// Get reads a record.
func (r *recordReader) Get(_ context.Context, key string) (wire.KeyValue, error) {
	if r.failures > 0 {
		r.failures--
		return wire.KeyValue{}, kvstore.ErrUnavailable
	}
	value, ok := r.records[key]
	if !ok {
		return wire.KeyValue{}, kvstore.ErrNotFound
	}
	return wire.KeyValue{Key: key, Value: wire.MustEncode(value)}, nil
}

// TestCheckpointIsReadInBothFormats checks that a checkpoint in pieces takes precedence over one in a single record,
// that missing and mismatched pieces are errors, and that reads are retried while the store is unavailable.
func TestCheckpointIsReadInBothFormats(t *testing.T) {
	single := record.LearnerCheckpointKey("node-0")
	first, second := record.LearnerCheckpointPieceKey("node-0", 0), record.LearnerCheckpointPieceKey("node-0", 1)
	piece := func(rewards int, writtenAtMs int64) learner.Checkpoint {
		return learner.Checkpoint{RewardCount: rewards, PieceCount: 2, WrittenAtMs: writtenAtMs}
	}
	for _, test := range []struct {
		name     string
		records  map[string]any
		failures int
		rewards  int
		fails    bool
		notFound bool
	}{
		{"nothing", nil, 0, 0, true, true},
		{"single record", map[string]any{single: learner.Checkpoint{RewardCount: 3}}, 0, 3, false, false},
		{"pieces", map[string]any{
			single: learner.Checkpoint{RewardCount: 3}, first: piece(5, 1), second: piece(0, 1),
		}, 0, 5, false, false},
		{"store unavailable at first", map[string]any{first: piece(5, 1), second: piece(0, 1)}, 3, 5, false, false},
		{"missing piece", map[string]any{first: piece(5, 1)}, 0, 0, true, true},
		{"piece of another checkpoint", map[string]any{first: piece(5, 1), second: piece(0, 2)}, 0, 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				reader := &recordReader{records: test.records, failures: test.failures}
				checkpoint, err := learnerCheckpoints{node: "node-0", reader: reader}.load(t.Context())
				if (err != nil) != test.fails || errors.Is(err, kvstore.ErrNotFound) != test.notFound {
					t.Fatalf("load returned the error %v", err)
				}
				if err == nil && checkpoint.RewardCount != test.rewards {
					t.Errorf("%d rewards, want %d", checkpoint.RewardCount, test.rewards)
				}
				if waited := time.Since(start); waited != time.Duration(test.failures)*tuning.KVRetryBackoff {
					t.Errorf("waited %v for %d failed reads", waited, test.failures)
				}
			})
		})
	}
}

// TestCheckpointReadEndsWithItsContext checks that reading from an unavailable store ends with the context.
func TestCheckpointReadEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*tuning.KVRetryBackoff)
		defer cancel()
		reader := &recordReader{failures: 1 << 20}
		_, err := learnerCheckpoints{node: "node-0", reader: reader}.load(ctx)
		if !errors.Is(err, kvstore.ErrUnavailable) || ctx.Err() == nil {
			t.Errorf("load returned %v, context error %v", err, ctx.Err())
		}
	})
}
