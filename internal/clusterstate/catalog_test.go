package clusterstate

import (
	"log/slog"
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestSingleTypeRecordTakesPrecedence checks that the record of a single machine type overrides that type in the
// record of all types.
func TestSingleTypeRecordTakesPrecedence(t *testing.T) {
	state := New(testShards, slog.New(slog.DiscardHandler))
	all := wire.Catalog{Types: []wire.MachineType{{Name: "a", CPUs: 1}, {Name: "b", CPUs: 1}}}
	update(state, func() { state.Put(record.CatalogKey, wire.MustEncode(all), 1) })
	if state.Catalog.HasSingleTypeRecords() || len(state.Catalog.Types) != 2 || state.Catalog.ModRevision != 1 {
		t.Fatalf("catalog is %+v", state.Catalog)
	}
	single := wire.MachineType{Name: "b", CPUs: 2}
	update(state, func() { state.Put(record.MachineTypeKey("b"), wire.MustEncode(single), 2) })
	if !state.Catalog.HasSingleTypeRecords() ||
		state.Catalog.Types["a"].CPUs != 1 || state.Catalog.Types["b"].CPUs != 2 {
		t.Fatalf("catalog is %+v", state.Catalog)
	}
}
