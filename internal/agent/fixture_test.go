package agent

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	ownShard  = 0 // of the fixture's node
	peerShard = 1 // of the other node

	// testToken is the fencing token of both shards at first.
	testToken = 5
	// testAddress is that of every agent.
	testAddress = "10.1.0.1:9000"
)

// registryFixture is the registry of node "a" of two, on a cluster state of some age.
type registryFixture struct {
	*Registry
	state          *clusterstate.State
	confirmedAt    time.Time // as of when the state is complete
	peerAnsweredAt time.Time // when node "b" last answered
}

// newRegistryFixture makes the registry under a schema version; node "a" owns ownShard, "b" peerShard.
func newRegistryFixture(schemaVersion int) *registryFixture {
	logger := slog.New(slog.DiscardHandler)
	settings := &config.Settings{Node: "a", Peers: []config.Peer{{Node: "b"}}}
	deployment := &settings.Deployment
	deployment.NodeCount = 2
	deployment.Workers.ReportS, deployment.Workers.LeaseS, deployment.Workers.CancelS = 6, 31, 51
	state := clusterstate.New(2, logger)
	state.SchemaVersion = schemaVersion
	for shard, node := range []string{"a", "b"} {
		state.Nodes[node] = clusterstate.Node{Node: record.Node{Incarnation: 1}}
		state.Shards[shard] = clusterstate.Shard{
			Shard: record.Shard{Owner: node, OwnerIncarnation: 1, FencingToken: testToken},
		}
	}
	limits := kvstore.Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxValueKiB: 16, MaxTransactionOps: 32}
	client := kvstore.NewClient("127.0.0.1:1", limits, nil)
	cache := kvstore.NewWatchCache(client, record.LivePrefix, state, logger)
	member := membership.New(membership.Config{
		NodeName: "a", Incarnation: 1, NodeNames: []string{"a", "b"}, SchemaVersion: tuning.SchemaVersion,
		Client: client, Cache: cache, ClusterState: state, Logger: logger,
	})
	f := &registryFixture{state: state, confirmedAt: time.Now(), peerAnsweredAt: time.Now()}
	f.Registry = New(Config{
		Settings: settings, ClusterState: state, Membership: member,
		CompleteAsOf: func() time.Time { return f.confirmedAt }, Logger: logger,
	})
	f.SetPeerLastAnswered(func(string) time.Time { return f.peerAnsweredAt })
	return f
}

// addMachine makes a record of a machine of a shard and gives its name.
func (f *registryFixture) addMachine(shard int) string {
	name := "vm-0"
	for record.ShardOf(name, 2) != shard {
		name += "0"
	}
	f.putMachine(name, record.Machine{Type: "m", Zone: "z", Address: testAddress, Up: true}, 1)
	return name
}

func (f *registryFixture) putMachine(name string, machineRecord record.Machine, revision uint64) {
	f.put(record.MachineKey(name), wire.MustEncode(machineRecord), revision)
}

// put writes a record into the cluster state.
func (f *registryFixture) put(key string, value wire.RawValue, revision uint64) {
	f.state.BeginUpdate()
	f.state.Put(key, value, revision)
	f.state.EndUpdate()
}

// heartbeat gives the HTTP status and body that answer a heartbeat of an agent's first session.
func (f *registryFixture) heartbeat(machineName string, sequence, fencingToken uint64) (int, any) {
	return f.handle(&wire.Heartbeat{
		Machine: machineName, Address: testAddress, Session: 1, Sequence: sequence, FencingToken: fencingToken,
	})
}

// handle gives the HTTP status and body that answer a heartbeat.
func (f *registryFixture) handle(heartbeat *wire.Heartbeat) (int, any) {
	result := f.HandleHeartbeat(heartbeat)
	return result.HTTPResponse()
}

// failCommand notes that a direct command to a machine got no answer.
func (f *registryFixture) failCommand(machineName string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[machineName].link.recordCommandFailure(time.Now())
}

// takeDispatches empties the queue of dispatches and gives how many there were.
func (f *registryFixture) takeDispatches() int {
	count := 0
	for len(f.dispatchQueue) > 0 {
		<-f.dispatchQueue
		count++
	}
	return count
}

// respondingTransport stands in for agents that answer direct commands.
type respondingTransport func() wire.Heartbeat

func (r respondingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	body := io.NopCloser(bytes.NewReader(wire.MustEncode(r())))
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

// newReport makes a report of machine "m".
func newReport(session, sequence, fencingToken uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m", Session: session, Sequence: sequence, FencingToken: fencingToken, Tasks: tasks}
}

// newBinding makes the binding of a task to a session of its agent, alone and among those of its machine.
func newBinding(session uint64) (map[record.TaskRef]clusterstate.Binding, clusterstate.Binding) {
	binding := clusterstate.Binding{
		Ref: record.TaskRef{JobID: "run-1"}, Job: &clusterstate.Job{}, Attempt: 1, Session: session,
	}
	return map[record.TaskRef]clusterstate.Binding{binding.Ref: binding}, binding
}

// planCommands gives the commands for a machine whose reported attempts have all ended in the records, and
// for which no stop is wanted.
func planCommands(
	m *machine, bindings map[record.TaskRef]clusterstate.Binding, heartbeatSequence uint64, now time.Time,
) []wire.Command {
	plan := commandPlan{
		machine: m, bindings: bindings,
		attemptEnded: func(record.TaskRef, uint64) bool { return true },
		stopRequest:  func(clusterstate.Binding) (stopRequest, bool) { return stopRequest{}, false },
		fencingToken: testToken, heartbeatSequence: heartbeatSequence, now: now,
	}
	return plan.commands()
}

// expectPresence fails the test if the reports of a machine prove anything else of a binding.
func expectPresence(
	t *testing.T, m *machine, binding clusterstate.Binding, fencingToken uint64, want TaskPresence, when string,
) {
	t.Helper()
	if got := m.observe(binding, fencingToken).Presence; got != want {
		t.Fatalf("presence %v %s, want %v", got, when, want)
	}
}
