package schemaversion

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// nodeIsDown stands for the version of a node without a process.
const nodeIsDown = -1

// fakeCluster is a key-value store with the sessions of a few nodes, and one
// node's cluster state, which lags behind it.
type fakeCluster struct {
	t             *rapid.T
	nodeNames     []string
	modRevisions  map[string]uint64
	values        map[string]wire.RawValue
	revision      uint64
	activeVersion int
	nodeVersions  map[string]int // that each node's process reads
	limitsApplied int            // times

	state *clusterstate.State
	shown map[string]uint64 // the modRevisions that the state holds
}

func newFakeCluster(t *rapid.T, nodeCount int) *fakeCluster {
	f := &fakeCluster{
		t:            t,
		modRevisions: map[string]uint64{},
		values:       map[string]wire.RawValue{},
		nodeVersions: map[string]int{},
		state:        clusterstate.New(nodeCount, slog.New(slog.DiscardHandler)),
		shown:        map[string]uint64{},
	}
	for i := range nodeCount {
		f.nodeNames = append(f.nodeNames, fmt.Sprintf("node-%d", i))
	}
	return f
}

// Commit applies a transaction, and checks that it activates no version that a
// running process doesn't read.
func (f *fakeCluster) Commit(_ context.Context, transaction kvstore.Transaction) (uint64, error) {
	for _, condition := range transaction.Conditions {
		if f.modRevisions[condition.Key] != condition.ModRevision {
			return 0, kvstore.ErrConditionFailed
		}
	}
	for _, op := range transaction.Ops {
		f.put(op.PutKey, op.Value)
		if op.PutKey == record.SchemaVersionKey {
			f.activate(op.Value)
		}
	}
	return f.revision, nil
}

func (f *fakeCluster) activate(value wire.RawValue) {
	var active record.SchemaVersion
	if err := wire.Decode(value, &active); err != nil || active.Version <= f.activeVersion {
		f.t.Fatalf("version %d after %d: %v", active.Version, f.activeVersion, err)
	}
	for name, version := range f.nodeVersions {
		if version < active.Version {
			f.t.Fatalf("version %d activated while %s runs version %d", active.Version, name, version)
		}
	}
	f.activeVersion = active.Version
}

func (f *fakeCluster) put(key string, value wire.RawValue) {
	f.revision++
	f.modRevisions[key], f.values[key] = f.revision, value
}

func (f *fakeCluster) Ownership(int) (membership.Ownership, bool) {
	return membership.Ownership{FencingToken: 1}, true
}
func (f *fakeCluster) ApplyUpcomingLimits()   { f.limitsApplied++ }
func (f *fakeCluster) MaxTransactionOps() int { return 10 }

// start starts a process that reads a version on a node.
func (f *fakeCluster) start(name string, version int) {
	f.nodeVersions[name] = version
	session := record.Node{Incarnation: f.revision + 1, SchemaVersion: version}
	f.put(record.NodeKey(name), wire.MustEncode(session))
}

// stop ends a node's process, and its session with it.
func (f *fakeCluster) stop(name string) {
	f.nodeVersions[name] = nodeIsDown
	delete(f.modRevisions, record.NodeKey(name))
	delete(f.values, record.NodeKey(name))
}

// keys are those of all sessions and of the active version.
func (f *fakeCluster) keys() []string {
	var keys []string
	for _, name := range f.nodeNames {
		keys = append(keys, record.NodeKey(name))
	}
	return append(keys, record.SchemaVersionKey)
}

// show brings the cluster state up to date for some keys.
func (f *fakeCluster) show(keys ...string) {
	f.state.BeginUpdate()
	defer f.state.EndUpdate()
	for _, key := range keys {
		if f.shown[key] == f.modRevisions[key] {
			continue
		}
		f.shown[key] = f.modRevisions[key]
		if f.values[key] == nil {
			f.state.Delete(key)
		} else {
			f.state.Put(key, f.values[key], f.modRevisions[key])
		}
	}
}

// step does one thing that may happen to the cluster.
func (f *fakeCluster) step(activator *Activator) {
	name := rapid.SampledFrom(f.nodeNames).Draw(f.t, "node")
	switch rapid.IntRange(0, 4).Draw(f.t, "step") {
	case 0:
		f.start(name, f.activeVersion) // going back further is for before activation
	case 1:
		f.start(name, rapid.IntRange(f.activeVersion, tuning.SchemaVersion).Draw(f.t, "version"))
	case 2:
		f.stop(name)
	case 3:
		f.show(record.NodeKey(name))
	case 4:
		activator.check(f.t.Context())
	}
	if f.activeVersion != 0 && len(f.values[record.SchemaVersionKey]) == 0 {
		f.t.Fatal("taken back")
	}
}

// TestVersionIsNeverActivatedEarly: under any order of starts, ends and returns
// to the version before, and with cluster states that lag, the new version is
// written only while all nodes run a process that reads it; once they do, it is,
// and limits are lowered. Where all read a version between, that one is written.
func TestVersionIsNeverActivatedEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newFakeCluster(t, rapid.IntRange(1, 5).Draw(t, "nodes"))
		activator := NewActivator(Config{
			NodeNames:        cluster.nodeNames,
			SupportedVersion: tuning.SchemaVersion,
			ClusterState:     cluster.state,
			Owner:            cluster,
			Committer:        cluster,
			Limits:           cluster,
			Logger:           slog.New(slog.DiscardHandler),
		})
		for _, name := range cluster.nodeNames {
			cluster.start(name, 0)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			cluster.step(activator)
		}
		for _, name := range cluster.nodeNames {
			cluster.start(name, tuning.SchemaVersion)
		}
		for range 2 {
			cluster.show(cluster.keys()...)
			activator.check(t.Context())
		}
		if cluster.activeVersion != tuning.SchemaVersion || cluster.limitsApplied == 0 {
			t.Errorf("version %d, limits lowered %d times", cluster.activeVersion, cluster.limitsApplied)
		}
	})
}
