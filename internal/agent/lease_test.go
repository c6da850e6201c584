package agent

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestLeaseRenewalDuringPartition: on a cluster state that is too old to know of cancellations leases are
// renewed only where every node confirms those late, and then without commands; another owner's agents are
// kept only if that owner is out of reach too, and under the token that they know.
func TestLeaseRenewalDuringPartition(t *testing.T) {
	const certain = tuning.SchemaVersionConfirmedCancel
	for name, c := range map[string]struct {
		schemaVersion int
		shard         int
		stateAge      time.Duration
		peerSilence   time.Duration // since the other owner answered
		token         uint64        // that the agent has seen
		want          int
	}{
		"own, fresh":                        {0, 0, 0, 0, 5, http.StatusOK},
		"own, within the limit":             {0, 0, 15 * time.Second, 0, 5, http.StatusOK},
		"own, older, confirmed at once":     {1, 0, 17 * time.Second, 0, 5, http.StatusServiceUnavailable},
		"own, older, confirmed late":        {certain, 0, 10 * time.Minute, 0, 5, http.StatusOK},
		"own, it has a newer owner":         {certain, 0, 10 * time.Second, 0, 6, http.StatusMisdirectedRequest},
		"other's, fresh":                    {certain, 1, 0, time.Minute, 5, http.StatusMisdirectedRequest},
		"other's, its owner in reach":       {certain, 1, time.Minute, time.Second, 5, http.StatusMisdirectedRequest},
		"other's, cut off with it":          {certain, 1, time.Minute, time.Minute, 5, http.StatusOK},
		"other's, within the limit":         {1, 1, 15 * time.Second, time.Minute, 5, http.StatusOK},
		"other's, older, confirmed at once": {1, 1, time.Minute, time.Minute, 5, http.StatusMisdirectedRequest},
		"other's, it has a newer owner":     {certain, 1, time.Minute, time.Minute, 6, http.StatusMisdirectedRequest},
		"other's, it has seen no answer":    {certain, 1, time.Minute, time.Minute, 0, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFixture(c.schemaVersion)
			machineName := f.addMachine(c.shard)
			f.confirmedAt, f.peerAnsweredAt = time.Now().Add(-c.stateAge), time.Now().Add(-c.peerSilence)
			status, body := f.heartbeat(machineName, 1, c.token)
			if status != c.want {
				t.Fatalf("%d, want %d", status, c.want)
			}
			expectNoCommands(t, body, testToken)
		})
	}
}

// expectNoCommands checks that an answer that renews a lease does so under the token, and commands nothing.
func expectNoCommands(t *testing.T, body any, fencingToken uint64) {
	t.Helper()
	response, ok := body.(wire.HeartbeatResponse)
	if ok && (response.FencingToken != fencingToken || len(response.Commands) > 0) {
		t.Errorf("%+v", response)
	}
}

// TestCancelledTasksStopDuringPartition: an answer on an old cluster state starts nothing, and stops what was
// cancelled before it: that may have been confirmed at once by an earlier version.
func TestCancelledTasksStopDuringPartition(t *testing.T) {
	for _, shard := range []int{ownShard, peerShard} {
		f := newRegistryFixture(tuning.SchemaVersionConfirmedCancel)
		machineName := f.addMachine(shard)
		for i, cancelledAtMs := range []int64{5, 0} {
			f.putServiceOn(machineName, fmt.Sprintf("run-%d", i), cancelledAtMs)
		}
		f.confirmedAt, f.peerAnsweredAt = time.Now().Add(-time.Minute), time.Now().Add(-time.Minute)
		status, body := f.handle(&wire.Heartbeat{
			Machine: machineName, Session: 1, Sequence: 1, FencingToken: testToken, Tasks: []wire.TaskStatus{
				{Task: "run-0/0", Attempt: 1, State: wire.TaskRunning},
				{Task: "run-1/0", Attempt: 1, State: wire.TaskRunning},
			},
		})
		response, _ := body.(wire.HeartbeatResponse)
		if status != http.StatusOK || len(response.Commands) != 1 ||
			response.Commands[0].Kind != wire.CommandStop || response.Commands[0].Task != "run-0/0" {
			t.Errorf("shard %d: %d %+v", shard, status, response)
		}
	}
}

// putServiceOn writes the record of a service whose two replicas are bound to a machine.
func (f *registryFixture) putServiceOn(machineName, jobID string, cancelledAtMs int64) {
	f.put(record.JobKey(jobID), wire.MustEncode(record.Job{
		Spec:          wire.JobSpec{ID: jobID, Kind: wire.KindService, TaskCount: 2},
		CancelledAtMs: cancelledAtMs,
		Tasks: []record.Task{
			{State: record.TaskBound, Attempt: 1, Machine: machineName, Session: 1},
			{Index: 1, State: record.TaskBound, Attempt: 1, Machine: machineName, Session: 1},
		},
	}), 2)
}

// TestRenewalWithoutClusterState: a process that was started in a zone that is cut off renews leases of all
// agents there though it knows nothing, and gives no commands; not before it has looked for others, not while
// one can be reached, not where cancellations may be confirmed at once, not once it has a cluster state or has
// stood still, and no more of an agent that another owner has reached meanwhile. Without it a zone's 700 tasks
// ended with their leases when the only controller in it ended during the partition.
func TestRenewalWithoutClusterState(t *testing.T) {
	const certain = tuning.ConfirmedCancelTokenBase + 3
	for name, c := range map[string]struct {
		sinceStart time.Duration
		token      uint64
		change     func(*registryFixture)
		want       bool
	}{
		"cut off":           {10 * time.Second, certain, nil, true},
		"just started":      {time.Second, certain, nil, false},
		"confirmed at once": {10 * time.Second, 5, nil, false},
		"no answer seen":    {10 * time.Second, 0, nil, false},
		"another in reach": {10 * time.Second, certain, func(f *registryFixture) {
			f.peerAnsweredAt = time.Now().Add(-time.Second)
		}, false},
		"another was long so": {10 * time.Second, certain, func(f *registryFixture) {
			f.peerAnsweredAt = time.Now().Add(-tuning.OwnerUnreachableAfter)
		}, true},
		"it has a cluster state": {10 * time.Second, certain, func(f *registryFixture) {
			f.confirmedAt = time.Now().Add(-time.Second)
		}, false},
		"a newer owner": {10 * time.Second, certain + 1, func(f *registryFixture) {
			if status, _ := f.heartbeat(f.addMachine(peerShard), 1, certain); status != http.StatusOK {
				panic(status)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRegistryFixture(tuning.SchemaVersionConfirmedCancel)
				f.settings.Peers = []config.Peer{{Node: "b"}}
				machineName := f.addMachine(peerShard)
				f.loseClusterState()
				f.runFor(c.sinceStart)
				if c.change != nil {
					c.change(f)
				}
				status, body := f.heartbeat(machineName, 2, c.token)
				if (status == http.StatusOK) != c.want {
					t.Fatalf("%d, want renewed: %v", status, c.want)
				}
				expectNoCommands(t, body, c.token)
				time.Sleep(2 * tuning.PauseThreshold) // it stands still
				status, _ = f.heartbeat(machineName, 3, c.token)
				if status == http.StatusOK && f.confirmedAt.IsZero() {
					t.Error("renewed after it had stood still")
				}
			})
		})
	}
}

// loseClusterState makes the fixture a process that has read no record and reached no node yet.
func (f *registryFixture) loseClusterState() {
	clear(f.state.Shards)
	clear(f.state.Machines)
	f.confirmedAt, f.peerAnsweredAt, f.state.SchemaVersion = time.Time{}, time.Time{}, 0
}

// runFor lets a time pass in which the process runs.
func (f *registryFixture) runFor(duration time.Duration) {
	for range int(duration / time.Second) {
		time.Sleep(time.Second)
		f.noteRunning(time.Now())
	}
}

// TestPausedProcessRenewsNothing: a process that stood still renews no lease, of its own agents or others',
// until its cluster state is confirmed, whatever it does first when it goes on.
func TestPausedProcessRenewsNothing(t *testing.T) {
	for _, first := range []string{"heartbeat", "tick"} {
		synctest.Test(t, func(t *testing.T) {
			f := newRegistryFixture(tuning.SchemaVersionConfirmedCancel)
			own, others := f.addMachine(ownShard), f.addMachine(peerShard)
			if status, _ := f.heartbeat(own, 1, testToken); status != http.StatusOK {
				t.Fatalf("before: %d", status)
			}
			time.Sleep(40 * time.Second) // nothing ran
			if first == "tick" {
				f.noteRunning(time.Now())
			}
			for sequence := uint64(2); sequence < 5; sequence++ {
				if status, _ := f.heartbeat(own, sequence, testToken); status == http.StatusOK {
					t.Errorf("%s first: renewed its own agent's lease", first)
				}
				if status, _ := f.heartbeat(others, sequence, testToken); status == http.StatusOK {
					t.Errorf("%s first: renewed another's agent's lease", first)
				}
				time.Sleep(time.Second)
			}
			f.confirmedAt = time.Now()
			if status, _ := f.heartbeat(own, 9, testToken); status != http.StatusOK {
				t.Errorf("%s first: %d once its cluster state is confirmed", first, status)
			}
		})
	}
}
