package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestInboundLostMachine: a machine whose heartbeats arrive while commands to it are lost gets nothing more to
// do until it is known to receive again: by an answer to a command, or by a heartbeat that came to this node
// next after one that this node had answered. Its heartbeats alone once made it look ready after each of
// them, and one task after the other was bound to it and waited for its lease to end.
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
			f.confirmedAt = time.Now()
			f.heartbeat(name, sequence, testToken)
		}
		heartbeat(1)
		heartbeat(2)
		expectSchedulable("it stayed", true)
		time.Sleep(time.Second)
		f.failCommand(name)
		expectSchedulable("a command was lost", false)
		for sequence := uint64(4); sequence < 20; sequence += 3 { // the heartbeats between went to other nodes
			time.Sleep(10 * time.Second)
			heartbeat(sequence)
			expectSchedulable("it was heard", false)
			if f.takeDispatches() == 0 {
				t.Error("it is not probed")
			}
			if !f.MachineStatus(name, testToken).InboundLost {
				t.Error("its inbound direction does not count as lost")
			}
		}
		time.Sleep(time.Second)
		heartbeat(21)
		expectSchedulable("it was heard, and once more", false)
		heartbeat(22)
		expectSchedulable("it stayed again", true)
	})
}

// outboundLossTest is a machine that answers direct commands, while its heartbeats come only where the test
// sends one.
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

// commandAfter sends a direct command after a time.
func (o *outboundLossTest) commandAfter(wait time.Duration) {
	time.Sleep(wait)
	o.confirmedAt = time.Now()
	o.dispatch(o.Context(), o.machineName)
}

func (o *outboundLossTest) status() MachineStatus { return o.MachineStatus(o.machineName, testToken) }

func (o *outboundLossTest) expect(when string, schedulable, outboundLost bool) {
	o.Helper()
	if status := o.status(); status.Schedulable != schedulable || status.OutboundLost != outboundLost {
		o.Errorf("%s: schedulable %v, outbound lost %v", when, status.Schedulable, status.OutboundLost)
	}
}

// TestOutboundLostMachine: an agent whose heartbeats reach no node answers commands. For some time its machine
// is schedulable, as one heartbeat may be lost; then its outbound direction counts as lost: nothing more starts
// there, until a heartbeat of it comes. A session that only its answer tells of is recorded, since others bind
// to the one on record.
func TestOutboundLostMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutboundLossTest(t)
		o.confirmedAt = time.Now()
		o.heartbeat(o.machineName, 1, testToken)
		o.heartbeat(o.machineName, 2, testToken)
		start := time.Now()
		o.expect("it reported", true, false)
		o.commandAfter(8 * time.Second)
		o.expect("one heartbeat is overdue", true, false)
		o.commandAfter(8 * time.Second)
		o.expect("more are", false, true)
		status := o.status()
		if !status.LeaseExpiry.Equal(start.Add(o.settings.LeaseDuration())) || !status.OneWaySince.Equal(start) {
			t.Errorf("its lease ends at %v, outbound lost since %v",
				status.LeaseExpiry.Sub(start), status.OneWaySince.Sub(start))
		}
		if adoptions := o.TakeAdoptions(); len(adoptions) > 0 {
			t.Errorf("recorded anew: %v", adoptions)
		}
		o.session, o.sequence = 2, 0
		o.commandAfter(20 * time.Second)
		o.expect("its lease has ended", false, true)
		if adoptions := o.TakeAdoptions(); adoptions[o.machineName].Session != 2 {
			t.Errorf("a session that an answer tells of is not recorded: %v", adoptions)
		}
		o.handle(&wire.Heartbeat{
			Machine: o.machineName, Address: testAddress, Session: 2, Sequence: 9, FencingToken: testToken,
		})
		o.expect("a heartbeat comes", true, false)
		o.expectTimeToReconnect()
	})
}

// expectTimeToReconnect cuts the machine off for longer than a lease. It answers before its first heartbeat
// finds the way.
func (o *outboundLossTest) expectTimeToReconnect() {
	o.Helper()
	o.sequence = 9
	time.Sleep(40 * time.Second)
	o.failCommand(o.machineName)
	time.Sleep(10 * time.Second)
	restoredAt := time.Now()
	o.commandAfter(0)
	o.commandAfter(8 * time.Second)
	o.expect("it is back from a partition", true, false)
	if status := o.status(); !status.LeaseExpiry.Equal(restoredAt.Add(o.settings.LeaseDuration())) {
		o.Errorf("its lease ends %v after it is back", status.LeaseExpiry.Sub(restoredAt))
	}
	o.commandAfter(10 * time.Second)
	o.expect("its agent still looks for the owner", true, false)
	o.commandAfter(11 * time.Second)
	o.expect("no heartbeat follows", false, true)
}
