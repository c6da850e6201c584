package clusterstate

import (
	"strings"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// recordChange describes a record that was written or deleted.
type recordChange struct {
	key         string
	name        string        // the key without the prefix of its kind
	value       wire.RawValue // empty if the record was deleted
	modRevision uint64
}

// recordHandler applies changes of records whose keys have a common prefix.
type recordHandler struct {
	prefix string
	put    func(*State, recordChange) error
	delete func(*State, recordChange) // nil if records of this kind are never deleted
}

// prefixHandlers are the handlers of the record kinds that have many records.
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
	{record.TransferOutcomePrefix, decoded((*State).putTransferOutcome), (*State).deleteTransferOutcome},
	{record.MachineTypePrefix, decoded((*State).putMachineType), nil},
}

// singleHandlers apply writes of the records that exist only once, by key. These records are never deleted.
var singleHandlers = map[string]func(*State, recordChange) error{
	record.CatalogKey:       decoded((*State).putCatalog),
	record.SchemaVersionKey: decoded((*State).putSchemaVersion),
}

// decodedBy returns a handler that decodes a written record with decode and passes the result to apply.
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

// decoded is decodedBy for records that wire.Decode decodes completely.
func decoded[T any](apply func(*State, recordChange, T)) func(*State, recordChange) error {
	return decodedBy(func(encoded wire.RawValue) (T, error) {
		var value T
		err := wire.Decode(encoded, &value)
		return value, err
	}, apply)
}

// BeginUpdate starts a group of changes that readers observe atomically. It acquires the lock.
func (s *State) BeginUpdate() { s.Lock() }

// EndUpdate ends the group, releases the lock and notifies the subscribers.
func (s *State) EndUpdate() {
	s.settleCancellations()
	subscribers := s.changes.subscribers
	s.Unlock()
	notify(subscribers)
}

// Put applies a written record. It must be called between BeginUpdate and EndUpdate. A record that cannot be decoded is
// logged and otherwise ignored; keys of unknown kinds are ignored.
func (s *State) Put(key string, value wire.RawValue, modRevision uint64) {
	change := recordChange{key: key, value: value, modRevision: modRevision}
	if err := s.put(change); err != nil {
		s.log.Error("ignoring record that cannot be decoded", "key", key, "err", err)
	}
}

// SetRevision records that every change up to a revision is applied when the current group of changes ends. It must be
// called between BeginUpdate and EndUpdate. Single records may be newer: those that this node has written itself, and
// those on the later pages of a listing.
func (s *State) SetRevision(revision uint64) { s.revision = revision }

// HasAppliedRevision reports whether every change up to a revision has been applied. The caller must hold the lock.
func (s *State) HasAppliedRevision(revision uint64) bool { return s.revision >= revision }

// AppliedRevision returns the revision up to which every change has been applied. The caller must hold the lock.
func (s *State) AppliedRevision() uint64 { return s.revision }

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

// Delete applies the deletion of a record. It must be called between BeginUpdate and EndUpdate.
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
