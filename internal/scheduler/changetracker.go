package scheduler

import (
	"iter"
	"maps"
	"time"
)

// changeTracker keeps the record changes that have been started and whose outcome is not yet known, and the
// records that the key-value store has rejected. Until a change has finished, no other change of its records may
// start, and its bindings count as running. It is not safe for concurrent use.
type changeTracker struct {
	nextID        uint64
	changes       map[uint64]*recordChange
	keysInFlight  map[string]bool
	rejectedUntil map[string]time.Time // by key of the record
}

func newChangeTracker() changeTracker {
	return changeTracker{
		changes:       map[uint64]*recordChange{},
		keysInFlight:  map[string]bool{},
		rejectedUntil: map[string]time.Time{},
	}
}

// start notes a change as in flight and returns the number under which it is finished.
func (t *changeTracker) start(change *recordChange) uint64 {
	id := t.nextID
	t.nextID++
	t.changes[id] = change
	for _, key := range change.keys {
		t.keysInFlight[key] = true
	}
	return id
}

// finish forgets a change whose outcome is known and frees its records.
func (t *changeTracker) finish(id uint64) {
	for _, key := range t.changes[id].keys {
		delete(t.keysInFlight, key)
	}
	delete(t.changes, id)
}

// reserveKey keeps other changes from a record before the change of it has started.
func (t *changeTracker) reserveKey(key string) { t.keysInFlight[key] = true }

// inFlight reports whether a change of a record is in flight.
func (t *changeTracker) inFlight(key string) bool { return t.keysInFlight[key] }

// bindings yields the bindings of all changes in flight, in no particular order.
func (t *changeTracker) bindings() iter.Seq[pendingBinding] {
	return func(yield func(pendingBinding) bool) {
		for _, change := range t.changes {
			for _, binding := range change.bindings {
				if !yield(binding) {
					return
				}
			}
		}
	}
}

// reject keeps the records of a malformed change from being changed until a time: tried again in each cycle, it
// would only take the request budget from other changes.
func (t *changeTracker) reject(change *recordChange, until time.Time) {
	for _, key := range change.keys {
		t.rejectedUntil[key] = until
	}
}

// rejected reports whether a change of a record was rejected lately.
func (t *changeTracker) rejected(key string) bool {
	_, rejected := t.rejectedUntil[key]
	return rejected
}

// pruneRejected lets records be changed again whose time is up.
func (t *changeTracker) pruneRejected(now time.Time) {
	maps.DeleteFunc(t.rejectedUntil, func(_ string, until time.Time) bool { return now.After(until) })
}
