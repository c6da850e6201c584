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

// errConnectionLost is the error of a request whose response is lost.
var errConnectionLost = errors.New("connection lost")

// storeTransport passes requests to a fake store.
type storeTransport struct {
	store                http.Handler
	isPartitioned        atomic.Bool // requests don't reach the store
	losesCommitResponses atomic.Bool // transactions are applied, but their responses are lost
}

func (s *storeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if s.isPartitioned.Load() {
		return nil, errConnectionLost
	}
	inner := request.Clone(request.Context())
	if inner.Body == nil {
		inner.Body = http.NoBody
	}
	recorder := httptest.NewRecorder()
	s.store.ServeHTTP(recorder, inner)
	if s.losesCommitResponses.Load() && request.URL.Path == "/multi" {
		return nil, errConnectionLost
	}
	return recorder.Result(), nil
}

// testNode is the only node of a cluster with one shard.
type testNode struct {
	name      string
	store     *simulation.FakeKV
	transport *storeTransport
	state     *clusterstate.State
	committer *kvstore.Committer
	member    *membership.Member
	stop      func() // stops the node and waits for its goroutines
}

// startNode starts a node with an empty fake store.
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
			t.Errorf("node stopped with error %v", err)
		}
	}
	return node
}

// ownership returns the node's ownership of its shard.
func (n *testNode) ownership() (membership.Ownership, bool) {
	n.state.RLock()
	defer n.state.RUnlock()
	return n.member.Ownership(0)
}

// registration returns the node's session record in the store; ok is false if
// there is none.
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

// TestSessionIsKept checks that a node is registered while it runs, that it
// registers again after its lease has expired or its registration was replaced,
// and that it is no longer registered after it has stopped.
func TestSessionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := startNode(t)
		isRegistered := func() bool {
			session, ok := node.registration(t)
			return ok && session.Incarnation == 1 && session.SchemaVersion == tuning.SchemaVersion
		}
		time.Sleep(2 * tuning.SessionRenewInterval)
		if !isRegistered() {
			t.Error("not registered after the start")
		}
		node.transport.isPartitioned.Store(true)
		time.Sleep(tuning.SessionTTL + tuning.SessionRenewInterval)
		node.transport.isPartitioned.Store(false)
		time.Sleep(3 * tuning.SessionRenewInterval)
		if !isRegistered() {
			t.Error("not registered after the lease has expired")
		}
		// Replace the registration, as a process of an earlier version may do. Such a
		// process writes without a condition; this transaction is conditional on the
		// current record.
		key := record.NodeKey(node.name)
		replacedAt, err := node.committer.Commit(t.Context(), kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: node.store.Row(key).ModRevision}},
			Ops:        []wire.Op{kvstore.PutOp(key, record.Node{Incarnation: 9})},
		})
		// The node may register again at the same instant of the fake clock, which shows in the record's revision.
		synctest.Wait()
		registeredAgain := func() bool { return node.store.Row(key).ModRevision > replacedAt }
		if err != nil || isRegistered() != registeredAgain() {
			t.Fatalf("not replaced: %v", err)
		}
		time.Sleep(3 * tuning.SessionRenewInterval)
		if !isRegistered() || !registeredAgain() {
			t.Error("not registered after the registration was replaced")
		}
		node.stop()
		if _, ok := node.registration(t); ok {
			t.Error("still registered after the node has stopped")
		}
	})
}

// TestFenceFailsEarlierTransactions checks that after a fence no transaction that
// is conditional on the shard's earlier record can be applied, and that only
// FenceAndRaiseToken changes the fencing token. Both must also hold if the
// responses to the fence's own transactions are lost. While a fence runs, the
// node doesn't report that it owns the shard.
func TestFenceFailsEarlierTransactions(t *testing.T) {
	for name, losesCommitResponses := range map[string]bool{"responses arrive": false, "responses are lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := startNode(t)
				time.Sleep(3 * tuning.SessionRenewInterval)
				before, owns := node.ownership()
				if !owns {
					t.Fatal("the node doesn't own the shard")
				}
				node.transport.losesCommitResponses.Store(losesCommitResponses)
				node.member.Fence(t.Context(), 0)
				kept, owns := node.ownership()
				if !owns || kept.FencingToken != before.FencingToken || kept.ModRevision <= before.ModRevision {
					t.Errorf("ownership after a fence is %+v, %v; before it was %+v", kept, owns, before)
				}
				node.member.FenceAndRaiseToken(t.Context(), 0)
				raised, owns := node.ownership()
				// A fence that is retried because its response was lost raises the token again.
				raisedBy := raised.FencingToken - before.FencingToken
				if !owns || raisedBy < 1 || raisedBy > 1 && !losesCommitResponses {
					t.Errorf("ownership after a fence that raises the token is %+v, %v; before it was %+v",
						raised, owns, before)
				}
				node.transport.losesCommitResponses.Store(false)
				for _, earlier := range []membership.Ownership{before, kept} {
					_, err := node.committer.Commit(t.Context(), kvstore.Transaction{
						Conditions: []wire.Condition{{Key: record.ShardKey(0), ModRevision: earlier.ModRevision}},
						Ops:        []wire.Op{kvstore.PutOp("s/x", 1)},
					})
					if !errors.Is(err, kvstore.ErrConditionFailed) {
						t.Errorf("a transaction conditional on the record of %+v returned %v", earlier, err)
					}
				}
				node.transport.isPartitioned.Store(true)
				ctx, cancel := context.WithCancel(t.Context())
				fenced := make(chan struct{})
				go func() {
					node.member.Fence(ctx, 0)
					close(fenced)
				}()
				synctest.Wait()
				if _, owns := node.ownership(); owns {
					t.Error("the node reports that it owns the shard while a fence runs")
				}
				cancel()
				<-fenced
				node.transport.isPartitioned.Store(false)
				node.stop()
			})
		})
	}
}
