package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sableusher/internal/tuning"
)

// fenceMode says what a fence does with the shard's fencing token.
type fenceMode int

const (
	keepToken fenceMode = iota
	raiseToken
)

// String names the mode.
func (f fenceMode) String() string {
	switch f {
	case keepToken:
		return "keep token"
	case raiseToken:
		return "raise token"
	}
	return fmt.Sprintf("fenceMode(%d)", int(f))
}

// runningFences is the set of shards that this node is fencing.
type runningFences struct {
	mu     sync.Mutex // guards shards
	shards map[int]bool
}

// begin reports whether a fence of the shard may start: only one runs at a time.
func (r *runningFences) begin(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shards[shard] {
		return false
	}
	r.shards[shard] = true
	return true
}

func (r *runningFences) end(shard int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.shards, shard)
}

func (r *runningFences) isRunning(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shards[shard]
}

// Fence rewrites a shard's record, so that no earlier transaction with a
// condition on it can be applied any more. It returns once the cluster state
// holds all that came before, or this node has lost the shard; until then
// Ownership reports false. A call while a fence of the shard runs does nothing.
func (m *Member) Fence(ctx context.Context, shard int) { m.fence(ctx, shard, keepToken) }

// FenceAndRaiseToken is Fence that also raises the fencing token, which fences
// commands on their way to agents.
func (m *Member) FenceAndRaiseToken(ctx context.Context, shard int) { m.fence(ctx, shard, raiseToken) }

func (m *Member) fence(ctx context.Context, shard int, mode fenceMode) {
	if !m.fences.begin(shard) {
		return
	}
	defer m.fences.end(shard)
	for ctx.Err() == nil {
		if done := m.tryFence(ctx, shard, mode); done {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.UnknownOutcomePause):
		}
	}
}

// tryFence reports whether the shard is fenced, or no longer this node's.
func (m *Member) tryFence(ctx context.Context, shard int, mode fenceMode) bool {
	m.clusterState.RLock()
	current, known := m.clusterState.Shards[shard]
	schemaVersion := m.clusterState.SchemaVersion
	m.clusterState.RUnlock()
	if !known || !m.ownedBySelf(current) {
		return true
	}
	next := current.Shard
	next.FenceCount++
	if mode == raiseToken {
		next.FencingToken = nextFencingToken(next.FencingToken, schemaVersion)
	}
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.KVRequestTimeout)
	defer cancel()
	_, err := m.committer.Commit(ctx, ownershipTransaction(shard, current, next))
	// Also after an error: the transaction may have been applied, and the next
	// attempt reads the record again.
	barrierErr := m.cache.WaitForReadBarrier(ctx)
	if err != nil || barrierErr != nil {
		return false
	}
	m.logger.Info("shard fenced", "shard", shard, "fencing_token", next.FencingToken)
	return true
}

// nextFencingToken is a shard's token after a given one. From the schema
// version on at which cancellations are confirmed, it is one that says so: the
// version is never lowered, so an agent that has seen such a token proves that
// cancellations are confirmed, even to a process without any cluster state.
func nextFencingToken(fencingToken uint64, schemaVersion int) uint64 {
	next := fencingToken + 1
	if schemaVersion >= tuning.SchemaVersionConfirmedCancel && next < tuning.ConfirmedCancelTokenBase {
		next += tuning.ConfirmedCancelTokenBase
	}
	return next
}
