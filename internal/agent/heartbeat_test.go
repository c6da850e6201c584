package agent

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestDelayedHeartbeatCopies delivers reports of a worker's sessions late, twice and out of order, while its
// part changes hands and what is known of its machine goes with it. Only what is newer than all
// before counts: as word of the machine, as a session to be recorded, as a fate.
func TestDelayedHeartbeatCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newRegistryFixture(tuning.LevelCertain)
		m := k.addMachine(0)
		ref := record.TaskRef{Job: "run-1"}
		b := clusterstate.Binding{Ref: ref, Attempt: 2, Session: 2}
		type id struct{ session, seq uint64 }
		var newest id
		stamp, token, seen := uint64(10), uint64(5), uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				// The part goes to the other node and comes back under a higher token.
				for _, owner := range []string{"b", "a"} {
					token, stamp = token+1, stamp+1
					k.state.BeginUpdate()
					k.state.Put(record.ShardKey(0), wire.MustEncode(record.Shard{Owner: owner, Incarnation: 1, FencingToken: token}), stamp)
					k.state.EndUpdate()
					if rapid.Bool().Draw(t, "swept") {
						k.removeExpired()
					}
				}
			}
			now := id{rapid.Uint64Range(1, 3).Draw(t, "session"), rapid.Uint64Range(1, 6).Draw(t, "seq")}
			old := now.session < newest.session || now.session == newest.session && now.seq <= newest.seq
			least := uint64(1)
			if !old {
				least = seen // a worker's highest token only grows
			}
			r := &wire.Heartbeat{Machine: m, Address: "10.1.0.1:9000", Session: now.session, Sequence: now.seq, FencingToken: rapid.Uint64Range(least, token).Draw(t, "token")}
			if now.session == 2 && now.seq > 3 { // done in its second session, and not known to the third
				r.Tasks = []wire.TaskStatus{{Task: ref.String(), Attempt: 2, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}
			}
			before := k.MachineStatus(m, token)
			status, _ := k.HandleHeartbeat(r)
			if old != (status == http.StatusServiceUnavailable) {
				t.Fatalf("%v after %v: %d", now, newest, status)
			}
			if old {
				if after := k.MachineStatus(m, token); after != before {
					t.Fatalf("%v after %v told %+v, before %+v", now, newest, after, before)
				}
				continue
			}
			newest, seen = now, r.FencingToken
			for name, rep := range k.TakeAdoptions() {
				if name == m && (rep.Session < newest.session) {
					t.Fatalf("session %d is recorded, %d was heard", rep.Session, newest.session)
				}
			}
			fate := k.ObserveTask(b, m, token).Presence
			if fate == PresenceSessionEnded && newest.session <= 2 || fate == PresenceExited && (newest.session != 2 || newest.seq <= 3) || fate == PresenceAbsent && r.FencingToken != token {
				t.Fatalf("fate %v after %v under token %d of %d", fate, newest, r.FencingToken, token)
			}
		}
	})
}

// TestSessionOnRecord: a process that has heard of nobody yet knows from the records which sessions
// are over.
func TestHeartbeatOfSessionBeforeRecord(t *testing.T) {
	k := newRegistryFixture(tuning.LevelCertain)
	m := k.addMachine(0)
	k.state.BeginUpdate()
	k.state.Put(record.MachineKey(m), wire.MustEncode(record.Machine{Type: "m", Zone: "z", Address: "10.1.0.1:9000", Up: true, Session: 4}), 2)
	k.state.EndUpdate()
	if status, _ := k.HandleHeartbeat(&wire.Heartbeat{Machine: m, Session: 3, Sequence: 90, FencingToken: 5}); status != http.StatusServiceUnavailable || len(k.RecentlyHeard([]string{m})) > 0 {
		t.Errorf("a copy out of an earlier session counts: %d", status)
	}
	if status, _ := k.HandleHeartbeat(&wire.Heartbeat{Machine: m, Session: 4, Sequence: 1, FencingToken: 5}); status != http.StatusOK {
		t.Errorf("the session on record: %d", status)
	}
}

// TestDeafMachine: a machine whose reports arrive while commands to it are lost gets nothing more to do
// until it is known to hear again: by an answer to a command, or by a report that came to this
// node next after one that this node had answered. Its reports alone once made it look ready after
// each of them, and one task after the other was bound to it and waited for its lease to end.
func TestInboundLostMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newRegistryFixture(tuning.LevelCertain)
		m := k.addMachine(0)
		usable := func(what string, want bool) {
			t.Helper()
			if got := k.MachineStatus(m, 5).Schedulable; got != want {
				t.Errorf("%s: usable %v", what, got)
			}
		}
		report := func(seq uint64) {
			k.confirmedAt = time.Now()
			k.heartbeat(m, seq, 5)
		}
		report(1)
		report(2)
		usable("it stayed", true)
		time.Sleep(time.Second)
		k.mu.Lock()
		k.machines[m].recordCommandFailure(time.Now())
		k.mu.Unlock()
		usable("a command was lost", false)
		for seq := uint64(4); seq < 20; seq += 3 { // the reports between went to other nodes
			time.Sleep(10 * time.Second)
			report(seq)
			usable("it was heard", false)
			if len(k.dispatchQueue) == 0 {
				t.Error("it is not asked")
			}
			drainQueue(k.dispatchQueue)
			if !k.MachineStatus(m, 5).InboundLost {
				t.Error("it does not count as deaf")
			}
		}
		time.Sleep(time.Second)
		report(21)
		usable("it was heard, and once more", false)
		report(22)
		usable("it stayed again", true)
	})
}

// drainQueue empties a queue.
func drainQueue(c chan string) {
	for len(c) > 0 {
		<-c
	}
}

// answeringTransport stands in for workers that answer direct commands.
type answeringTransport func() wire.Heartbeat

func (a answeringTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(wire.MustEncode(a())))}, nil
}

// TestMuteMachine: a worker whose reports reach no node answers commands. For some time it is ready, as one
// report may be lost; then it is mute: nothing more starts there, until a report of it comes. A session that
// only its answer tells of is recorded, since others bind to the one on record.
func TestOutboundLostMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newRegistryFixture(tuning.LevelCertain)
		m := k.addMachine(0)
		seq, session := uint64(3), uint64(1)
		k.httpClient = &http.Client{Transport: answeringTransport(func() wire.Heartbeat {
			seq++
			return wire.Heartbeat{Machine: m, Address: "10.1.0.1:9000", Session: session, Sequence: seq, FencingToken: 5}
		})}
		look := func(what string, usable, mute bool) {
			t.Helper()
			if s := k.MachineStatus(m, 5); s.Schedulable != usable || s.OutboundLost != mute {
				t.Errorf("%s: usable %v, mute %v", what, s.Schedulable, s.OutboundLost)
			}
		}
		k.confirmedAt = time.Now()
		k.heartbeat(m, 1, 5)
		k.heartbeat(m, 2, 5)
		start := time.Now()
		ask := func(d time.Duration) {
			time.Sleep(d)
			k.confirmedAt = time.Now()
			k.dispatch(t.Context(), m)
		}
		look("it reported", true, false)
		ask(8 * time.Second)
		look("one report is overdue", true, false)
		ask(8 * time.Second)
		look("more are", false, true)
		if s := k.MachineStatus(m, 5); !s.LeaseExpiry.Equal(start.Add(k.settings.Lease())) || !s.OneWaySince.Equal(start) {
			t.Errorf("its lease ends at %v, mute since %v", s.LeaseExpiry.Sub(start), s.OneWaySince.Sub(start))
		}
		if a := k.TakeAdoptions(); len(a) > 0 {
			t.Errorf("recorded anew: %v", a)
		}
		session, seq = 2, 0
		ask(20 * time.Second)
		look("its lease has ended", false, true)
		if a := k.TakeAdoptions(); a[m].Session != 2 {
			t.Errorf("a session that an answer tells of is not recorded: %v", a)
		}
		k.HandleHeartbeat(&wire.Heartbeat{Machine: m, Address: "10.1.0.1:9000", Session: 2, Sequence: 9, FencingToken: 5})
		look("a report comes", true, false)
		// It is cut off for longer than a lease, and answers before its first report finds the way.
		seq = 9
		time.Sleep(40 * time.Second)
		k.mu.Lock()
		k.machines[m].recordCommandFailure(time.Now())
		k.mu.Unlock()
		time.Sleep(10 * time.Second)
		back := time.Now()
		ask(0)
		ask(8 * time.Second)
		look("it is back from a cut", true, false)
		if s := k.MachineStatus(m, 5); !s.LeaseExpiry.Equal(back.Add(k.settings.Lease())) {
			t.Errorf("its lease ends %v after it is back", s.LeaseExpiry.Sub(back))
		}
		ask(10 * time.Second)
		ask(11 * time.Second)
		look("no report follows", false, true)
	})
}
