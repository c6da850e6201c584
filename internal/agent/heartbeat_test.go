package agent

import (
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// sequenceID names a heartbeat of an agent.
type sequenceID struct{ session, sequence uint64 }

// notAfter tells whether a heartbeat is the other or an earlier one.
func (s sequenceID) notAfter(other sequenceID) bool {
	return s.session < other.session || s.session == other.session && s.sequence <= other.sequence
}

// delayedCopies delivers heartbeats of one agent in any order.
type delayedCopies struct {
	*registryFixture
	machineName string
	binding     clusterstate.Binding
	newest      sequenceID // that was delivered
	shownToken  uint64     // by it
	ownerToken  uint64
	revision    uint64
}

// TestDelayedHeartbeatCopies delivers heartbeats of an agent's sessions late, twice and out of order, while its
// shard changes hands and what is known of its machine goes with it. Only what is newer than all before counts:
// as a sign of life of the machine, as a session to be recorded, as a proof about a task.
func TestDelayedHeartbeatCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &delayedCopies{
			registryFixture: newRegistryFixture(tuning.SchemaVersionConfirmedCancel),
			revision:        10, ownerToken: testToken, shownToken: 1,
		}
		d.machineName = d.addMachine(ownShard)
		d.binding = clusterstate.Binding{Ref: record.TaskRef{JobID: "run-1"}, Attempt: 2, Session: 2}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				d.moveShardThereAndBack(t)
			}
			d.deliver(t)
		}
	})
}

// moveShardThereAndBack gives the shard to the other node; it comes back under a higher token.
func (d *delayedCopies) moveShardThereAndBack(t *rapid.T) {
	for _, owner := range []string{"b", "a"} {
		d.ownerToken++
		d.revision++
		shardRecord := record.Shard{Owner: owner, OwnerIncarnation: 1, FencingToken: d.ownerToken}
		d.put(record.ShardKey(ownShard), wire.MustEncode(shardRecord), d.revision)
		if rapid.Bool().Draw(t, "removed") {
			d.removeExpired()
		}
	}
}

// deliver delivers any heartbeat and checks that it counts only if it is the newest.
func (d *delayedCopies) deliver(t *rapid.T) {
	id := sequenceID{rapid.Uint64Range(1, 3).Draw(t, "session"), rapid.Uint64Range(1, 6).Draw(t, "sequence")}
	old := id.notAfter(d.newest)
	heartbeat := d.drawHeartbeat(t, id, old)
	before := d.MachineStatus(d.machineName, d.ownerToken)
	status, _ := d.handle(heartbeat)
	if old != (status == http.StatusServiceUnavailable) {
		t.Fatalf("%v after %v: %d", id, d.newest, status)
	}
	if old {
		if after := d.MachineStatus(d.machineName, d.ownerToken); after != before {
			t.Fatalf("%v after %v changed the status to %+v, before %+v", id, d.newest, after, before)
		}
		return
	}
	d.newest, d.shownToken = id, heartbeat.FencingToken
	for name, report := range d.TakeAdoptions() {
		if name == d.machineName && report.Session < d.newest.session {
			t.Fatalf("session %d is recorded, %d was heard", report.Session, d.newest.session)
		}
	}
	d.checkPresence(t, heartbeat)
}

// drawHeartbeat makes a heartbeat. The task is done in the agent's second session, and not known to the third.
func (d *delayedCopies) drawHeartbeat(t *rapid.T, id sequenceID, old bool) *wire.Heartbeat {
	least := uint64(1)
	if !old {
		least = d.shownToken // an agent's highest token only grows
	}
	heartbeat := &wire.Heartbeat{
		Machine: d.machineName, Address: testAddress, Session: id.session, Sequence: id.sequence,
		FencingToken: rapid.Uint64Range(least, d.ownerToken).Draw(t, "token"),
	}
	if id.session == 2 && id.sequence > 3 {
		heartbeat.Tasks = []wire.TaskStatus{{
			Task: d.binding.Ref.String(), Attempt: 2, State: wire.TaskExited, ExitCause: wire.ExitCauseDone,
		}}
	}
	return heartbeat
}

// checkPresence checks that the presence of the task follows from the newest heartbeat.
func (d *delayedCopies) checkPresence(t *rapid.T, heartbeat *wire.Heartbeat) {
	presence := d.ObserveTask(d.binding, d.machineName, d.ownerToken).Presence
	wrong := false
	switch presence {
	case PresenceSessionEnded:
		wrong = d.newest.session <= 2
	case PresenceExited:
		wrong = d.newest.session != 2 || d.newest.sequence <= 3
	case PresenceAbsent:
		wrong = heartbeat.FencingToken != d.ownerToken
	}
	if wrong {
		t.Fatalf("presence %v after %v under token %d of %d", presence, d.newest, heartbeat.FencingToken, d.ownerToken)
	}
}

// TestHeartbeatOfSessionBeforeRecord: a process that has heard of nobody yet knows from the records which
// sessions are over.
func TestHeartbeatOfSessionBeforeRecord(t *testing.T) {
	f := newRegistryFixture(tuning.SchemaVersionConfirmedCancel)
	name := f.addMachine(ownShard)
	f.putMachine(name, record.Machine{Type: "m", Zone: "z", Address: testAddress, Up: true, Session: 4}, 2)
	status, _ := f.handle(&wire.Heartbeat{Machine: name, Session: 3, Sequence: 90, FencingToken: testToken})
	if status != http.StatusServiceUnavailable || len(f.RecentlyHeard([]string{name})) > 0 {
		t.Errorf("a copy out of an earlier session counts: %d", status)
	}
	status, _ = f.handle(&wire.Heartbeat{Machine: name, Session: 4, Sequence: 1, FencingToken: testToken})
	if status != http.StatusOK {
		t.Errorf("the session on record: %d", status)
	}
}
