package kvstore

import (
	"slices"
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// inFlightKey records the changes of a key while transactions of this node that
// change the key are in flight.
type inFlightKey struct {
	transactions int                      // number of such transactions in flight
	changes      map[uint64]wire.RawValue // values by revision; nil if the key was deleted
}

// recordChange records a change that was applied to the cache. A nil value means
// that the key was deleted. With a nil receiver, recordChange does nothing.
func (k *inFlightKey) recordChange(revision uint64, value wire.RawValue) {
	if k != nil && len(k.changes) < tuning.InFlightKeyMaxChanges {
		k.changes[revision] = value
	}
}

// TrackInFlight starts to record the changes of the keys of operations that are
// about to be sent; UntrackInFlight ends the recording. TrackInFlight returns a
// revision that is lower than any at which the operations can be applied: the
// highest of the cache's revision and the revisions of this node's own changes of
// these keys, which may be ahead of the watch.
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

// UntrackInFlight ends the recording that TrackInFlight started for the operations.
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

// FindApplied reports whether the cache has seen, since TrackInFlight, that all
// the operations were applied together after the revision after, and at which
// revision: at that revision all keys that they put changed to their values, and
// all keys that they delete were deleted. Later changes of these keys don't
// matter. FindApplied can't find operations that put no cached key, or that
// delete a cached key that does not exist.
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

// allAppliedAt reports whether the cache has seen all operations applied at a
// revision. The caller must hold mu.
func (c *WatchCache) allAppliedAt(ops []wire.Op, revision uint64) bool {
	return !slices.ContainsFunc(ops, func(op wire.Op) bool { return !c.wasAppliedAt(op, revision) })
}

// wasAppliedAt reports whether the cache has seen an operation applied at a
// revision. For keys outside the cached prefix it returns true, since they change
// in the same transaction as the cached keys. The caller must hold mu.
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
