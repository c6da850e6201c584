package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestInboundLostMachine checks that a machine whose heartbeats arrive while commands to it are lost gets no more
// tasks until it is known to receive again. The proof is the response to a command, or a heartbeat that directly
// follows one that this node answered. Without this rule, each heartbeat made the machine look ready, and one task
// after the other was bound to it and waited for its lease to end.
func TestInboundLostMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRegistryFixture(tuning.SchemaVersionConfirmedCancel)
		name := f.addMachine(ownShard)
		expectSchedulable := func(when string, want bool) {
			t.Helper()
			if got := f.MachineStatus(name, testToken).Schedulable; got != want {
				t.Errorf("%s: schedulable %v", when, got)
			}
		}
		heartbeat := func(sequence uint64) {
			f.stateCompleteAt = time.Now()
			f.heartbeat(name, sequence, testToken)
		}
		heartbeat(1)
		heartbeat(2)
		expectSchedulable("after two consecutive heartbeats", true)
		time.Sleep(time.Second)
		f.failCommand(name)
		expectSchedulable("after a command was lost", false)
		for sequence := uint64(4); sequence < 20; sequence += 3 { // other nodes received the heartbeats in between
			time.Sleep(10 * time.Second)
			heartbeat(sequence)
			expectSchedulable("after a heartbeat", false)
			if f.drainDispatches() == 0 {
				t.Error("the machine is not probed")
			}
			if !f.MachineStatus(name, testToken).InboundLost {
				t.Error("the inbound direction does not count as lost")
			}
		}
		time.Sleep(time.Second)
		heartbeat(21)
		expectSchedulable("after a heartbeat that follows a gap", false)
		heartbeat(22)
		expectSchedulable("after two consecutive heartbeats again", true)
	})
}

// outboundLossTest has a machine that answers direct commands, but sends a heartbeat only when the test does so.
type outboundLossTest struct {
	*testing.T
	*registryFixture
	machineName       string
	session, sequence uint64
}

func newOutboundLossTest(t *testing.T) *outboundLossTest {
	o := &outboundLossTest{T: t, registryFixture: newRegistryFixture(tuning.SchemaVersionConfirmedCancel),
		session: 1, sequence: 3}
	o.machineName = o.addMachine(ownShard)
	o.client = newCommandClient(respondingTransport(func() wire.Heartbeat {
		o.sequence++
		return wire.Heartbeat{
			Machine: o.machineName, Address: testAddress,
			Session: o.session, Sequence: o.sequence, FencingToken: testToken,
		}
	}), 1)
	return o
}

// commandAfter sends a direct command after the given wait.
func (o *outboundLossTest) commandAfter(wait time.Duration) {
	time.Sleep(wait)
	o.stateCompleteAt = time.Now()
	o.dispatch(o.Context(), o.machineName)
}

func (o *outboundLossTest) status() MachineStatus { return o.MachineStatus(o.machineName, testToken) }

func (o *outboundLossTest) expect(when string, schedulable, outboundLost bool) {
	o.Helper()
	if status := o.status(); status.Schedulable != schedulable || status.OutboundLost != outboundLost {
		o.Errorf("%s: schedulable %v, outbound lost %v", when, status.Schedulable, status.OutboundLost)
	}
}

// TestOutboundLostMachine checks a machine whose agent answers commands while its heartbeats reach no node. The
// machine remains schedulable for some time, since a single heartbeat may be lost. Then its outbound direction counts
// as lost, and no more tasks start there until a heartbeat arrives. A session that only appears in the response to a
// command is recorded, because other nodes bind tasks to the recorded session.
func TestOutboundLostMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutboundLossTest(t)
		o.stateCompleteAt = time.Now()
		o.heartbeat(o.machineName, 1, testToken)
		o.heartbeat(o.machineName, 2, testToken)
		start := time.Now()
		o.expect("after its heartbeats", true, false)
		o.commandAfter(8 * time.Second)
		o.expect("one heartbeat overdue", true, false)
		o.commandAfter(8 * time.Second)
		o.expect("several heartbeats overdue", false, true)
		status := o.status()
		if !status.LeaseExpiry.Equal(start.Add(o.settings.LeaseDuration())) || !status.DirectionLostSince.Equal(start) {
			t.Errorf("lease ends after %v, outbound lost after %v",
				status.LeaseExpiry.Sub(start), status.DirectionLostSince.Sub(start))
		}
		if outdated := o.TakeOutdatedRecords(); len(outdated) > 0 {
			t.Errorf("unexpected record updates: %v", outdated)
		}
		o.session, o.sequence = 2, 0
		o.commandAfter(20 * time.Second)
		o.expect("after its lease has expired", false, true)
		if outdated := o.TakeOutdatedRecords(); outdated[o.machineName].Session != 2 {
			t.Errorf("the session in the response to a command is not recorded: %v", outdated)
		}
		o.handle(&wire.Heartbeat{
			Machine: o.machineName, Address: testAddress, Session: 2, Sequence: 9, FencingToken: testToken,
		})
		o.expect("after a heartbeat", true, false)
		o.expectTimeToReconnect()
	})
}

// expectTimeToReconnect makes the machine unreachable for longer than a lease. Afterwards it answers commands before
// its first heartbeat arrives, and must get tuning.AgentFailoverTime for that heartbeat.
func (o *outboundLossTest) expectTimeToReconnect() {
	o.Helper()
	o.sequence = 9
	time.Sleep(40 * time.Second)
	o.failCommand(o.machineName)
	time.Sleep(10 * time.Second)
	restoredAt := time.Now()
	o.commandAfter(0)
	o.commandAfter(8 * time.Second)
	o.expect("after it is reachable again", true, false)
	if status := o.status(); !status.LeaseExpiry.Equal(restoredAt.Add(o.settings.LeaseDuration())) {
		o.Errorf("lease ends %v after it became reachable again", status.LeaseExpiry.Sub(restoredAt))
	}
	o.commandAfter(10 * time.Second)
	o.expect("while its agent may still be looking for the owner", true, false)
	o.commandAfter(11 * time.Second)
	o.expect("without a heartbeat after the reconnect time", false, true)
}
