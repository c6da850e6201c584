package upgrade

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/config"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// region is a state service, and the views of nodes that lag behind it.
type region struct {
	t      *rapid.T
	stamps map[string]uint64
	rows   map[string]wire.RawValue
	rev    uint64
	level  int            // that each node's process reads, by name
	runs   map[string]int // -1: it is down
	ops    int
	lower  int
}

func (r *region) Do(_ context.Context, it store.Item) (uint64, error) {
	for _, g := range it.Guards {
		if r.stamps[g.Key] != g.ModRevision {
			return 0, store.ErrGuard
		}
	}
	for _, o := range it.Ops {
		r.set(o.PutKey, o.Value)
		if o.PutKey == world.LevelKey {
			var rec world.LevelRecord
			if err := wire.Decode(o.Value, &rec); err != nil || rec.Level <= r.level {
				r.t.Fatalf("level %d after %d: %v", rec.Level, r.level, err)
			}
			for name, level := range r.runs {
				if level < rec.Level {
					r.t.Fatalf("level %d activated while %s runs level %d", rec.Level, name, level)
				}
			}
			r.level = rec.Level
		}
	}
	return r.rev, nil
}

func (r *region) set(key string, v wire.RawValue) {
	r.rev++
	r.stamps[key], r.rows[key] = r.rev, v
}

func (r *region) Owns(int) (uint64, uint64, bool) { return 1, 0, true }
func (r *region) Lower()                          { r.lower++ }
func (r *region) TxnOps() int                     { return r.ops }

// TestNeverActivatedEarly: under any order of starts, ends and returns to the
// version before, and with views that lag, the new form is written only while all
// nodes run a process that reads it; once they do, it is, and limits are lowered. Where all
// read a level between, that one is written.
func TestNeverActivatedEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "nodes")
		r := &region{t: t, stamps: map[string]uint64{}, rows: map[string]wire.RawValue{}, runs: map[string]int{}, ops: 10}
		set := &config.Settings{Node: "node-0"}
		for i := 1; i < n; i++ {
			set.Siblings = append(set.Siblings, config.Sibling{Node: fmt.Sprintf("node-%d", i)})
		}
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		view := world.New(n, log)
		u := New(set, tuning.Level, view, r, r, r, log)
		seen := map[string]uint64{}
		catchUp := func(only string) {
			view.Begin()
			for _, name := range append(set.Nodes(), "level") {
				key := world.NodeKey(name)
				if name == "level" {
					key = world.LevelKey
				}
				if only != "" && only != key || seen[key] == r.stamps[key] {
					continue
				}
				if seen[key] = r.stamps[key]; r.rows[key] == nil {
					view.Drop(key)
				} else {
					view.Put(key, r.rows[key], r.stamps[key])
				}
			}
			view.Flush()
		}
		start := func(name string, level int) {
			r.runs[name] = level
			r.set(world.NodeKey(name), wire.MustEncode(world.NodeRecord{Inc: r.rev + 1, Level: level}))
		}
		for _, name := range set.Nodes() {
			start(name, 0)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(set.Nodes()).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				start(name, r.level) // going back further is for before activation
			case 1:
				start(name, rapid.IntRange(r.level, tuning.Level).Draw(t, "level"))
			case 2: // its session ends with it
				r.runs[name] = -1
				delete(r.stamps, world.NodeKey(name))
				delete(r.rows, world.NodeKey(name))
			case 3:
				catchUp(world.NodeKey(name))
			case 4:
				u.look(t.Context())
			}
			if r.level != 0 && len(r.rows[world.LevelKey]) == 0 {
				t.Fatal("taken back")
			}
		}
		for _, name := range set.Nodes() {
			start(name, tuning.Level)
		}
		catchUp("")
		u.look(t.Context())
		catchUp("")
		u.look(t.Context())
		if r.level != tuning.Level || r.lower == 0 {
			t.Errorf("level %d, limits lowered %d times", r.level, r.lower)
		}
	})
}
