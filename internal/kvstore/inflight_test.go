package kvstore

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// lastTestRevision is the number of transactions of a generated history.
const lastTestRevision = 12

// trackedRun is a history in which one set of operations is sent at some moment
// and may be applied at any later one.
type trackedRun struct {
	cache       *WatchCache
	sent        []wire.Op
	sentAfter   uint64 // the revision after which they are sent
	before      uint64 // what TrackInFlight returned
	history     [][]wire.Op
	knownBefore map[uint64]bool // revisions that the node knew of when it sent
	exists      map[string]bool // keys, as of the last transaction
}

// TestFindAppliedReportsOnlyAppliedTransactions: a cache of a generated history says that
// operations were applied together only if some transaction applied them all,
// with these values, that this node did not know of when it sent them, be it in
// its cache or as a change of its own that ran ahead; and it says so of each as
// it comes.
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

// step applies one transaction and checks what the cache says of it.
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
		t.Fatalf("at %d: said to be applied at %d, by %v", revision, appliedAt, r.history[appliedAt-1])
	}
	if isSent && detectable && !ok {
		t.Fatalf("at %d: was just applied, and is not found (%d, %v)", revision, appliedAt, ok)
	}
}

// detectable reports whether the cache can tell that the operations are applied:
// they put a cached key, and delete none that does not exist.
func (r *trackedRun) detectable() bool {
	putsCached := slices.ContainsFunc(r.sent, func(op wire.Op) bool {
		return strings.HasPrefix(op.PutKey, cachedPrefix)
	})
	deletesAbsent := slices.ContainsFunc(r.sent, func(op wire.Op) bool {
		return strings.HasPrefix(op.DeleteKey, cachedPrefix) && !r.exists[op.DeleteKey]
	})
	return putsCached && !deletesAbsent
}

// deliverWatchUpTo answers a watch with all changes up to a revision.
func (r *trackedRun) deliverWatchUpTo(revision uint64) {
	answer := wire.WatchResponse{Revision: revision}
	for at := r.cache.revision + 1; at <= revision; at++ {
		for _, op := range r.history[at-1] {
			if strings.HasPrefix(op.Key(), cachedPrefix) {
				answer.Events = append(answer.Events, wire.Event{
					PutKey: op.PutKey, DeleteKey: op.DeleteKey, Value: op.Value, ModRevision: at,
				})
			}
		}
	}
	r.cache.applyWatch(r.cache.revision, answer, time.Now())
}

// containsPuts reports whether a transaction has all puts of cached keys of
// another.
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

// TestFindAppliedIgnoresEarlierTransactions: the same change of an earlier
// transaction that is still tracked is not taken for a later one's.
func TestFindAppliedIgnoresEarlierTransactions(t *testing.T) {
	_, cache := newTestCache(nil, minimalLimits, mapSink{})
	ops := []wire.Op{PutOp("s/a", 1)}
	cache.TrackInFlight(ops)
	cache.ApplyOwn(ops, 3)
	before := cache.TrackInFlight(ops)
	if revision, ok := cache.FindApplied(ops, before); ok {
		t.Errorf("sent after %d, found at %d", before, revision)
	}
	cache.applyWatch(0, wire.WatchResponse{Revision: 5, Events: []wire.Event{
		{PutKey: "s/a", Value: wire.MustEncode(1), ModRevision: 5},
	}}, time.Now())
	if revision, ok := cache.FindApplied(ops, before); !ok || revision != 5 {
		t.Errorf("found at %d: %v", revision, ok)
	}
}
