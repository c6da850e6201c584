package scheduler

import (
	"iter"
	"maps"
	"time"
)

// changeTracker tracks the record changes that have been started and whose outcome is not yet known, and the records
// whose changes the key-value store has rejected. Until a change is finished, no other change of its records may
// start and its bindings count as running. It is not safe for concurrent use.
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

// start records a change as in flight and returns the ID to finish it with.
func (t *changeTracker) start(change *recordChange) uint64 {
	id := t.nextID
	t.nextID++
	t.changes[id] = change
	for _, key := range change.keys {
		t.keysInFlight[key] = true
	}
	return id
}

// finish removes a change whose outcome is known and allows other changes of its records again.
func (t *changeTracker) finish(id uint64) {
	for _, key := range t.changes[id].keys {
		delete(t.keysInFlight, key)
	}
	delete(t.changes, id)
}

// reserveKey marks a record as in flight before the change of it is started, so that no other change of it starts in
// the meantime. Finishing that change clears the mark.
func (t *changeTracker) reserveKey(key string) { t.keysInFlight[key] = true }

// inFlight reports whether a change of a record is in flight or reserved.
func (t *changeTracker) inFlight(key string) bool { return t.keysInFlight[key] }

// bindings returns an iterator over the bindings of all changes in flight, in no particular order.
func (t *changeTracker) bindings() iter.Seq[inFlightBinding] {
	return func(yield func(inFlightBinding) bool) {
		for _, change := range t.changes {
			for _, binding := range change.bindings {
				if !yield(binding) {
					return
				}
			}
		}
	}
}

// reject blocks changes of the records of a malformed change until the given time. Without the backoff the change would
// be retried in each cycle and take request budget from other changes.
func (t *changeTracker) reject(change *recordChange, until time.Time) {
	for _, key := range change.keys {
		t.rejectedUntil[key] = until
	}
}

// rejected reports whether a change of a record was rejected and its backoff has not been pruned yet.
func (t *changeTracker) rejected(key string) bool {
	_, rejected := t.rejectedUntil[key]
	return rejected
}

// pruneRejected allows changes again of the rejected records whose backoff has ended.
func (t *changeTracker) pruneRejected(now time.Time) {
	maps.DeleteFunc(t.rejectedUntil, func(_ string, until time.Time) bool { return now.After(until) })
}
