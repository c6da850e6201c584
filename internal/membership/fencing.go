package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sableusher/internal/tuning"
)

// fenceMode selects whether a fence raises the shard's fencing token.
type fenceMode int

const (
	keepToken fenceMode = iota
	raiseToken
)

// String returns the name of the mode.
func (f fenceMode) String() string {
	switch f {
	case keepToken:
		return "keep token"
	case raiseToken:
		return "raise token"
	}
	return fmt.Sprintf("fenceMode(%d)", int(f))
}

// runningFences is the set of shards that this node is fencing. It is safe for
// concurrent use.
type runningFences struct {
	mu     sync.Mutex // guards shards
	shards map[int]bool
}

// begin registers a fence of the shard and reports whether it may run. It reports
// false if another fence of the shard is running.
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

// Fence rewrites a shard's record, so that no earlier transaction that has the
// record as a condition can be applied any more. It retries until the rewrite is
// committed and the cluster state contains all transactions that precede it, or
// until this node no longer owns the shard or ctx is done. Ownership reports
// false while Fence runs. A call while another fence of the shard runs returns
// immediately.
func (m *Member) Fence(ctx context.Context, shard int) { m.fence(ctx, shard, keepToken) }

// FenceAndRaiseToken is like Fence but also raises the fencing token, so that
// agents reject commands that are already in flight.
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
		case <-time.After(tuning.FenceRetryInterval):
		}
	}
}

// tryFence makes one attempt to fence the shard. It reports whether the shard is
// fenced or no longer owned by this node.
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
	// Wait for the read barrier even after an error: the transaction may have been
	// applied, and the next attempt has to use the resulting record.
	barrierErr := m.cache.WaitForReadBarrier(ctx)
	if err != nil || barrierErr != nil {
		return false
	}
	m.logger.Info("shard fenced", "shard", shard, "fencing_token", next.FencingToken)
	return true
}

// nextFencingToken returns the fencing token that follows the given one. Once the
// schema version is at least tuning.SchemaVersionConfirmedCancel, tokens are at
// least tuning.ConfirmedCancelTokenBase. The schema version is never lowered, so
// if an agent reports such a token, even a process without cluster state knows
// that cancellations are confirmed only after all tasks of a job are released. From
// tuning.SchemaVersionTokenRanges on, tokens are the first ones of a TokenRange.
func nextFencingToken(fencingToken uint64, schemaVersion int) uint64 {
	next := TokenRangeOf(fencingToken).Last + 1
	if schemaVersion >= tuning.SchemaVersionTokenRanges {
		return max(next, tuning.TokenRangeBase)
	}
	if schemaVersion >= tuning.SchemaVersionConfirmedCancel && next < tuning.ConfirmedCancelTokenBase {
		next += tuning.ConfirmedCancelTokenBase
	}
	return next
}

// minFencingToken returns the lower bound of the fencing tokens that are written under a schema version.
func minFencingToken(schemaVersion int) uint64 {
	switch {
	case schemaVersion >= tuning.SchemaVersionTokenRanges:
		return tuning.TokenRangeBase
	case schemaVersion >= tuning.SchemaVersionConfirmedCancel:
		return tuning.ConfirmedCancelTokenBase
	default:
		return 0
	}
}
