package kvstore

import (
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// mapSink keeps what the cache tells.
type mapSink map[string]string

func (m mapSink) BeginUpdate()                              {}
func (m mapSink) EndUpdate()                                {}
func (m mapSink) Put(key string, v wire.RawValue, _ uint64) { m[key] = string(v) }
func (m mapSink) Delete(key string)                         { delete(m, key) }

// TestWatchCacheFollowsHistory applies overlapping watch answers and our own writes
// in generated orders. The cache must never show a key that was dropped at or
// below its revision: a late answer once brought a finished job back to life.
func TestWatchCacheFollowsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			key  string
			drop bool
		}
		var log []wire.Event
		states := []map[string]string{{}}
		n := rapid.IntRange(1, 30).Draw(t, "changes")
		for i := range n {
			c := change{rapid.SampledFrom([]string{"s/a", "s/b", "s/c"}).Draw(t, "key"), rapid.Bool().Draw(t, "drop")}
			rev := uint64(i + 1)
			next := maps.Clone(states[i])
			if c.drop {
				if _, ok := next[c.key]; ok {
					delete(next, c.key)
					log = append(log, wire.Event{DeleteKey: c.key, ModRevision: rev})
				}
			} else {
				v := wire.MustEncode(i)
				next[c.key] = string(v)
				log = append(log, wire.Event{PutKey: c.key, Value: v, ModRevision: rev})
			}
			states = append(states, next)
		}
		sink := mapSink{}
		c := NewWatchCache(NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: 1}, nil), "s/", sink, slog.New(slog.NewTextHandler(io.Discard, nil)))
		var local []uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "own") && len(log) > 0 {
				e := rapid.SampledFrom(log).Draw(t, "write")
				c.ApplyOwn([]wire.Op{{PutKey: e.PutKey, Value: e.Value, DeleteKey: e.DeleteKey}}, e.ModRevision)
				local = append(local, e.ModRevision)
			} else {
				after := rapid.Uint64Range(0, c.revision).Draw(t, "after")
				upTo := rapid.Uint64Range(after, uint64(n)).Draw(t, "upto")
				news := wire.WatchResponse{Revision: upTo}
				for _, e := range log {
					if e.ModRevision > after && e.ModRevision <= upTo {
						news.Events = append(news.Events, e)
					}
				}
				c.applyWatch(after, news, time.Now())
			}
			// A guard that counts as passed can hold in no state from the one that is known on.
			seen := c.revision
			for _, l := range local {
				seen = max(seen, l)
			}
			for _, k := range []string{"s/a", "s/b", "s/c"} {
				stamp := uint64(0)
				for _, e := range log {
					if e.PutKey == k || e.DeleteKey == k {
						stamp = e.ModRevision
						if e.DeleteKey == k {
							stamp = 0
						}
					}
					if e.ModRevision >= seen && c.IsOutdated(wire.Condition{Key: k, ModRevision: stamp}) {
						t.Fatalf("revision %d: a guard of %s at %d counts as passed at %d", c.revision, k, stamp, e.ModRevision)
					}
				}
			}
			// Keys that no write of ours runs ahead on must show the state at the revision.
			ahead := map[string]bool{}
			for _, e := range log {
				for _, l := range local {
					if e.ModRevision == l && e.ModRevision > c.revision {
						ahead[e.PutKey+e.DeleteKey] = true
					}
				}
			}
			for _, k := range []string{"s/a", "s/b", "s/c"} {
				if want := states[c.revision][k]; !ahead[k] && sink[k] != want {
					t.Fatalf("revision %d: %s is %q, want %q", c.revision, k, sink[k], want)
				}
			}
		}
	})
}

// TestAppliedIsNeverGuessed: a view of a generated history says that changes were made together only if some
// transaction made them all, with these values, that this node did not know of when it sent them, be it in
// its view or as a change of its own that ran ahead; and it says so of each as it comes.
func TestFindAppliedNeverGuesses(t *testing.T) {
	ops := func(t *rapid.T, what string) (out []wire.Op) {
		for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"s/a", "s/b", "s/c", "f/d"}), 1, 3, rapid.ID).Draw(t, what) {
			if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
				out = append(out, DeleteOp(k))
			} else {
				out = append(out, PutOp(k, rapid.IntRange(0, 2).Draw(t, "value")))
			}
		}
		return out
	}
	holds := func(all, some []wire.Op) bool {
		for _, o := range some {
			if !slices.ContainsFunc(all, func(p wire.Op) bool {
				return o.Key() == p.Key() && (o.DeleteKey != "" || o.PutKey == p.PutKey && string(o.Value) == string(p.Value))
			}) && strings.HasPrefix(o.PutKey, "s/") {
				return false
			}
		}
		return true
	}
	rapid.Check(t, func(t *rapid.T) {
		c := NewWatchCache(NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: 1}, nil), "s/", mapSink{}, slog.New(slog.DiscardHandler))
		begin := rapid.Uint64Range(0, 6).Draw(t, "sent after")
		since := uint64(0)
		asked := ops(t, "asked")
		var history [][]wire.Op
		known := map[uint64]bool{} // to this node, before it sent
		there := map[string]bool{}
		for rev := uint64(1); rev <= 12; rev++ {
			txn := ops(t, "transaction")
			if rapid.IntRange(0, 2).Draw(t, "the one") == 0 {
				txn = asked
			}
			if rev == begin+1 {
				since = c.TrackInFlight(asked)
				for r := range c.revision {
					known[r+1] = true
				}
			}
			history = append(history, txn)
			tells := slices.ContainsFunc(asked, func(o wire.Op) bool { return strings.HasPrefix(o.PutKey, "s/") }) &&
				!slices.ContainsFunc(asked, func(o wire.Op) bool { return strings.HasPrefix(o.DeleteKey, "s/") && !there[o.DeleteKey] })
			for _, o := range txn {
				there[o.Key()] = o.PutKey != ""
			}
			if rapid.Bool().Draw(t, "own") {
				c.ApplyOwn(txn, rev)
				known[rev] = rev <= begin
			}
			if rapid.IntRange(0, 2).Draw(t, "the watch lags") == 0 && rev < 12 {
				continue
			}
			news := wire.WatchResponse{Revision: rev}
			for at := c.revision + 1; at <= rev; at++ {
				for _, o := range history[at-1] {
					if strings.HasPrefix(o.Key(), "s/") {
						news.Events = append(news.Events, wire.Event{PutKey: o.PutKey, DeleteKey: o.DeleteKey, Value: o.Value, ModRevision: at})
					}
				}
			}
			c.applyWatch(c.revision, news, time.Now())
			if rev <= begin {
				continue
			}
			got, ok := c.FindApplied(asked, since)
			if ok && (known[got] || !holds(history[got-1], asked)) {
				t.Fatalf("at %d: said to be made at %d, by %v", rev, got, history[got-1])
			}
			if &txn[0] == &asked[0] && tells && !ok {
				t.Fatalf("at %d: was just made, and is not known (%d, %v)", rev, got, ok)
			}
		}
	})
}

// TestBatchNeverChangesAKeyTwice checks that one transaction never touches a key twice
// and stays within the limits, whatever is queued.
func TestBatchNeverChangesAKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCommitter(NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: 8}, nil), func([]wire.Op, uint64) {})
		n := rapid.IntRange(1, 40).Draw(t, "items")
		for range n {
			it := Transaction{}
			for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 1, 3, rapid.ID).Draw(t, "keys") {
				it.Ops = append(it.Ops, PutOp(k, 1))
				it.Conditions = append(it.Conditions, wire.Condition{Key: k, ModRevision: rapid.Uint64Range(0, 2).Draw(t, "stamp")})
			}
			c.queue = append(c.queue, &pendingTransaction{Transaction: it})
		}
		left := n
		for len(c.queue) > 0 {
			batch := c.takeBatch(8)
			if len(batch) == 0 {
				t.Fatal("an empty batch would stall the queue")
			}
			left -= len(batch)
			keys, ops, guards := map[string]bool{}, 0, map[string]uint64{}
			for _, p := range batch {
				for _, o := range p.Ops {
					if keys[o.Key()] {
						t.Fatalf("key %s twice in one transaction", o.Key())
					}
					keys[o.Key()] = true
					ops++
				}
				for _, g := range p.Conditions {
					if s, ok := guards[g.Key]; ok && s != g.ModRevision {
						t.Fatalf("guards of one transaction contradict each other")
					}
					guards[g.Key] = g.ModRevision
				}
			}
			if ops > 8 {
				t.Fatalf("%d ops", ops)
			}
		}
		if left != 0 {
			t.Fatalf("%d items lost", left)
		}
	})
}
