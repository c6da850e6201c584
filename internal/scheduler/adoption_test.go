package scheduler

import (
	"testing"

	"sableusher/internal/agent"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestDeletedMachineIsNotAdopted checks that a heartbeat that a partition delays until after the deletion of its
// machine creates no record. With such records, about seventy machines that no longer exist count as capacity, and
// tasks are bound to them.
func TestDeletedMachineIsNotAdopted(t *testing.T) {
	fixture := newTestCluster(t)
	deleted, unknown := "vm-000001", "vm-000002"
	for _, name := range []string{deleted, unknown} {
		shard := record.ShardOf(name, testShards)
		fixture.engines[shard].ConfirmDeleted([]string{deleted})
		fixture.heartbeat(wire.Heartbeat{Machine: name, Zone: "east", Session: 1, Sequence: 1})
		c := fixture.inCycle(shard, (*cycle).adoptMachines)
		if got, want := len(c.outgoing), map[string]int{deleted: 0, unknown: 1}[name]; got != want {
			t.Errorf("%s: %d records written, want %d", name, got, want)
		}
	}
}

// TestNewSessionIsRecordedFirst checks that a new session of an agent is recorded with urgent priority, and that a
// machine is up with background priority. Other nodes bind gangs and services to the recorded session. Binding and
// ending such tasks is urgent too, and could leave no request budget for the record of the new session that would
// stop it.
func TestNewSessionIsRecordedFirst(t *testing.T) {
	fixture := newTestCluster(t)
	name := fixture.addMachine(1, false)
	shard := record.ShardOf(name, testShards)
	adopt := func(session uint64, up bool) kvstore.Transaction {
		fixture.put(record.MachineKey(name), record.Machine{
			Type: testType.Name, Zone: "east", Address: testAddress, CreatedAtMs: 1, Up: up,
		})
		fixture.agents[shard].TakeOutdatedRecords()
		fixture.heartbeat(wire.Heartbeat{Machine: name, Zone: "east", Session: session, Sequence: 2})
		c := fixture.inCycle(shard, (*cycle).adoptMachines)
		if len(c.outgoing) != 1 {
			t.Fatalf("%d records written, want 1", len(c.outgoing))
		}
		return c.outgoing[0].transaction
	}
	if transaction := adopt(1, false); transaction.Priority != kvstore.PriorityBackground {
		t.Errorf("recording that a machine is up: %+v", transaction)
	}
	if transaction := adopt(2, true); transaction.Priority != kvstore.PriorityUrgent {
		t.Errorf("recording a new session: %+v", transaction)
	}
}

// TestOneWayMachineIsNotRecordedAsUp checks that a machine is recorded as up if commands are known to reach it, or if
// they are not known to be lost and the machine was up or is new; never while its heartbeats reach no node.
func TestOneWayMachineIsNotRecordedAsUp(t *testing.T) {
	wasUp, wasDown, isNew := record.Machine{Up: true, Address: testAddress}, record.Machine{Address: testAddress},
		record.Machine{}
	tests := []struct {
		name     string
		status   agent.MachineStatus
		recorded record.Machine
		up       bool
	}{
		{"nothing known, was up", agent.MachineStatus{}, wasUp, true},
		{"nothing known, new", agent.MachineStatus{}, isNew, true},
		{"nothing known, was down", agent.MachineStatus{}, wasDown, false},
		{"reached, was down", agent.MachineStatus{InboundConfirmed: true}, wasDown, true},
		{"inbound lost, was up", agent.MachineStatus{InboundLost: true}, wasUp, false},
		{"outbound lost, reached", agent.MachineStatus{OutboundLost: true, InboundConfirmed: true}, wasUp, false},
	}
	for _, test := range tests {
		if up := isUp(test.status, &test.recorded); up != test.up {
			t.Errorf("%s: up %v, want %v", test.name, up, test.up)
		}
	}
}
