package membership_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/simulation"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// errLost is the failure of a request whose answer is lost.
var errLost = errors.New("connection lost")

// storeTransport hands requests to a fake store.
type storeTransport struct {
	store       http.Handler
	isCut       atomic.Bool // requests don't reach the store
	losesCommit atomic.Bool // transactions are applied, and their answers lost
}

func (s *storeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.isCut.Load() {
		return nil, errLost
	}
	inner := request.Clone(request.Context())
	if inner.Body == nil {
		inner.Body = http.NoBody
	}
	recorder := httptest.NewRecorder()
	s.store.ServeHTTP(recorder, inner)
	if s.losesCommit.Load() && request.URL.Path == "/multi" {
		return nil, errLost
	}
	return recorder.Result(), nil
}

// testNode is a node of a cluster of one, with one shard.
type testNode struct {
	name      string
	store     *simulation.FakeKV
	transport *storeTransport
	state     *clusterstate.State
	committer *kvstore.Committer
	member    *membership.Member
	stop      func() // and waits
}

func startNode(t *testing.T) *testNode {
	t.Helper()
	const writesPerSecond, maxOps, maxValueKiB = 1000, 32, 16
	logger := slog.New(slog.DiscardHandler)
	node := &testNode{
		name: "node-0",
		store: simulation.NewFakeKV(config.KVLimits{
			RPS: writesPerSecond, WriteRPS: writesPerSecond, TxnOps: maxOps, ValueKB: maxValueKiB,
		}),
		state: clusterstate.New(1, logger),
	}
	node.transport = &storeTransport{store: node.store}
	client := kvstore.NewClient("127.0.0.1:1", kvstore.Limits{
		RequestsPerSecond: writesPerSecond, WritesPerSecond: writesPerSecond,
		MaxValueKiB: maxValueKiB, MaxTransactionOps: maxOps,
	}, node.transport)
	cache := kvstore.NewWatchCache(client, record.LivePrefix, node.state, logger)
	node.committer = kvstore.NewCommitter(client, cache.ApplyOwn)
	node.committer.SetObserver(cache)
	node.member = membership.New(membership.Config{
		NodeName: node.name, Incarnation: 1, NodeNames: []string{node.name}, SchemaVersion: tuning.SchemaVersion,
		Client: client, Committer: node.committer, Cache: cache, ClusterState: node.state, Logger: logger,
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for _, run := range []func(context.Context) error{cache.Run, node.committer.Run, node.member.Run} {
		group.Go(func() error { return run(ctx) })
	}
	node.stop = func() {
		cancel()
		if err := group.Wait(); !errors.Is(err, context.Canceled) {
			t.Errorf("stopped with %v", err)
		}
	}
	return node
}

// ownership is the node's claim to its shard.
func (n *testNode) ownership() (membership.Ownership, bool) {
	n.state.RLock()
	defer n.state.RUnlock()
	return n.member.Ownership(0)
}

// registration is the session that the store has for the node; ok is false if
// it has none.
func (n *testNode) registration(t *testing.T) (session record.Node, ok bool) {
	t.Helper()
	entry := n.store.Row(record.NodeKey(n.name))
	if entry.ModRevision == 0 {
		return session, false
	}
	if err := wire.Decode(entry.Value, &session); err != nil {
		t.Fatal(err)
	}
	return session, true
}

// TestSessionIsKept: a node is registered while it runs, again after its lease
// has expired or another registration has taken its place, and no longer once
// it has stopped.
func TestSessionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := startNode(t)
		isRegistered := func() bool {
			session, ok := node.registration(t)
			return ok && session.Incarnation == 1 && session.SchemaVersion == tuning.SchemaVersion
		}
		time.Sleep(2 * tuning.SessionRenewInterval)
		if !isRegistered() {
			t.Error("not registered at first")
		}
		node.transport.isCut.Store(true)
		time.Sleep(tuning.SessionTTL + tuning.SessionRenewInterval)
		node.transport.isCut.Store(false)
		time.Sleep(3 * tuning.SessionRenewInterval)
		if !isRegistered() {
			t.Error("not registered after the lease has expired")
		}
		// Only a process of an earlier version writes so, without a condition on
		// what stands there; here it names it.
		key := record.NodeKey(node.name)
		_, err := node.committer.Commit(t.Context(), kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: node.store.Row(key).ModRevision}},
			Ops:        []wire.Op{kvstore.PutOp(key, record.Node{Incarnation: 9})},
		})
		if err != nil || isRegistered() {
			t.Fatalf("not replaced: %v", err)
		}
		time.Sleep(3 * tuning.SessionRenewInterval)
		if !isRegistered() {
			t.Error("not registered after another registration")
		}
		node.stop()
		if _, ok := node.registration(t); ok {
			t.Error("registered after the end")
		}
	})
}

// TestFenceFailsEarlierTransactions: after a fence, what was decided on the
// shard's earlier record can't be applied any more, and only the fence that
// raises the token changes it. This holds too where the answers to the fence's
// own transactions are lost; until it is known to hold, the node doesn't own
// the shard.
func TestFenceFailsEarlierTransactions(t *testing.T) {
	for name, losesCommit := range map[string]bool{"answers come": false, "answers are lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := startNode(t)
				time.Sleep(3 * tuning.SessionRenewInterval)
				before, owns := node.ownership()
				if !owns {
					t.Fatal("the shard isn't taken over")
				}
				node.transport.losesCommit.Store(losesCommit)
				node.member.Fence(t.Context(), 0)
				kept, owns := node.ownership()
				if !owns || kept.FencingToken != before.FencingToken || kept.ModRevision <= before.ModRevision {
					t.Errorf("after a fence %+v, %v; before %+v", kept, owns, before)
				}
				node.member.FenceAndRaiseToken(t.Context(), 0)
				raised, owns := node.ownership()
				// A fence that is tried again, since its answer was lost, raises the token again.
				raisedBy := raised.FencingToken - before.FencingToken
				if !owns || raisedBy < 1 || raisedBy > 1 && !losesCommit {
					t.Errorf("after a fence that raises the token %+v, %v; before %+v", raised, owns, before)
				}
				node.transport.losesCommit.Store(false)
				for _, earlier := range []membership.Ownership{before, kept} {
					_, err := node.committer.Commit(t.Context(), kvstore.Transaction{
						Conditions: []wire.Condition{{Key: record.ShardKey(0), ModRevision: earlier.ModRevision}},
						Ops:        []wire.Op{kvstore.PutOp("s/x", 1)},
					})
					if !errors.Is(err, kvstore.ErrConditionFailed) {
						t.Errorf("a transaction on the record of %+v: %v", earlier, err)
					}
				}
				node.transport.isCut.Store(true)
				ctx, cancel := context.WithCancel(t.Context())
				fenced := make(chan struct{})
				go func() {
					node.member.Fence(ctx, 0)
					close(fenced)
				}()
				synctest.Wait()
				if _, owns := node.ownership(); owns {
					t.Error("owns the shard while a fence runs")
				}
				cancel()
				<-fenced
				node.transport.isCut.Store(false)
				node.stop()
			})
		})
	}
}
