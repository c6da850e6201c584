package clusterstate

import (
	"log/slog"
	"testing"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestRentedMachinesWithoutRecords checks that the machines of an open rental are in the state before they have records
// and after these are deleted, until the rental itself is deleted.
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
