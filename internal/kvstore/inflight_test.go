package kvstore

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// lastTestRevision is the number of transactions, and the last revision, of a generated history.
const lastTestRevision = 12

// trackedRun is a generated history of transactions. One set of operations is sent
// after some revision; transactions with the same operations may be applied before
// and after that.
type trackedRun struct {
	cache       *WatchCache
	sent        []wire.Op
	sentAfter   uint64          // the operations are sent after this revision
	before      uint64          // the revision returned by TrackInFlight
	history     [][]wire.Op     // transactions; the first one has revision 1
	knownBefore map[uint64]bool // revisions whose changes the node knew of when it sent the operations
	exists      map[string]bool // whether a key exists after the last transaction
}

// TestFindAppliedReportsOnlyAppliedTransactions checks FindApplied on generated
// histories. It must report operations as applied only if one transaction applied
// them all with the same values, and this node did not know of that transaction
// when it sent the operations, neither by the watch nor as a change of its own
// ahead of the watch. It must report each such transaction as soon as the watch
// shows it.
func TestFindAppliedReportsOnlyAppliedTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, cache := newTestCache(nil, minimalLimits, mapSink{})
		run := &trackedRun{
			cache:       cache,
			sentAfter:   rapid.Uint64Range(0, 6).Draw(t, "sent after"),
			sent:        drawOps(t, "sent"),
			knownBefore: map[uint64]bool{},
			exists:      map[string]bool{},
		}
		for revision := uint64(1); revision <= lastTestRevision; revision++ {
			run.step(t, revision)
		}
	})
}

// step applies one transaction and checks the result of FindApplied.
func (r *trackedRun) step(t *rapid.T, revision uint64) {
	transaction := drawOps(t, "transaction")
	isSent := rapid.IntRange(0, 2).Draw(t, "is the one sent") == 0
	if isSent {
		transaction = r.sent
	}
	if revision == r.sentAfter+1 {
		r.before = r.cache.TrackInFlight(r.sent)
		for known := range r.cache.revision {
			r.knownBefore[known+1] = true
		}
	}
	r.history = append(r.history, transaction)
	detectable := r.detectable()
	for _, op := range transaction {
		r.exists[op.Key()] = op.PutKey != ""
	}
	if rapid.Bool().Draw(t, "own") {
		r.cache.ApplyOwn(transaction, revision)
		r.knownBefore[revision] = revision <= r.sentAfter
	}
	if rapid.IntRange(0, 2).Draw(t, "the watch lags") == 0 && revision < lastTestRevision {
		return
	}
	r.deliverWatchUpTo(revision)
	if revision <= r.sentAfter {
		return
	}
	appliedAt, ok := r.cache.FindApplied(r.sent, r.before)
	if ok && (r.knownBefore[appliedAt] || !containsPuts(r.history[appliedAt-1], r.sent)) {
		t.Fatalf("at revision %d: FindApplied wrongly returned revision %d of transaction %v",
			revision, appliedAt, r.history[appliedAt-1])
	}
	if isSent && detectable && !ok {
		t.Fatalf("at revision %d: FindApplied did not find the transaction just applied (%d, %v)",
			revision, appliedAt, ok)
	}
}

// detectable reports whether FindApplied can find the operations: they put a cached
// key, and delete no cached key that does not exist.
func (r *trackedRun) detectable() bool {
	putsCached := slices.ContainsFunc(r.sent, func(op wire.Op) bool {
		return strings.HasPrefix(op.PutKey, cachedPrefix)
	})
	deletesAbsent := slices.ContainsFunc(r.sent, func(op wire.Op) bool {
		return strings.HasPrefix(op.DeleteKey, cachedPrefix) && !r.exists[op.DeleteKey]
	})
	return putsCached && !deletesAbsent
}

// deliverWatchUpTo applies a response to a watch with all changes up to a revision.
func (r *trackedRun) deliverWatchUpTo(revision uint64) {
	watchResponse := wire.WatchResponse{Revision: revision}
	for at := r.cache.revision + 1; at <= revision; at++ {
		for _, op := range r.history[at-1] {
			if strings.HasPrefix(op.Key(), cachedPrefix) {
				watchResponse.Events = append(watchResponse.Events, wire.Event{
					PutKey: op.PutKey, DeleteKey: op.DeleteKey, Value: op.Value, ModRevision: at,
				})
			}
		}
	}
	r.cache.applyWatch(r.cache.revision, watchResponse, time.Now())
}

// containsPuts reports whether a transaction contains all puts of cached keys in
// wanted, with the same values.
func containsPuts(transaction, wanted []wire.Op) bool {
	for _, op := range wanted {
		found := slices.ContainsFunc(transaction, func(other wire.Op) bool {
			sameChange := op.DeleteKey != "" || op.PutKey == other.PutKey && string(op.Value) == string(other.Value)
			return op.Key() == other.Key() && sameChange
		})
		if !found && strings.HasPrefix(op.PutKey, cachedPrefix) {
			return false
		}
	}
	return true
}

// TestFindAppliedIgnoresEarlierTransactions checks that FindApplied does not mistake
// an earlier transaction, still tracked, for a later one with the same operations.
func TestFindAppliedIgnoresEarlierTransactions(t *testing.T) {
	_, cache := newTestCache(nil, minimalLimits, mapSink{})
	ops := []wire.Op{PutOp("s/a", 1)}
	cache.TrackInFlight(ops)
	cache.ApplyOwn(ops, 3)
	before := cache.TrackInFlight(ops)
	if revision, ok := cache.FindApplied(ops, before); ok {
		t.Errorf("operations sent after revision %d were found at revision %d", before, revision)
	}
	cache.applyWatch(0, wire.WatchResponse{Revision: 5, Events: []wire.Event{
		{PutKey: "s/a", Value: wire.MustEncode(1), ModRevision: 5},
	}}, time.Now())
	if revision, ok := cache.FindApplied(ops, before); !ok || revision != 5 {
		t.Errorf("FindApplied returned revision %d, %v, want 5, true", revision, ok)
	}
}
