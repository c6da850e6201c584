package kvstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// delayedTransport is an http.RoundTripper that answers every transaction after this delay, at revision 7.
type delayedTransport time.Duration

func (d delayedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	time.Sleep(time.Duration(d))
	body := wire.MustEncode(wire.TxnResponse{Revision: 7})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// TestCommitWaitsForTransactionInFlight checks that Commit returns the result of a
// transaction whose context ends while it is in flight, not ErrOutcomeUnknown. Each
// unknown outcome makes the node fence the shard, which fails all its other
// changes. Before Commit waited, a node fenced shards 200 times in two minutes.
func TestCommitWaitsForTransactionInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		client := NewClient(testAddress, Limits{
			RequestsPerSecond: 100, WritesPerSecond: 100, MaxTransactionOps: 8,
		}, delayedTransport(400*time.Millisecond))
		committer := NewCommitter(client, ignoreApplied)
		go func() { _ = committer.Run(ctx) }()
		shortCtx, stopShort := context.WithTimeout(ctx, 100*time.Millisecond)
		revision, err := committer.Commit(shortCtx, Transaction{
			Ops: []wire.Op{PutOp("a", 1)}, Priority: PriorityBackground,
		})
		stopShort()
		if revision != 7 || err != nil {
			t.Errorf("revision %d, error %v, want revision 7", revision, err)
		}
		cancel()
	})
}

// TestHighPriorityTransactionsGoFirst checks the order of the queue. While the
// write budget is the bottleneck, a change waits for seconds, and a DAG needs
// several changes in a row, so changes of high priority are sent first. A change
// that has waited for long is raised to a higher priority, so that new ones don't
// delay it forever.
func TestHighPriorityTransactionsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		committer := NewCommitter(NewClient(testAddress, minimalLimits, nil), ignoreApplied)
		enqueue := func(key string, priority Priority) {
			transaction := Transaction{Ops: []wire.Op{PutOp(key, 1)}, Priority: priority}
			go func() { _, _ = committer.Commit(t.Context(), transaction) }()
			synctest.Wait()
		}
		enqueue("old", PriorityNormal)
		time.Sleep(tuning.NormalTxnMaxWait + time.Second)
		enqueue("background", PriorityBackground)
		enqueue("normal", PriorityNormal)
		enqueue("high", PriorityHigh)
		enqueue("urgent", PriorityUrgent)
		var got []string
		for range 5 {
			transactions := committer.takeBatch(1)
			got = append(got, transactions[0].Ops[0].Key())
			transactions[0].finish(0, nil)
		}
		if want := []string{"urgent", "old", "high", "normal", "background"}; !slices.Equal(got, want) {
			t.Errorf("order %v, want %v", got, want)
		}
	})
}

// outdatedBelow is a WatchObserver for which all conditions below this revision are
// outdated. It never finds an applied transaction.
type outdatedBelow uint64

func (o outdatedBelow) IsOutdated(condition wire.Condition) bool {
	return condition.ModRevision < uint64(o)
}
func (o outdatedBelow) FindApplied([]wire.Op, uint64) (uint64, bool) { return 0, false }
func (o outdatedBelow) TrackInFlight([]wire.Op) uint64               { return 0 }
func (o outdatedBelow) UntrackInFlight([]wire.Op)                    {}

// TestOutdatedTransactionsAreNotSent checks that the committer itself fails the
// transactions with outdated conditions and sends the others, and that the outdated
// ones use no write budget, which would delay the others.
func TestOutdatedTransactionsAreNotSent(t *testing.T) {
	const firstCurrent = 5
	type result struct {
		outdated bool
		err      error
		duration time.Duration
	}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			client := NewClient(testAddress, Limits{
				RequestsPerSecond: 1000, WritesPerSecond: 2, BudgetShare: 1, MaxTransactionOps: 1,
			}, delayedTransport(time.Millisecond))
			committer := NewCommitter(client, ignoreApplied)
			committer.SetObserver(outdatedBelow(firstCurrent))
			startedAt, results := time.Now(), make(chan result, 40)
			modRevisions := rapid.SliceOfN(rapid.Uint64Range(3, 7), 1, 40).Draw(rt, "mod revisions")
			current := 0
			for i, modRevision := range modRevisions {
				if modRevision >= firstCurrent {
					current++
				}
				go func() {
					_, err := committer.Commit(ctx, Transaction{
						Conditions: []wire.Condition{{Key: "p", ModRevision: modRevision}},
						Ops:        []wire.Op{PutOp(fmt.Sprint(i), 1)},
					})
					results <- result{modRevision < firstCurrent, err, time.Since(startedAt)}
				}()
			}
			synctest.Wait()
			go func() { _ = committer.Run(ctx) }()
			committer.wakeWorker()
			longest := time.Duration(0)
			for range modRevisions {
				r := <-results
				if r.outdated != errors.Is(r.err, ErrConditionFailed) || !r.outdated && r.err != nil {
					rt.Errorf("transaction with outdated condition %v: error %v", r.outdated, r.err)
				}
				longest = max(longest, r.duration)
			}
			if most := time.Duration(current+2) * 500 * time.Millisecond; longest > most {
				rt.Errorf("%d of %d transactions are not outdated; the slowest took %v",
					current, len(modRevisions), longest)
			}
			cancel()
		})
	})
}

// testRecord is a value that has several encodings; see reencode.
type testRecord struct {
	A int            `cbor:"a"`
	M map[string]int `cbor:"m"`
	Z []string       `cbor:"z"`
}

// lostResponseTransport applies transactions, shows them to a cache as a watch
// would, and never responds.
type lostResponseTransport struct {
	cache      *WatchCache
	revision   uint64
	watchDelay time.Duration // until the watch shows a transaction; 0: it is not applied
}

func (t *lostResponseTransport) RoundTrip(httpRequest *http.Request) (*http.Response, error) {
	if t.watchDelay > 0 {
		if err := t.applyLate(httpRequest.Body); err != nil {
			return nil, err
		}
	}
	<-httpRequest.Context().Done()
	return nil, httpRequest.Context().Err()
}

func (t *lostResponseTransport) applyLate(body io.Reader) error {
	encoded, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var transaction wire.TxnRequest
	if err := wire.Decode(encoded, &transaction); err != nil {
		return err
	}
	time.Sleep(t.watchDelay)
	t.revision++
	watchResponse := wire.WatchResponse{Revision: t.revision}
	for _, op := range transaction.Ops {
		value, err := reencode(op)
		if err != nil {
			return err
		}
		watchResponse.Events = append(watchResponse.Events, wire.Event{
			PutKey: op.PutKey, DeleteKey: op.DeleteKey, Value: value, ModRevision: t.revision,
		})
	}
	t.cache.applyWatch(t.revision-1, watchResponse, time.Now())
	return nil
}

// reencode returns the value of a put in another encoding, since the store keeps
// values and may encode them differently.
func reencode(op wire.Op) (wire.RawValue, error) {
	if op.PutKey == "" {
		return op.Value, nil
	}
	var value any
	if err := wire.Decode(op.Value, &value); err != nil {
		return nil, err
	}
	fields := value.(map[any]any)
	return wire.MustEncode(map[string]any{
		"z": fields["z"], "a": float64(fields["a"].(uint64)), "m": fields["m"],
	}), nil
}

// TestLostResponseIsResolvedByWatch checks transactions whose response is lost. One
// that was applied succeeds as soon as the watch shows it; the outcome of one that
// the watch doesn't show is unknown, neither success nor failure.
func TestLostResponseIsResolvedByWatch(t *testing.T) {
	for name, c := range map[string]struct {
		watchDelay, least, most time.Duration
		want                    error
	}{
		"shown at once": {10 * time.Millisecond, tuning.TxnOutcomePollDelay,
			tuning.TxnOutcomePollDelay + tuning.TxnOutcomePollInterval, nil},
		"shown later": {600 * time.Millisecond, 600 * time.Millisecond,
			600*time.Millisecond + 2*tuning.TxnOutcomePollInterval, nil},
		"not applied": {0, tuning.KVRequestTimeout, tuning.KVRequestTimeout + time.Second, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				transport := &lostResponseTransport{watchDelay: c.watchDelay}
				client, cache := newTestCache(transport, Limits{
					RequestsPerSecond: 100, WritesPerSecond: 100, MaxTransactionOps: 8,
				}, mapSink{})
				transport.cache = cache
				appliedAt := uint64(0)
				committer := NewCommitter(client, func(_ []wire.Op, revision uint64) { appliedAt = revision })
				committer.SetObserver(cache)
				go func() { _ = committer.Run(ctx) }()
				cache.applyWatch(0, wire.WatchResponse{Revision: 1, Events: []wire.Event{
					{PutKey: "s/b", Value: wire.MustEncode(1), ModRevision: 1},
				}}, time.Now())
				transport.revision = 1
				startedAt := time.Now()
				revision, err := committer.Commit(ctx, Transaction{
					Conditions: []wire.Condition{{Key: "s/a"}},
					Ops: []wire.Op{
						PutOp("s/a", testRecord{4, map[string]int{"x": 1, "y": 2}, []string{"b"}}),
						DeleteOp("s/b"),
					},
				})
				if took := time.Since(startedAt); !errors.Is(err, c.want) || took < c.least || took > c.most {
					t.Errorf("unexpected error %v or duration %v", err, took)
				}
				if err == nil && (revision != 2 || appliedAt != 2) {
					t.Errorf("Commit returned revision %d, onApplied received %d, want 2", revision, appliedAt)
				}
				cancel()
			})
		})
	}
}
