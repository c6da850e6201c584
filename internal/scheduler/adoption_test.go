package scheduler

import (
	"testing"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TestDeletedMachineIsNotAdopted: a report that a cut has held back and delivers after
// its machine was deleted must not make a record of it. Some seventy such machines once
// counted as room, and tasks were bound to them.
func TestDeletedMachineIsNotAdopted(t *testing.T) {
	fixture := newTestCluster(t)
	deleted, unknown := "vm-000001", "vm-000002"
	for _, name := range []string{deleted, unknown} {
		shard := record.ShardOf(name, testShards)
		fixture.engines[shard].ConfirmDeleted([]string{deleted})
		fixture.agents[shard].HandleHeartbeat(&wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", MachineType: "m", Zone: "east", Session: 1, Sequence: 1, FencingToken: 7})
		fixture.cluster.RLock()
		c := fixture.engines[shard].newCycle(testNow)
		c.adoptMachines()
		fixture.cluster.RUnlock()
		if got, want := len(c.outgoing), map[string]int{deleted: 0, unknown: 1}[name]; got != want {
			t.Errorf("%s: %d records written, want %d", name, got, want)
		}
	}
}

// TestNewSessionIsRecordedFirst: other nodes bind gangs and services to the session on
// record. A worker's new one goes before all else; that a machine is up can wait. Else
// binding and ending such tasks, which are urgent, would leave no budget for the
// records that would end it.
func TestNewSessionIsRecordedFirst(t *testing.T) {
	fixture := newTestCluster(t)
	name := fixture.addMachine(1, false)
	shard := record.ShardOf(name, testShards)
	heartbeat := func(session uint64, up bool) kvstore.Transaction {
		fixture.put(record.MachineKey(name), record.Machine{Type: "m", Zone: "east", Address: "10.1.0.1:9000", CreatedAtMs: 1, Up: up})
		fixture.engines[shard].agents.TakeAdoptions()
		fixture.agents[shard].HandleHeartbeat(&wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", MachineType: "m", Zone: "east", Session: session, Sequence: 2, FencingToken: 7})
		fixture.cluster.RLock()
		defer fixture.cluster.RUnlock()
		c := fixture.engines[shard].newCycle(testNow)
		if c.adoptMachines(); len(c.outgoing) != 1 {
			t.Fatalf("%d records written", len(c.outgoing))
		}
		return c.outgoing[0].transaction
	}
	if transaction := heartbeat(1, false); transaction.Priority != kvstore.PriorityBackground {
		t.Errorf("up: %+v", transaction)
	}
	if transaction := heartbeat(2, true); transaction.Priority != kvstore.PriorityUrgent {
		t.Errorf("a new session: %+v", transaction)
	}
}
