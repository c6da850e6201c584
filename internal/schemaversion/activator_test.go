package schemaversion

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// fakeCluster is a state service, and the views of nodes that lag behind it.
type fakeCluster struct {
	t             *rapid.T
	modRevisions  map[string]uint64
	values        map[string]wire.RawValue
	revision      uint64
	activeVersion int            // that each node's process reads, by name
	nodeVersions  map[string]int // -1: it is down
	maxOps        int
	limitsApplied int
}

func (r *fakeCluster) Commit(_ context.Context, it kvstore.Transaction) (uint64, error) {
	for _, g := range it.Conditions {
		if r.modRevisions[g.Key] != g.ModRevision {
			return 0, kvstore.ErrConditionFailed
		}
	}
	for _, o := range it.Ops {
		r.set(o.PutKey, o.Value)
		if o.PutKey == record.SchemaVersionKey {
			var rec record.SchemaVersion
			if err := wire.Decode(o.Value, &rec); err != nil || rec.Version <= r.activeVersion {
				r.t.Fatalf("level %d after %d: %v", rec.Version, r.activeVersion, err)
			}
			for name, level := range r.nodeVersions {
				if level < rec.Version {
					r.t.Fatalf("level %d activated while %s runs level %d", rec.Version, name, level)
				}
			}
			r.activeVersion = rec.Version
		}
	}
	return r.revision, nil
}

func (r *fakeCluster) set(key string, v wire.RawValue) {
	r.revision++
	r.modRevisions[key], r.values[key] = r.revision, v
}

func (r *fakeCluster) Owns(int) (uint64, uint64, bool) { return 1, 0, true }
func (r *fakeCluster) ApplyUpcomingLimits()            { r.limitsApplied++ }
func (r *fakeCluster) MaxTransactionOps() int          { return r.maxOps }

// TestNeverActivatedEarly: under any order of starts, ends and returns to the
// version before, and with views that lag, the new form is written only while all
// nodes run a process that reads it; once they do, it is, and limits are lowered. Where all
// read a level between, that one is written.
func TestVersionIsNeverActivatedEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "nodes")
		r := &fakeCluster{t: t, modRevisions: map[string]uint64{}, values: map[string]wire.RawValue{}, nodeVersions: map[string]int{}, maxOps: 10}
		set := &config.Settings{Node: "node-0"}
		for i := 1; i < n; i++ {
			set.Siblings = append(set.Siblings, config.Sibling{Node: fmt.Sprintf("node-%d", i)})
		}
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		view := clusterstate.New(n, log)
		u := NewActivator(set, tuning.Level, view, r, r, r, log)
		seen := map[string]uint64{}
		catchUp := func(only string) {
			view.BeginUpdate()
			for _, name := range append(set.Nodes(), "level") {
				key := record.NodeKey(name)
				if name == "level" {
					key = record.SchemaVersionKey
				}
				if only != "" && only != key || seen[key] == r.modRevisions[key] {
					continue
				}
				if seen[key] = r.modRevisions[key]; r.values[key] == nil {
					view.Delete(key)
				} else {
					view.Put(key, r.values[key], r.modRevisions[key])
				}
			}
			view.EndUpdate()
		}
		start := func(name string, level int) {
			r.nodeVersions[name] = level
			r.set(record.NodeKey(name), wire.MustEncode(record.Node{Incarnation: r.revision + 1, SchemaVersion: level}))
		}
		for _, name := range set.Nodes() {
			start(name, 0)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(set.Nodes()).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				start(name, r.activeVersion) // going back further is for before activation
			case 1:
				start(name, rapid.IntRange(r.activeVersion, tuning.Level).Draw(t, "level"))
			case 2: // its session ends with it
				r.nodeVersions[name] = -1
				delete(r.modRevisions, record.NodeKey(name))
				delete(r.values, record.NodeKey(name))
			case 3:
				catchUp(record.NodeKey(name))
			case 4:
				u.check(t.Context())
			}
			if r.activeVersion != 0 && len(r.values[record.SchemaVersionKey]) == 0 {
				t.Fatal("taken back")
			}
		}
		for _, name := range set.Nodes() {
			start(name, tuning.Level)
		}
		catchUp("")
		u.check(t.Context())
		catchUp("")
		u.check(t.Context())
		if r.activeVersion != tuning.Level || r.limitsApplied == 0 {
			t.Errorf("level %d, limits lowered %d times", r.activeVersion, r.limitsApplied)
		}
	})
}
