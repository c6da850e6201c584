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

// heartbeatID identifies a heartbeat of an agent.
type heartbeatID struct{ session, sequence uint64 }

// notNewerThan reports whether id is the same heartbeat as other or an earlier one.
func (id heartbeatID) notNewerThan(other heartbeatID) bool {
	return id.session < other.session || id.session == other.session && id.sequence <= other.sequence
}

// delayedCopies delivers heartbeats of one agent in arbitrary order.
type delayedCopies struct {
	*registryFixture
	machineName string
	binding     clusterstate.Binding
	newest      heartbeatID // newest heartbeat that was delivered
	shownToken  uint64      // fencing token in the newest heartbeat
	ownerToken  uint64
	revision    uint64
}

// TestDelayedHeartbeatCopies delivers heartbeats of an agent's sessions late, twice and out of order, while the
// agent's shard moves between owners and the entry of its machine is removed. Only a heartbeat that is newer than all
// earlier ones may count as a sign of life, as a session to record, or as proof about a task.
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

// moveShardThereAndBack moves the shard to the other node and back. Each move raises the fencing token.
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

// deliver delivers an arbitrary heartbeat and checks that it has an effect only if it is the newest one.
func (d *delayedCopies) deliver(t *rapid.T) {
	id := heartbeatID{rapid.Uint64Range(1, 3).Draw(t, "session"), rapid.Uint64Range(1, 6).Draw(t, "sequence")}
	old := id.notNewerThan(d.newest)
	heartbeat := d.drawHeartbeat(t, id, old)
	before := d.MachineStatus(d.machineName, d.ownerToken)
	status, _ := d.handle(heartbeat)
	if old != (status == http.StatusServiceUnavailable) {
		t.Fatalf("heartbeat %v after %v: status %d", id, d.newest, status)
	}
	if old {
		if after := d.MachineStatus(d.machineName, d.ownerToken); after != before {
			t.Fatalf("heartbeat %v after %v changed the status to %+v, before %+v", id, d.newest, after, before)
		}
		return
	}
	d.newest, d.shownToken = id, heartbeat.FencingToken
	for name, report := range d.TakeOutdatedRecords() {
		if name == d.machineName && report.Session < d.newest.session {
			t.Fatalf("session %d is to be recorded, the newest reported is %d", report.Session, d.newest.session)
		}
	}
	d.checkPresence(t, heartbeat)
}

// drawHeartbeat draws a heartbeat. The task exits in the agent's second session, and the third session does not have
// it.
func (d *delayedCopies) drawHeartbeat(t *rapid.T, id heartbeatID, old bool) *wire.Heartbeat {
	minToken := uint64(1)
	if !old {
		minToken = d.shownToken // an agent's highest token never decreases
	}
	heartbeat := &wire.Heartbeat{
		Machine: d.machineName, Address: testAddress, Session: id.session, Sequence: id.sequence,
		FencingToken: rapid.Uint64Range(minToken, d.ownerToken).Draw(t, "token"),
	}
	if id.session == 2 && id.sequence > 3 {
		heartbeat.Tasks = []wire.TaskStatus{{
			Task: d.binding.Ref.String(), Attempt: 2, State: wire.TaskExited, ExitCause: wire.ExitCauseDone,
		}}
	}
	return heartbeat
}

// checkPresence checks that the presence of the task agrees with the newest heartbeat.
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

// TestHeartbeatOfSessionBeforeRecord checks that a process that has not received any heartbeat yet knows from the
// records which sessions have ended.
func TestHeartbeatOfSessionBeforeRecord(t *testing.T) {
	f := newRegistryFixture(tuning.SchemaVersionConfirmedCancel)
	name := f.addMachine(ownShard)
	f.putMachine(name, record.Machine{Type: "m", Zone: "z", Address: testAddress, Up: true, Session: 4}, 2)
	status, _ := f.handle(&wire.Heartbeat{Machine: name, Session: 3, Sequence: 90, FencingToken: testToken})
	if status != http.StatusServiceUnavailable || len(f.RecentlyReporting([]string{name})) > 0 {
		t.Errorf("a heartbeat of an earlier session was accepted: status %d", status)
	}
	status, _ = f.handle(&wire.Heartbeat{Machine: name, Session: 4, Sequence: 1, FencingToken: testToken})
	if status != http.StatusOK {
		t.Errorf("heartbeat of the recorded session: status %d", status)
	}
}
