package kvstore

import (
	"slices"
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// inFlightKey is what became of a key while transactions of this node that
// change it were on their way.
type inFlightKey struct {
	transactions int                      // on their way
	changes      map[uint64]wire.RawValue // by revision; nil: the key was deleted
}

// recordChange keeps a change that the cache has taken in; a nil value stands
// for a delete. A nil receiver keeps nothing.
func (k *inFlightKey) recordChange(revision uint64, value wire.RawValue) {
	if k != nil && len(k.changes) < tuning.InFlightKeyMaxChanges {
		k.changes[revision] = value
	}
}

// TrackInFlight notes operations that are about to be sent, until
// UntrackInFlight. It returns a revision below any at which they can be applied:
// the cache's own, and those of this node's own changes of the same keys, which
// run ahead of it.
func (c *WatchCache) TrackInFlight(ops []wire.Op) (before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.revision
	for _, op := range ops {
		key := op.Key()
		before = max(before, c.modRevisions[key], c.ownDeletes[key])
		if c.inFlight[key] == nil {
			c.inFlight[key] = &inFlightKey{changes: map[uint64]wire.RawValue{}}
		}
		c.inFlight[key].transactions++
	}
	return before
}

// UntrackInFlight ends what TrackInFlight began.
func (c *WatchCache) UntrackInFlight(ops []wire.Op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, op := range ops {
		key := op.Key()
		c.inFlight[key].transactions--
		if c.inFlight[key].transactions == 0 {
			delete(c.inFlight, key)
		}
	}
}

// FindApplied reports whether the cache has shown, since TrackInFlight, that
// all the operations were applied together after a revision, and at which: all
// keys that they put changed at it, to these values, and those that they delete
// went at it. Keys that have changed again since count too. Operations that put
// no cached key, or delete one that does not exist, can't be told.
func (c *WatchCache) FindApplied(ops []wire.Op, after uint64) (revision uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	firstPut := slices.IndexFunc(ops, func(op wire.Op) bool { return strings.HasPrefix(op.PutKey, c.prefix) })
	if firstPut < 0 {
		return 0, false
	}
	for candidate := range c.inFlight[ops[firstPut].PutKey].changes {
		if candidate > after && c.allAppliedAt(ops, candidate) {
			return candidate, true
		}
	}
	return 0, false
}

// allAppliedAt reports whether the cache has shown all operations applied at a
// revision. The caller holds mu.
func (c *WatchCache) allAppliedAt(ops []wire.Op, revision uint64) bool {
	return !slices.ContainsFunc(ops, func(op wire.Op) bool { return !c.wasAppliedAt(op, revision) })
}

// wasAppliedAt reports whether an operation was applied at a revision, as far as
// the cache shows; keys that are not cached change with the others. The caller
// holds mu.
func (c *WatchCache) wasAppliedAt(op wire.Op, revision uint64) bool {
	if !strings.HasPrefix(op.Key(), c.prefix) {
		return true
	}
	value, changed := c.inFlight[op.Key()].changes[revision]
	if op.PutKey == "" {
		return changed && value == nil
	}
	return changed && value != nil && wire.EqualValues(value, op.Value)
}
