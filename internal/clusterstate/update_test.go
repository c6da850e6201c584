package clusterstate

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// update applies changes as one group.
func update(state *State, change func()) {
	state.BeginUpdate()
	defer state.EndUpdate()
	change()
}

// TestEveryRecordKindIsApplied checks that a written record of each kind is in the state with its mod revision, and
// that a deleted one is not.
func TestEveryRecordKindIsApplied(t *testing.T) {
	const revision = 7
	for _, kind := range []struct {
		name  string
		key   string
		value any
		// modRevision returns the record's mod revision in the state, or 0 if it is absent
		modRevision func(*State) uint64
	}{
		{"job", record.JobKey("run-1"), record.Job{Spec: wire.JobSpec{ID: "run-1"}}, func(s *State) uint64 {
			if job := s.Jobs["run-1"]; job != nil && job.HasRecord {
				return job.ModRevision
			}
			return 0
		}},
		{"machine", record.MachineKey("vm-1"), record.Machine{Type: "g8"}, func(s *State) uint64 {
			if machine := s.Machines["vm-1"]; machine != nil {
				return machine.ModRevision
			}
			return 0
		}},
		{"shard", record.ShardKey(2), record.Shard{Owner: "n0"}, func(s *State) uint64 {
			return s.Shards[2].ModRevision
		}},
		{"leader", record.ShardKey(record.LeaderShard), record.Shard{Owner: "n0"}, func(s *State) uint64 {
			return s.Shards[record.LeaderShard].ModRevision
		}},
		{"node", record.NodeKey("n0"), record.Node{Incarnation: 3}, func(s *State) uint64 {
			return s.Nodes["n0"].ModRevision
		}},
		{"quota", record.QuotaKey("vision"), record.Quota{}, func(s *State) uint64 {
			return s.Quotas["vision"].ModRevision
		}},
		{"rental", record.RentalKey("r-1"), record.Rental{}, func(s *State) uint64 {
			return s.Rentals["r-1"].ModRevision
		}},
		{"cell", record.CellKey("b"), record.Cell{OwnEpoch: 1}, func(s *State) uint64 {
			if cell := s.Cells["b"]; cell != nil {
				return cell.ModRevision
			}
			return 0
		}},
		{"outcome", record.TransferOutcomeKey("b", 4), record.TransferOutcome{JobID: "run-1"}, func(s *State) uint64 {
			if cell := s.Cells["b"]; cell != nil {
				return cell.TransferOutcomes[4].ModRevision
			}
			return 0
		}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			state := New(testShards, slog.New(slog.DiscardHandler))
			update(state, func() { state.Put(kind.key, wire.MustEncode(kind.value), revision) })
			if got := kind.modRevision(state); got != revision {
				t.Errorf("written record has mod revision %d, want %d", got, revision)
			}
			update(state, func() { state.Delete(kind.key) })
			if got := kind.modRevision(state); got != 0 {
				t.Errorf("deleted record has mod revision %d", got)
			}
		})
	}
}

// TestSchemaVersionOnlyRises checks that a lower schema version that arrives late does not lower the active one.
func TestSchemaVersionOnlyRises(t *testing.T) {
	state := New(testShards, slog.New(slog.DiscardHandler))
	for revision, version := range []int{2, 3, 1} {
		value := wire.MustEncode(record.SchemaVersion{Version: version})
		update(state, func() { state.Put(record.SchemaVersionKey, value, uint64(revision+1)) })
	}
	if state.SchemaVersion != 3 || state.SchemaVersionModRevision != 3 {
		t.Errorf("schema version %d at %d, want 3 at 3", state.SchemaVersion, state.SchemaVersionModRevision)
	}
}

// TestUndecodableRecordIsIgnored checks that a record that cannot be decoded is logged and leaves the state unchanged,
// and that a key of an unknown kind is ignored.
func TestUndecodableRecordIsIgnored(t *testing.T) {
	var logged bytes.Buffer
	state := New(testShards, slog.New(slog.NewTextHandler(&logged, nil)))
	update(state, func() {
		state.Put(record.MachineKey("vm-1"), wire.MustEncode(record.Machine{Type: "g8"}), 1)
		state.Put(record.MachineKey("vm-1"), wire.MustEncode("no machine"), 2)
		state.Put("s/unknown/1", wire.MustEncode("of a later version"), 3)
	})
	if machine := state.Machines["vm-1"]; machine.Type != "g8" || machine.ModRevision != 1 {
		t.Errorf("machine is %+v", machine)
	}
	if got := logged.String(); strings.Count(got, "ignoring record that cannot be decoded") != 1 ||
		!strings.Contains(got, "key=s/m/vm-1") {
		t.Errorf("logged %q", got)
	}
}
