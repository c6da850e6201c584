package clusterstate

import (
	"strings"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// recordChange is a record that was written or deleted.
type recordChange struct {
	key         string
	name        string        // the key without its prefix
	value       wire.RawValue // nothing where the record was deleted
	modRevision uint64
}

// recordHandler applies the changes of the records with one prefix.
type recordHandler struct {
	prefix string
	put    func(*State, recordChange) error
	delete func(*State, recordChange) // nil: such records are never deleted
}

// prefixHandlers are the handlers of records of which there are many.
var prefixHandlers = []recordHandler{
	{record.JobPrefix, decodedBy(record.DecodeJob, (*State).putJob), (*State).deleteJob},
	{record.FixedChunkPrefix, decodedBy(record.DecodeFixedChunk, (*State).putChunk), (*State).deleteChunk},
	{record.GroupedChunkPrefix, decodedBy(record.DecodeGroupedChunk, (*State).putChunk), (*State).deleteChunk},
	{record.MachinePrefix, decoded((*State).putMachine), (*State).deleteMachine},
	{record.ShardPrefix, decoded((*State).putShard), (*State).deleteShard},
	{record.NodePrefix, decoded((*State).putNode), (*State).deleteNode},
	{record.QuotaPrefix, decoded((*State).putQuota), (*State).deleteQuota},
	{record.RentalPrefix, decoded((*State).putRental), (*State).deleteRental},
	{record.CellPrefix, decoded((*State).putCell), (*State).deleteCell},
	{record.GuestOutcomePrefix, decoded((*State).putGuestOutcome), (*State).deleteGuestOutcome},
	{record.MachineTypePrefix, decoded((*State).putMachineType), nil},
}

// singleHandlers apply the writes of records of which there is one; these are never deleted.
var singleHandlers = map[string]func(*State, recordChange) error{
	record.CatalogKey:       decoded((*State).putCatalog),
	record.SchemaVersionKey: decoded((*State).putSchemaVersion),
}

// decodedBy returns the handler that decodes a written record and applies what it says.
func decodedBy[T any](
	decode func(wire.RawValue) (T, error), apply func(*State, recordChange, T),
) func(*State, recordChange) error {
	return func(s *State, change recordChange) error {
		value, err := decode(change.value)
		if err != nil {
			return err
		}
		apply(s, change, value)
		return nil
	}
}

// decoded is decodedBy for records that need no more than their codec.
func decoded[T any](apply func(*State, recordChange, T)) func(*State, recordChange) error {
	return decodedBy(func(encoded wire.RawValue) (T, error) {
		var value T
		err := wire.Decode(encoded, &value)
		return value, err
	}, apply)
}

// BeginUpdate starts a group of changes that readers see as one. It takes the lock.
func (s *State) BeginUpdate() { s.Lock() }

// EndUpdate ends the group, releases the lock and notifies the subscribers.
func (s *State) EndUpdate() {
	subscribers := s.changes.subscribers
	s.Unlock()
	notify(subscribers)
}

// Put applies a written record; between BeginUpdate and EndUpdate. A record that cannot be read is logged and
// otherwise ignored.
func (s *State) Put(key string, value wire.RawValue, modRevision uint64) {
	change := recordChange{key: key, value: value, modRevision: modRevision}
	if err := s.put(change); err != nil {
		s.log.Error("unreadable record", "key", key, "err", err)
	}
}

func (s *State) put(change recordChange) error {
	for _, handler := range prefixHandlers {
		if name, ok := strings.CutPrefix(change.key, handler.prefix); ok {
			change.name = name
			return handler.put(s, change)
		}
	}
	if put := singleHandlers[change.key]; put != nil {
		return put(s, change)
	}
	return nil
}

// Delete applies the deletion of a record; between BeginUpdate and EndUpdate.
func (s *State) Delete(key string) {
	for _, handler := range prefixHandlers {
		name, ok := strings.CutPrefix(key, handler.prefix)
		if !ok {
			continue
		}
		if handler.delete != nil {
			handler.delete(s, recordChange{key: key, name: name})
		}
		return
	}
}

func (s *State) putSchemaVersion(change recordChange, schema record.SchemaVersion) {
	s.SchemaVersion = max(s.SchemaVersion, schema.Version)
	s.SchemaVersionModRevision = change.modRevision
}
