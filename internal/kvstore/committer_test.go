package kvstore

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

// delayedTransport answers every transaction after a while.
type delayedTransport time.Duration

func (s delayedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(s))
	body := wire.MustEncode(wire.TxnResponse{Revision: 7})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// TestOutcomeOnItsWayIsWaitedFor: a change whose time runs out while its
// transaction is on its way is not unknown yet. Each unknown outcome makes a node
// fence its part, which fails all its other changes: one node once did so two
// hundred times in two minutes.
func TestCommitWaitsForTransactionInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewCommitter(NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100, MaxTransactionOps: 8}, delayedTransport(400*time.Millisecond)), func([]wire.Op, uint64) {})
		go func() { _ = c.Run(ctx) }()
		short, done := context.WithTimeout(ctx, 100*time.Millisecond)
		rev, err := c.Commit(short, Transaction{Ops: []wire.Op{PutOp("a", 1)}, Background: true})
		done()
		if rev != 7 || err != nil {
			t.Errorf("revision %d, %v", rev, err)
		}
		cancel()
	})
}

// statusTransport answers every request with one.
type statusTransport int

func (s statusTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Body: http.NoBody}, nil
}

// TestRefusalsLowerThePace: a service whose limit has fallen without notice refuses
// what is beyond; nodes that kept their pace would be refused for ever. The pace
// has a floor, comes back, and small transactions are made from the start.
func TestRejectionsReduceTheWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 1000, WritesPerSecond: 100, MaxValueKiB: 16, MaxTransactionOps: 32}, statusTransport(http.StatusTooManyRequests))
		c.SetUpcomingLimits(Limits{RequestsPerSecond: 1000, WritesPerSecond: 60, MaxValueKiB: 2, MaxTransactionOps: 10})
		if c.MaxTransactionOps() != 10 || c.writeLimiter.Limit() != 100 || c.MaxRecordBytes() <= c.UpcomingMaxRecordBytes() {
			t.Errorf("before: %d changes, %v a second, room %d", c.MaxTransactionOps(), c.writeLimiter.Limit(), c.MaxRecordBytes())
		}
		c.ApplyUpcomingLimits()
		if c.writeLimiter.Limit() != 60 || c.MaxRecordBytes() != c.UpcomingMaxRecordBytes() {
			t.Errorf("lowered: %v a second, room %d", c.writeLimiter.Limit(), c.MaxRecordBytes())
		}
		for range 100 {
			_, _ = c.ExecuteTransaction(t.Context(), wire.TxnRequest{}, false)
		}
		if got := c.writeLimiter.Limit(); got != 60*tuning.PaceCut {
			t.Errorf("one bad moment lowered the pace to %v", got)
		}
		for range 30 {
			time.Sleep(tuning.PaceHold)
			_, _ = c.ExecuteTransaction(t.Context(), wire.TxnRequest{}, false)
		}
		if got := float64(c.writeLimiter.Limit()); math.Abs(got-60*tuning.PaceLeast) > 1e-9 {
			t.Errorf("lasting refusals left %v", got)
		}
		for range 60 {
			time.Sleep(2 * tuning.PaceHold)
			c.SetBudgetShare(1)
		}
		if got := c.writeLimiter.Limit(); got != 60 {
			t.Errorf("the pace came back to %v", got)
		}
	})
}

// TestWorkOfHighPriorityGoesFirst: while the budget is the bottleneck a change waits
// for seconds, and a pipeline has several in a row; but what has waited long must
// not wait for ever behind what keeps coming.
func TestHighPriorityTransactionsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCommitter(NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: 1}, nil), func([]wire.Op, uint64) {})
		add := func(key string, it Transaction) {
			it.Ops = []wire.Op{PutOp(key, 1)}
			go func() { _, _ = c.Commit(t.Context(), it) }()
			synctest.Wait()
		}
		add("old", Transaction{})
		time.Sleep(tuning.SoonPatience + time.Second)
		add("lazy", Transaction{Background: true})
		add("other", Transaction{})
		add("soon", Transaction{HighPriority: true})
		add("urgent", Transaction{Urgent: true})
		var got []string
		for range 5 {
			batch := c.takeBatch(1)
			got = append(got, batch[0].Ops[0].Key())
			batch[0].result <- commitResult{}
		}
		if want := []string{"urgent", "old", "soon", "other", "lazy"}; !slices.Equal(got, want) {
			t.Errorf("order %v, want %v", got, want)
		}
	})
}

// TestWhatCannotHoldIsNotSent: changes whose guards are known to have passed are refused here, the
// others are sent, and those that wait behind them don't wait for the budget that they would have taken.
func TestOutdatedTransactionsAreNotSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := NewCommitter(NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 1000, WritesPerSecond: 2, BudgetShare: 1, MaxTransactionOps: 1}, delayedTransport(time.Millisecond)), func([]wire.Op, uint64) {})
			c.SetObserver(outdatedBelow(5))
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
					_, err := c.Commit(ctx, Transaction{Conditions: []wire.Condition{{Key: "p", ModRevision: s}}, Ops: []wire.Op{PutOp(fmt.Sprint(i), 1)}})
					results <- result{s < 5, err, time.Since(start)}
				}()
			}
			synctest.Wait()
			go func() { _ = c.Run(ctx) }()
			c.wakeWorker()
			last := time.Duration(0)
			for range stamps {
				r := <-results
				if r.stale != errors.Is(r.err, ErrConditionFailed) || !r.stale && r.err != nil {
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

// outdatedBelow is a view in which all stamps below a number have passed; it shows nothing of what is sent.
type outdatedBelow uint64

func (p outdatedBelow) IsOutdated(g wire.Condition) bool             { return g.ModRevision < uint64(p) }
func (p outdatedBelow) FindApplied([]wire.Op, uint64) (uint64, bool) { return 0, false }
func (p outdatedBelow) TrackInFlight([]wire.Op) uint64               { return 0 }
func (p outdatedBelow) UntrackInFlight([]wire.Op)                    {}

// unansweringTransport carries transactions out into a cache and answers none.
type unansweringTransport struct {
	cache      *WatchCache
	revision   uint64
	watchDelay time.Duration // until the watch shows them; 0: they are not carried out
}

func (d *unansweringTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if d.watchDelay > 0 {
		b, _ := io.ReadAll(req.Body)
		var txn wire.TxnRequest
		if err := wire.Decode(b, &txn); err != nil {
			return nil, err
		}
		time.Sleep(d.watchDelay)
		d.revision++
		news := wire.WatchResponse{Revision: d.revision}
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
			news.Events = append(news.Events, wire.Event{PutKey: o.PutKey, DeleteKey: o.DeleteKey, Value: o.Value, ModRevision: d.revision})
		}
		d.cache.applyWatch(d.revision-1, news, time.Now())
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestLostAnswerIsLearnedFromTheView: a transaction that was carried out and whose answer is lost is known
// as soon as the watch shows it; one of which nothing shows stays unknown, neither done nor failed.
func TestLostResponseIsLearnedFromTheWatch(t *testing.T) {
	for name, c := range map[string]struct {
		after, least, most time.Duration
		want               error
	}{
		"shown at once":   {10 * time.Millisecond, tuning.AnswerLate, tuning.AnswerLate + tuning.AnswerLook, nil},
		"shown later":     {600 * time.Millisecond, 600 * time.Millisecond, 600*time.Millisecond + 2*tuning.AnswerLook, nil},
		"not carried out": {0, tuning.StateTimeout, tuning.StateTimeout + time.Second, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				d := &unansweringTransport{watchDelay: c.after}
				client := NewClient("127.0.0.1:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100, MaxTransactionOps: 8}, d)
				d.cache = NewWatchCache(client, "s/", mapSink{}, slog.New(slog.DiscardHandler))
				told := uint64(0)
				m := NewCommitter(client, func(_ []wire.Op, rev uint64) { told = rev })
				m.SetObserver(d.cache)
				go func() { _ = m.Run(ctx) }()
				d.cache.applyWatch(0, wire.WatchResponse{Revision: 1, Events: []wire.Event{{PutKey: "s/b", Value: wire.MustEncode(1), ModRevision: 1}}}, time.Now())
				d.revision = 1
				start := time.Now()
				rev, err := m.Commit(ctx, Transaction{Conditions: []wire.Condition{{Key: "s/a"}}, Ops: []wire.Op{PutOp("s/a", struct {
					A int            `cbor:"a"`
					M map[string]int `cbor:"m"`
					Z []string       `cbor:"z"`
				}{4, map[string]int{"x": 1, "y": 2}, []string{"b"}}), DeleteOp("s/b")}})
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
