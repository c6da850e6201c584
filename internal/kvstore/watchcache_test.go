package kvstore

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// history is a generated sequence of changes and the states between them.
type history struct {
	events []wire.Event
	states []map[string]string // values by key, indexed by revision
}

// drawHistory draws up to 30 changes of cachedKeys.
func drawHistory(t *rapid.T) *history {
	h := &history{states: []map[string]string{{}}}
	for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
		key := rapid.SampledFrom(cachedKeys).Draw(t, "key")
		isDelete := rapid.Bool().Draw(t, "delete")
		h.append(key, isDelete, wire.MustEncode(i))
	}
	return h
}

// append adds a change at the next revision. Deleting an absent key only adds a revision without a change.
func (h *history) append(key string, isDelete bool, value wire.RawValue) {
	revision := uint64(len(h.states))
	next := maps.Clone(h.states[revision-1])
	if _, exists := next[key]; exists && isDelete {
		delete(next, key)
		h.events = append(h.events, wire.Event{DeleteKey: key, ModRevision: revision})
	}
	if !isDelete {
		next[key] = string(value)
		h.events = append(h.events, wire.Event{PutKey: key, Value: value, ModRevision: revision})
	}
	h.states = append(h.states, next)
}

// lastRevision returns the revision of the last change.
func (h *history) lastRevision() uint64 { return uint64(len(h.states) - 1) }

// between returns the response to a watch with the changes after one revision up to another.
func (h *history) between(after, upTo uint64) wire.WatchResponse {
	watchResponse := wire.WatchResponse{Revision: upTo}
	for _, event := range h.events {
		if event.ModRevision > after && event.ModRevision <= upTo {
			watchResponse.Events = append(watchResponse.Events, event)
		}
	}
	return watchResponse
}

// cacheRun is a cache to which parts of a history are applied.
type cacheRun struct {
	*history

	cache        *WatchCache
	sink         *revisionSink
	ownRevisions []uint64 // revisions that were applied by ApplyOwn
}

// TestWatchCacheFollowsHistory applies overlapping watch responses and the node's
// own changes in generated orders. The cache must never show a key whose deletion
// has a revision up to that of the cache. It guards against a late watch response
// that restores the deleted record of a finished job.
func TestWatchCacheFollowsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &cacheRun{history: drawHistory(t), sink: &revisionSink{mapSink: mapSink{}}}
		_, run.cache = newTestCache(nil, minimalLimits, run.sink)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			run.step(t)
			run.checkOutdatedConditions(t)
			run.checkState(t)
		}
	})
}

// step applies one of the node's own changes, or one response to a watch.
func (r *cacheRun) step(t *rapid.T) {
	if rapid.Bool().Draw(t, "own") && len(r.events) > 0 {
		event := rapid.SampledFrom(r.events).Draw(t, "write")
		op := wire.Op{PutKey: event.PutKey, Value: event.Value, DeleteKey: event.DeleteKey}
		r.cache.ApplyOwn([]wire.Op{op}, event.ModRevision)
		r.ownRevisions = append(r.ownRevisions, event.ModRevision)
		return
	}
	after := rapid.Uint64Range(0, r.cache.revision).Draw(t, "after")
	upTo := rapid.Uint64Range(after, r.lastRevision()).Draw(t, "up to")
	r.cache.applyWatch(after, r.between(after, upTo), time.Now())
}

// checkOutdatedConditions checks that IsOutdated reports no condition that holds at
// the latest revision known to the cache or at a later one.
func (r *cacheRun) checkOutdatedConditions(t *rapid.T) {
	known := r.cache.revision
	for _, revision := range r.ownRevisions {
		known = max(known, revision)
	}
	for _, key := range cachedKeys {
		modRevision := uint64(0)
		for _, event := range r.events {
			switch key {
			case event.PutKey:
				modRevision = event.ModRevision
			case event.DeleteKey:
				modRevision = 0
			}
			condition := wire.Condition{Key: key, ModRevision: modRevision}
			if event.ModRevision >= known && r.cache.IsOutdated(condition) {
				t.Fatalf(
					"cache at revision %d: condition on %s at %d is reported as outdated, but holds at revision %d",
					r.cache.revision, key, modRevision, event.ModRevision)
			}
		}
	}
}

// checkState checks that the sink has the state at the cache's revision, except for
// the keys with an own change ahead of that revision.
func (r *cacheRun) checkState(t *rapid.T) {
	ahead := map[string]bool{}
	for _, event := range r.events {
		for _, revision := range r.ownRevisions {
			if event.ModRevision == revision && event.ModRevision > r.cache.revision {
				ahead[event.PutKey+event.DeleteKey] = true
			}
		}
	}
	for _, key := range cachedKeys {
		if want := r.states[r.cache.revision][key]; !ahead[key] && r.sink.mapSink[key] != want {
			t.Fatalf("cache at revision %d: key %s has value %q, want %q",
				r.cache.revision, key, r.sink.mapSink[key], want)
		}
	}
	if r.sink.revision != r.cache.Revision() {
		t.Fatalf("cache at revision %d: the sink has revision %d", r.cache.Revision(), r.sink.revision)
	}
}

// TestPagesSetNoRevision checks that neither a page of a listing nor an own change sets the sink's revision: pages show
// the keys at different revisions, so together they are no state that the store ever had.
func TestPagesSetNoRevision(t *testing.T) {
	sink := &revisionSink{mapSink: mapSink{}}
	_, cache := newTestCache(nil, minimalLimits, sink)
	cache.applyPage(wire.RangeResponse{Revision: 5, KeyValues: []wire.KeyValue{
		{Key: "s/a", Value: wire.MustEncode(1), ModRevision: 4},
	}})
	cache.ApplyOwn([]wire.Op{PutOp("s/b", 1)}, 6)
	if sink.revision != 0 {
		t.Errorf("revision %d after a page and an own change, want 0", sink.revision)
	}
	cache.applyWatch(0, wire.WatchResponse{Revision: 7}, time.Now())
	if sink.revision != 7 {
		t.Errorf("revision %d after a watch, want 7", sink.revision)
	}
}

// TestLateWatchDoesNotUndoOwnDelete checks that a watch response that ends at a
// revision before one of the node's own deletes does not restore the deleted key.
func TestLateWatchDoesNotUndoOwnDelete(t *testing.T) {
	sink := mapSink{}
	_, cache := newTestCache(nil, minimalLimits, sink)
	put := func(revision uint64) wire.WatchResponse {
		return wire.WatchResponse{Revision: revision, Events: []wire.Event{
			{PutKey: "s/a", Value: wire.MustEncode(revision), ModRevision: revision},
		}}
	}
	cache.applyWatch(0, put(1), time.Now())
	cache.ApplyOwn([]wire.Op{DeleteOp("s/a")}, 5)
	cache.applyWatch(1, put(3), time.Now())
	if value, ok := sink["s/a"]; ok {
		t.Errorf("the deleted key was restored with value %q", value)
	}
	cache.applyWatch(3, put(7), time.Now())
	if sink["s/a"] != string(wire.MustEncode(7)) {
		t.Errorf("the key put after the delete has value %q", sink["s/a"])
	}
}
