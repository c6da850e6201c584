package kvstore

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// history is a generated run of changes and the states that they led through.
type history struct {
	events []wire.Event
	states []map[string]string // by revision
}

func drawHistory(t *rapid.T) *history {
	h := &history{states: []map[string]string{{}}}
	for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
		key := rapid.SampledFrom(cachedKeys).Draw(t, "key")
		isDelete := rapid.Bool().Draw(t, "delete")
		h.append(key, isDelete, wire.MustEncode(i))
	}
	return h
}

// append adds a change; a delete of a key that does not exist changes nothing.
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

// lastRevision is the revision of the last change.
func (h *history) lastRevision() uint64 { return uint64(len(h.states) - 1) }

// between is a watch's answer with the changes after one revision up to another.
func (h *history) between(after, upTo uint64) wire.WatchResponse {
	answer := wire.WatchResponse{Revision: upTo}
	for _, event := range h.events {
		if event.ModRevision > after && event.ModRevision <= upTo {
			answer.Events = append(answer.Events, event)
		}
	}
	return answer
}

// cacheRun is a cache that takes in a history.
type cacheRun struct {
	*history

	cache        *WatchCache
	sink         mapSink
	ownRevisions []uint64 // of the changes that were taken in as the node's own
}

// TestWatchCacheFollowsHistory applies overlapping watch answers and the node's
// own writes in generated orders. The cache must never show a key that was
// deleted at or below its revision: a late answer once brought a finished job
// back to life.
func TestWatchCacheFollowsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &cacheRun{history: drawHistory(t), sink: mapSink{}}
		_, run.cache = newTestCache(nil, minimalLimits, run.sink)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			run.step(t)
			run.checkOutdatedConditions(t)
			run.checkState(t)
		}
	})
}

// step takes in one change of the node's own, or one answer to a watch.
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

// checkOutdatedConditions checks that a condition that counts as outdated holds
// in no state from the one on that the cache knows.
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
				t.Fatalf("revision %d: a condition of %s at %d counts as outdated at %d",
					r.cache.revision, key, modRevision, event.ModRevision)
			}
		}
	}
}

// checkState checks that the keys on which no write of the node's own runs ahead
// show the state at the cache's revision.
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
		if want := r.states[r.cache.revision][key]; !ahead[key] && r.sink[key] != want {
			t.Fatalf("revision %d: %s is %q, want %q", r.cache.revision, key, r.sink[key], want)
		}
	}
}

// TestLateWatchDoesNotUndoOwnDelete: a watch's answer that ends before a delete
// of the node's own must not bring the key back.
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
		t.Errorf("the deleted key is back with %q", value)
	}
	cache.applyWatch(3, put(7), time.Now())
	if sink["s/a"] != string(wire.MustEncode(7)) {
		t.Errorf("the key that was put again is %q", sink["s/a"])
	}
}
