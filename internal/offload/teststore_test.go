package offload

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/wire"
)

// storedValue is the value of a key. A key that does not exist has the zero storedValue.
type storedValue struct {
	value       wire.RawValue
	modRevision uint64
}

// storeEvent is a write of a key, or its deletion if deleted is set.
type storeEvent struct {
	storedValue
	key     string
	deleted bool
}

// testStore is a key-value store with compare-and-swap.
type testStore struct {
	values   map[string]storedValue
	revision uint64
	unseen   []storeEvent // events not applied to the cluster state yet
}

// execute applies a transaction if all its conditions hold, and returns kvstore.ErrConditionFailed otherwise.
func (s *testStore) execute(transaction kvstore.Transaction) error {
	for _, condition := range transaction.Conditions {
		if s.values[condition.Key].modRevision != condition.ModRevision {
			return kvstore.ErrConditionFailed
		}
	}
	s.revision++
	for _, op := range transaction.Ops {
		if op.DeleteKey != "" {
			delete(s.values, op.DeleteKey)
			s.unseen = append(s.unseen, storeEvent{key: op.DeleteKey, deleted: true})
			continue
		}
		written := storedValue{value: op.Value, modRevision: s.revision}
		s.values[op.PutKey] = written
		s.unseen = append(s.unseen, storeEvent{storedValue: written, key: op.PutKey})
	}
	return nil
}

// refresh applies the unseen events to a cluster state.
func (s *testStore) refresh(state *clusterstate.State) {
	state.BeginUpdate()
	for _, event := range s.unseen {
		if event.deleted {
			state.Delete(event.key)
		} else {
			state.Put(event.key, event.value, event.modRevision)
		}
	}
	s.unseen = nil
	state.EndUpdate()
}
