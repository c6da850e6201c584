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

// nodeIsDown is used in place of a version for a node without a running process.
const nodeIsDown = -1

// fakeCluster is a key-value store with the sessions of several nodes, and the
// cluster state of one node, which may lag behind the store.
type fakeCluster struct {
	t             *rapid.T
	nodeNames     []string
	modRevisions  map[string]uint64
	values        map[string]wire.RawValue
	revision      uint64
	activeVersion int
	nodeVersions  map[string]int // newest version that each node's process reads
	limitsApplied int            // number of calls of ApplyUpcomingLimits

	state           *clusterstate.State
	syncedRevisions map[string]uint64 // modRevisions of the records in state
}

func newFakeCluster(t *rapid.T, nodeCount int) *fakeCluster {
	f := &fakeCluster{
		t:               t,
		modRevisions:    map[string]uint64{},
		values:          map[string]wire.RawValue{},
		nodeVersions:    map[string]int{},
		state:           clusterstate.New(nodeCount, slog.New(slog.DiscardHandler)),
		syncedRevisions: map[string]uint64{},
	}
	for i := range nodeCount {
		f.nodeNames = append(f.nodeNames, fmt.Sprintf("node-%d", i))
	}
	return f
}

// Commit applies a transaction if its conditions hold. It fails the test if the
// transaction activates a version that a running process doesn't read.
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
		f.t.Fatalf("schema version %d written after %d (decode error %v)", active.Version, f.activeVersion, err)
	}
	for name, version := range f.nodeVersions {
		if version < active.Version {
			f.t.Fatalf("version %d activated while %s reads only version %d", active.Version, name, version)
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

// start starts a process on a node that reads schema versions up to version.
func (f *fakeCluster) start(name string, version int) {
	f.nodeVersions[name] = version
	session := record.Node{Incarnation: f.revision + 1, SchemaVersion: version}
	f.put(record.NodeKey(name), wire.MustEncode(session))
}

// stop ends a node's process and its session.
func (f *fakeCluster) stop(name string) {
	f.nodeVersions[name] = nodeIsDown
	delete(f.modRevisions, record.NodeKey(name))
	delete(f.values, record.NodeKey(name))
}

// keys returns the keys of all sessions and of the active version.
func (f *fakeCluster) keys() []string {
	var keys []string
	for _, name := range f.nodeNames {
		keys = append(keys, record.NodeKey(name))
	}
	return append(keys, record.SchemaVersionKey)
}

// syncState updates the given keys in the cluster state from the store.
func (f *fakeCluster) syncState(keys ...string) {
	f.state.BeginUpdate()
	defer f.state.EndUpdate()
	for _, key := range keys {
		if f.syncedRevisions[key] == f.modRevisions[key] {
			continue
		}
		f.syncedRevisions[key] = f.modRevisions[key]
		if f.values[key] == nil {
			f.state.Delete(key)
		} else {
			f.state.Put(key, f.values[key], f.modRevisions[key])
		}
	}
}

// step performs one random event: a start or stop of a process, an update of the
// cluster state, or a check of the activator.
func (f *fakeCluster) step(activator *Activator) {
	name := rapid.SampledFrom(f.nodeNames).Draw(f.t, "node")
	switch rapid.IntRange(0, 4).Draw(f.t, "step") {
	case 0:
		f.start(name, f.activeVersion) // a downgrade below the active version is not supported
	case 1:
		f.start(name, rapid.IntRange(f.activeVersion, tuning.SchemaVersion).Draw(f.t, "version"))
	case 2:
		f.stop(name)
	case 3:
		f.syncState(record.NodeKey(name))
	case 4:
		activator.check(f.t.Context())
	}
	if f.activeVersion != 0 && len(f.values[record.SchemaVersionKey]) == 0 {
		f.t.Fatal("the record of the active version was removed")
	}
}

// TestVersionIsNeverActivatedEarly starts and stops processes of different
// versions in random order, with a cluster state that may lag behind the store. It
// checks that a version is activated only while all nodes run processes that read
// it. Once all nodes read the newest version, it must become active and the
// upcoming limits must be applied.
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
			cluster.syncState(cluster.keys()...)
			activator.check(t.Context())
		}
		if cluster.activeVersion != tuning.SchemaVersion || cluster.limitsApplied == 0 {
			t.Errorf("active version is %d, limits applied %d times", cluster.activeVersion, cluster.limitsApplied)
		}
	})
}
