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

// TestRentedMachinesWithoutRecords: an open rental's machines are known before they have records, and again after
// those are deleted, until the rental itself is.
func TestRentedMachinesWithoutRecords(t *testing.T) {
	state := New(testShards, slog.New(slog.DiscardHandler))
	rental := record.Rental{Type: "g8", Zone: "east", Count: 1, RequestedAtMs: 5, Machines: []string{"vm-1"}}
	update(state, func() { state.Put(record.RentalKey("r-1"), wire.MustEncode(rental), 1) })
	if machine := state.Machines["vm-1"]; machine == nil || machine.Machine != rental.InitialMachine() || machine.Up {
		t.Fatalf("machine of a rental is %+v", machine)
	}
	up := record.Machine{Type: "g8", Zone: "east", CreatedAtMs: 5, Up: true}
	update(state, func() { state.Put(record.MachineKey("vm-1"), wire.MustEncode(up), 2) })
	if machine := state.Machines["vm-1"]; !machine.Up || machine.ModRevision != 2 || !state.ListedInRental("vm-1") {
		t.Fatalf("machine with a record is %+v", machine)
	}
	update(state, func() { state.Delete(record.MachineKey("vm-1")) })
	if machine := state.Machines["vm-1"]; machine == nil || machine.Up || machine.ModRevision != 0 {
		t.Fatalf("machine whose record is deleted is %+v", machine)
	}
	update(state, func() { state.Delete(record.RentalKey("r-1")) })
	if len(state.Machines) != 0 || len(state.MachinesByShard[record.ShardOf("vm-1", testShards)]) != 0 {
		t.Fatalf("machines of a deleted rental are left: %v", state.Machines)
	}
}

// TestCatalogOfBothForms: records of single types go before the record of all types.
func TestCatalogOfBothForms(t *testing.T) {
	state := New(testShards, slog.New(slog.DiscardHandler))
	all := wire.Catalog{Types: []wire.MachineType{{Name: "a", CPUs: 1}, {Name: "b", CPUs: 1}}}
	update(state, func() { state.Put(record.CatalogKey, wire.MustEncode(all), 1) })
	if state.Catalog.KeptByType() || len(state.Catalog.Types) != 2 || state.Catalog.ModRevision != 1 {
		t.Fatalf("catalog is %+v", state.Catalog)
	}
	single := wire.MachineType{Name: "b", CPUs: 2}
	update(state, func() { state.Put(record.MachineTypeKey("b"), wire.MustEncode(single), 2) })
	if !state.Catalog.KeptByType() || state.Catalog.Types["a"].CPUs != 1 || state.Catalog.Types["b"].CPUs != 2 {
		t.Fatalf("catalog is %+v", state.Catalog)
	}
}

// TestUnreadableRecordIsIgnored: a record that cannot be read is logged, and leaves what was known as it is.
func TestUnreadableRecordIsIgnored(t *testing.T) {
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
	if got := logged.String(); strings.Count(got, "unreadable record") != 1 || !strings.Contains(got, "key=s/m/vm-1") {
		t.Errorf("logged %q", got)
	}
}
