package agent

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// registryFixture is a node that answers reports on a view of some age.
type registryFixture struct {
	*Registry
	confirmedAt, peerAnsweredAt time.Time
	state                       *clusterstate.State
}

// newRegistryFixture makes the node "a" of two; it owns part 0, "b" part 1.
func newRegistryFixture(level int) *registryFixture {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	set := &config.Settings{Node: "a", Siblings: []config.Sibling{{Node: "b"}}}
	d := &set.Deployment
	d.Size, d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = 2, 6, 31, 51
	w := clusterstate.New(2, log)
	w.SchemaVersion = level
	for i, n := range []string{"a", "b"} {
		w.Nodes[n] = clusterstate.Node{NodeRecord: clusterstate.NodeRecord{Incarnation: 1}}
		w.Shards[i] = clusterstate.Shard{ShardRecord: clusterstate.ShardRecord{Owner: n, Incarnation: 1, FencingToken: 5}}
	}
	client := kvstore.NewClient("127.0.0.1:1", kvstore.Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxValueKiB: 16, MaxTransactionOps: 32}, nil)
	m := membership.New(membership.Config{
		NodeName: "a", Incarnation: 1, NodeNames: []string{"a", "b"}, SchemaVersion: tuning.Level,
		Client: client, Cache: kvstore.NewWatchCache(client, clusterstate.LivePrefix, w, log), ClusterState: w, Logger: log,
	})
	k := &registryFixture{state: w, confirmedAt: time.Now(), peerAnsweredAt: time.Now()}
	k.Registry = New(set, w, m, func() time.Time { return k.confirmedAt }, log, nil)
	k.SetPeerLastAnswered(func(string) time.Time { return k.peerAnsweredAt })
	return k
}

// addMachine gives the name of a machine of a part, with a record.
func (k *registryFixture) addMachine(part int) string {
	name := "vm-0"
	for clusterstate.ShardOf(name, 2) != part {
		name += "0"
	}
	k.state.BeginUpdate()
	k.state.Put(clusterstate.MachineKey(name), wire.MustEncode(clusterstate.MachineRecord{Type: "m", Zone: "z", Address: "10.1.0.1:9000", Up: true}), 1)
	k.state.EndUpdate()
	return name
}

func (k *registryFixture) heartbeat(name string, seq, token uint64) (int, any) {
	return k.HandleHeartbeat(&wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", Session: 1, Sequence: seq, FencingToken: token})
}

// TestLeasesThroughACut: on a view that is too old to know of cancellations leases are
// renewed only where every node tells those late, and then without orders; another
// owner's workers are kept only if that owner is out of reach too, and under the token
// that they know.
func TestLeaseRenewalDuringPartition(t *testing.T) {
	for name, c := range map[string]struct {
		level   int
		part    int
		age     time.Duration // of the view
		reached time.Duration // since the owner answered
		token   uint64        // that the worker has seen
		want    int
	}{
		"own, fresh":                     {0, 0, 0, 0, 5, http.StatusOK},
		"own, within the limit":          {0, 0, 15 * time.Second, 0, 5, http.StatusOK},
		"own, older, told at once":       {1, 0, 17 * time.Second, 0, 5, http.StatusServiceUnavailable},
		"own, older, told late":          {tuning.LevelCertain, 0, 10 * time.Minute, 0, 5, http.StatusOK},
		"own, it has a newer owner":      {tuning.LevelCertain, 0, 10 * time.Second, 0, 6, http.StatusMisdirectedRequest},
		"other's, fresh":                 {tuning.LevelCertain, 1, 0, time.Minute, 5, http.StatusMisdirectedRequest},
		"other's, its owner in reach":    {tuning.LevelCertain, 1, time.Minute, time.Second, 5, http.StatusMisdirectedRequest},
		"other's, cut off with it":       {tuning.LevelCertain, 1, time.Minute, time.Minute, 5, http.StatusOK},
		"other's, within the limit":      {1, 1, 15 * time.Second, time.Minute, 5, http.StatusOK},
		"other's, older, told at once":   {1, 1, time.Minute, time.Minute, 5, http.StatusMisdirectedRequest},
		"other's, it has a newer owner":  {tuning.LevelCertain, 1, time.Minute, time.Minute, 6, http.StatusMisdirectedRequest},
		"other's, it has seen no answer": {tuning.LevelCertain, 1, time.Minute, time.Minute, 0, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			k := newRegistryFixture(c.level)
			m := k.addMachine(c.part)
			k.confirmedAt, k.peerAnsweredAt = time.Now().Add(-c.age), time.Now().Add(-c.reached)
			status, body := k.heartbeat(m, 1, c.token)
			if status != c.want {
				t.Fatalf("%d, want %d", status, c.want)
			}
			if o, ok := body.(wire.HeartbeatResponse); ok && (o.FencingToken != 5 || len(o.Commands) > 0) {
				t.Errorf("%+v", o)
			}
		})
	}
}

// TestCancelledTasksEndBehindACut: an answer on an old view starts nothing, and stops what
// was cancelled before it: that may have been told at once by a version before.
func TestCancelledTasksStopDuringPartition(t *testing.T) {
	for _, part := range []int{0, 1} {
		k := newRegistryFixture(tuning.LevelCertain)
		m := k.addMachine(part)
		k.state.BeginUpdate()
		for i, cancelMs := range []int64{5, 0} {
			id := fmt.Sprintf("run-%d", i)
			k.state.Put(clusterstate.JobKey(id), wire.MustEncode(clusterstate.JobRecord{Spec: wire.JobSpec{ID: id, Kind: wire.KindService, TaskCount: 2}, CancelledAtMs: cancelMs,
				Tasks: []clusterstate.Task{{State: clusterstate.TaskBound, Attempt: 1, Machine: m, Session: 1}, {Index: 1, State: clusterstate.TaskBound, Attempt: 1, Machine: m, Session: 1}}}), 2)
		}
		k.state.EndUpdate()
		k.confirmedAt, k.peerAnsweredAt = time.Now().Add(-time.Minute), time.Now().Add(-time.Minute)
		status, body := k.HandleHeartbeat(&wire.Heartbeat{Machine: m, Session: 1, Sequence: 1, FencingToken: 5, Tasks: []wire.TaskStatus{
			{Task: "run-0/0", Attempt: 1, State: wire.TaskRunning}, {Task: "run-1/0", Attempt: 1, State: wire.TaskRunning}}})
		o, _ := body.(wire.HeartbeatResponse)
		if status != http.StatusOK || len(o.Commands) != 1 || o.Commands[0].Kind != wire.CommandStop || o.Commands[0].Task != "run-0/0" {
			t.Errorf("part %d: %d %+v", part, status, o)
		}
	}
}

// TestProcessWithoutView: a process that was started in a zone that is cut off renews leases
// of all workers there though it knows nothing, and gives no orders; not before it has
// looked for others, not while one can be reached, not where cancellations may be told at
// once, not once it has a view or has stood still, and no more of a worker that another owner
// has reached meanwhile. Without it a zone's 700 tasks ended with their leases
// when the only controller in it ended during the cut.
func TestRenewalWithoutClusterState(t *testing.T) {
	const certain = tuning.CertainToken + 3
	for name, c := range map[string]struct {
		after  time.Duration // since its start
		token  uint64
		change func(*registryFixture)
		want   bool
	}{
		"cut off":             {10 * time.Second, certain, nil, true},
		"just started":        {time.Second, certain, nil, false},
		"told at once":        {10 * time.Second, 5, nil, false},
		"no answer seen":      {10 * time.Second, 0, nil, false},
		"another in reach":    {10 * time.Second, certain, func(k *registryFixture) { k.peerAnsweredAt = time.Now().Add(-time.Second) }, false},
		"another was long so": {10 * time.Second, certain, func(k *registryFixture) { k.peerAnsweredAt = time.Now().Add(-tuning.OwnerLost) }, true},
		"it has a view":       {10 * time.Second, certain, func(k *registryFixture) { k.confirmedAt = time.Now().Add(-time.Second) }, false},
		"a newer owner": {10 * time.Second, certain + 1, func(k *registryFixture) {
			if status, _ := k.heartbeat(k.addMachine(1), 1, certain); status != http.StatusOK {
				panic(status)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newRegistryFixture(tuning.LevelCertain)
				k.settings.Siblings = []config.Sibling{{Node: "b"}}
				m := k.addMachine(1)
				clear(k.state.Shards)
				clear(k.state.Machines)
				k.confirmedAt, k.peerAnsweredAt, k.state.SchemaVersion = time.Time{}, time.Time{}, 0
				for range int(c.after / time.Second) {
					time.Sleep(time.Second)
					k.noteAlive(time.Now())
				}
				if c.change != nil {
					c.change(k)
				}
				status, body := k.heartbeat(m, 2, c.token)
				if (status == http.StatusOK) != c.want {
					t.Fatalf("%d, want renewed: %v", status, c.want)
				}
				if o, ok := body.(wire.HeartbeatResponse); ok && (o.FencingToken != c.token || len(o.Commands) > 0) {
					t.Errorf("%+v", o)
				}
				time.Sleep(2 * tuning.FreezeGap) // it stands still
				if status, _ := k.heartbeat(m, 3, c.token); status == http.StatusOK && k.confirmedAt.IsZero() {
					t.Error("renewed after it had stood still")
				}
			})
		})
	}
}

// TestThawedNodeBelievesNothing: a process that stood still renews no lease, of its own
// workers or others', until its view is confirmed, at whatever moment it goes on.
func TestPausedProcessRenewsNothing(t *testing.T) {
	for _, first := range []string{"report", "pulse"} {
		synctest.Test(t, func(t *testing.T) {
			k := newRegistryFixture(tuning.LevelCertain)
			own, others := k.addMachine(0), k.addMachine(1)
			if status, _ := k.heartbeat(own, 1, 5); status != http.StatusOK {
				t.Fatalf("before: %d", status)
			}
			time.Sleep(40 * time.Second) // nothing ran
			if first == "pulse" {
				k.noteAlive(time.Now())
			}
			for seq := range uint64(3) {
				if status, _ := k.heartbeat(own, 2+seq, 5); status == http.StatusOK {
					t.Errorf("%s first: renewed its own worker's lease", first)
				}
				if status, _ := k.heartbeat(others, 2+seq, 5); status == http.StatusOK {
					t.Errorf("%s first: renewed another's worker's lease", first)
				}
				time.Sleep(time.Second)
			}
			k.confirmedAt = time.Now()
			if status, _ := k.heartbeat(own, 9, 5); status != http.StatusOK {
				t.Errorf("%s first: %d once its view is confirmed", first, status)
			}
		})
	}
}
