package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// slow answers every transaction after a while.
type slow time.Duration

func (s slow) RoundTrip(*http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(s))
	body := wire.MustEncode(wire.TxnResponse{Revision: 7})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// TestOutcomeOnItsWayIsWaitedFor: a change whose time runs out while its
// transaction is on its way is not unknown yet. Each unknown outcome makes a node
// fence its part, which fails all its other changes: one node once did so two
// hundred times in two minutes.
func TestOutcomeOnItsWayIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewCommitter(NewClient("127.0.0.1:1", Limits{RPS: 100, WriteRPS: 100, TxnOps: 8}, slow(400*time.Millisecond)), func([]wire.Op, uint64) {})
		go func() { _ = c.Run(ctx) }()
		short, done := context.WithTimeout(ctx, 100*time.Millisecond)
		rev, err := c.Do(short, Item{Ops: []wire.Op{Set("a", 1)}, Lazy: true})
		done()
		if rev != 7 || err != nil {
			t.Errorf("revision %d, %v", rev, err)
		}
		cancel()
	})
}

// status answers every request with one.
type status int

func (s status) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Body: http.NoBody}, nil
}

// TestRefusalsLowerThePace: a service whose limit has fallen without notice refuses
// what is beyond; nodes that kept their pace would be refused for ever. The pace
// has a floor, comes back, and small transactions are made from the start.
func TestRefusalsLowerThePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("127.0.0.1:1", Limits{RPS: 1000, WriteRPS: 100, ValueKB: 16, TxnOps: 32}, status(http.StatusTooManyRequests))
		c.Expect(Limits{RPS: 1000, WriteRPS: 60, ValueKB: 2, TxnOps: 10})
		if c.TxnOps() != 10 || c.writes.Limit() != 100 || c.Room() <= c.LeastRoom() {
			t.Errorf("before: %d changes, %v a second, room %d", c.TxnOps(), c.writes.Limit(), c.Room())
		}
		c.Lower()
		if c.writes.Limit() != 60 || c.Room() != c.LeastRoom() {
			t.Errorf("lowered: %v a second, room %d", c.writes.Limit(), c.Room())
		}
		for range 100 {
			_, _ = c.Txn(t.Context(), wire.TxnRequest{}, false)
		}
		if got := c.writes.Limit(); got != 60*tuning.PaceCut {
			t.Errorf("one bad moment lowered the pace to %v", got)
		}
		for range 30 {
			time.Sleep(tuning.PaceHold)
			_, _ = c.Txn(t.Context(), wire.TxnRequest{}, false)
		}
		if got := float64(c.writes.Limit()); math.Abs(got-60*tuning.PaceLeast) > 1e-9 {
			t.Errorf("lasting refusals left %v", got)
		}
		for range 60 {
			time.Sleep(2 * tuning.PaceHold)
			c.SetShare(1)
		}
		if got := c.writes.Limit(); got != 60 {
			t.Errorf("the pace came back to %v", got)
		}
	})
}

// TestWorkOfHighPriorityGoesFirst: while the budget is the bottleneck a change waits
// for seconds, and a pipeline has several in a row; but what has waited long must
// not wait for ever behind what keeps coming.
func TestWorkOfHighPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCommitter(NewClient("127.0.0.1:1", Limits{RPS: 1, WriteRPS: 1, TxnOps: 1}, nil), func([]wire.Op, uint64) {})
		add := func(key string, it Item) {
			it.Ops = []wire.Op{Set(key, 1)}
			go func() { _, _ = c.Do(t.Context(), it) }()
			synctest.Wait()
		}
		add("old", Item{})
		time.Sleep(tuning.SoonPatience + time.Second)
		add("lazy", Item{Lazy: true})
		add("other", Item{})
		add("soon", Item{Soon: true})
		add("urgent", Item{Urgent: true})
		var got []string
		for range 5 {
			batch := c.take(1)
			got = append(got, batch[0].Ops[0].Key())
			batch[0].done <- outcome{}
		}
		if want := []string{"urgent", "old", "soon", "other", "lazy"}; !slices.Equal(got, want) {
			t.Errorf("order %v, want %v", got, want)
		}
	})
}

// TestWhatCannotHoldIsNotSent: changes whose guards are known to have passed are refused here, the
// others are sent, and those that wait behind them don't wait for the budget that they would have taken.
func TestWhatCannotHoldIsNotSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := NewCommitter(NewClient("127.0.0.1:1", Limits{RPS: 1000, WriteRPS: 2, Share: 1, TxnOps: 1}, slow(time.Millisecond)), func([]wire.Op, uint64) {})
			c.Follow(passed(5))
			type result struct {
				stale bool
				err   error
				at    time.Duration
			}
			start, results := time.Now(), make(chan result, 40)
			stamps := rapid.SliceOfN(rapid.Uint64Range(3, 7), 1, 40).Draw(rt, "stamps")
			fresh := 0
			for i, s := range stamps {
				if s >= 5 {
					fresh++
				}
				go func() {
					_, err := c.Do(ctx, Item{Guards: []wire.Condition{{Key: "p", ModRevision: s}}, Ops: []wire.Op{Set(fmt.Sprint(i), 1)}})
					results <- result{s < 5, err, time.Since(start)}
				}()
			}
			synctest.Wait()
			go func() { _ = c.Run(ctx) }()
			c.poke()
			last := time.Duration(0)
			for range stamps {
				r := <-results
				if r.stale != errors.Is(r.err, ErrGuard) || !r.stale && r.err != nil {
					rt.Errorf("stale %v: %v", r.stale, r.err)
				}
				last = max(last, r.at)
			}
			if most := time.Duration(fresh+2) * 500 * time.Millisecond; last > most {
				rt.Errorf("%d of %d changes took %v", fresh, len(stamps), last)
			}
			cancel()
		})
	})
}

// passed is a view in which all stamps below a number have passed; it shows nothing of what is sent.
type passed uint64

func (p passed) Stale(g wire.Condition) bool              { return g.ModRevision < uint64(p) }
func (p passed) Applied([]wire.Op, uint64) (uint64, bool) { return 0, false }
func (p passed) Sending([]wire.Op) uint64                 { return 0 }
func (p passed) Sent([]wire.Op)                           {}

// deafening carries transactions out into a cache and answers none.
type deafening struct {
	cache *Cache
	rev   uint64
	after time.Duration // until the watch shows them; 0: they are not carried out
}

func (d *deafening) RoundTrip(req *http.Request) (*http.Response, error) {
	if d.after > 0 {
		b, _ := io.ReadAll(req.Body)
		var txn wire.TxnRequest
		if err := wire.Decode(b, &txn); err != nil {
			return nil, err
		}
		time.Sleep(d.after)
		d.rev++
		news := wire.WatchResponse{Revision: d.rev}
		for _, o := range txn.Ops {
			// The service keeps values, not our bytes.
			if o.PutKey != "" {
				var v any
				if err := wire.Decode(o.Value, &v); err != nil {
					return nil, err
				}
				m := v.(map[any]any)
				o.Value = wire.MustEncode(map[string]any{"z": m["z"], "a": float64(m["a"].(uint64)), "m": m["m"]})
			}
			news.Events = append(news.Events, wire.Event{PutKey: o.PutKey, DeleteKey: o.DeleteKey, Value: o.Value, ModRevision: d.rev})
		}
		d.cache.apply(d.rev-1, news, time.Now())
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestLostAnswerIsLearnedFromTheView: a transaction that was carried out and whose answer is lost is known
// as soon as the watch shows it; one of which nothing shows stays unknown, neither done nor failed.
func TestLostAnswerIsLearnedFromTheView(t *testing.T) {
	for name, c := range map[string]struct {
		after, least, most time.Duration
		want               error
	}{
		"shown at once":   {10 * time.Millisecond, tuning.AnswerLate, tuning.AnswerLate + tuning.AnswerLook, nil},
		"shown later":     {600 * time.Millisecond, 600 * time.Millisecond, 600*time.Millisecond + 2*tuning.AnswerLook, nil},
		"not carried out": {0, tuning.StateTimeout, tuning.StateTimeout + time.Second, ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				d := &deafening{after: c.after}
				client := NewClient("127.0.0.1:1", Limits{RPS: 100, WriteRPS: 100, TxnOps: 8}, d)
				d.cache = NewCache(client, "s/", mapSink{}, slog.New(slog.DiscardHandler))
				told := uint64(0)
				m := NewCommitter(client, func(_ []wire.Op, rev uint64) { told = rev })
				m.Follow(d.cache)
				go func() { _ = m.Run(ctx) }()
				d.cache.apply(0, wire.WatchResponse{Revision: 1, Events: []wire.Event{{PutKey: "s/b", Value: wire.MustEncode(1), ModRevision: 1}}}, time.Now())
				d.rev = 1
				start := time.Now()
				rev, err := m.Do(ctx, Item{Guards: []wire.Condition{{Key: "s/a"}}, Ops: []wire.Op{Set("s/a", struct {
					A int            `cbor:"a"`
					M map[string]int `cbor:"m"`
					Z []string       `cbor:"z"`
				}{4, map[string]int{"x": 1, "y": 2}, []string{"b"}}), Drop("s/b")}})
				if took := time.Since(start); !errors.Is(err, c.want) || took < c.least || took > c.most {
					t.Errorf("%v after %v", err, took)
				}
				if err == nil && (rev != 2 || told != 2) {
					t.Errorf("revision %d, told %d", rev, told)
				}
				cancel()
			})
		})
	}
}
