package scheduler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// unansweredBindings is the transport of a key-value store that never answers a transaction that binds a task, and
// answers all others.
type unansweredBindings struct {
	fenced        bool // the shard's record has been rewritten
	releasedEarly bool // the binding was no longer in flight before the rewrite
	engine        *Engine
}

// RoundTrip implements http.RoundTripper.
func (f *unansweredBindings) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Path != "/multi" {
		return okResponse(wire.WatchResponse{Revision: 1000}), nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	var transaction wire.TxnRequest
	if err := wire.Decode(body, &transaction); err != nil {
		return nil, err
	}
	for _, op := range transaction.Ops {
		if strings.HasPrefix(op.PutKey, record.JobKey("")) {
			<-request.Context().Done()
			return nil, request.Context().Err()
		}
		f.recordFence()
	}
	return okResponse(wire.TxnResponse{Revision: 1000}), nil
}

// recordFence records that the shard is fenced, and whether the binding was released before.
func (f *unansweredBindings) recordFence() {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	f.fenced = true
	changes := &f.engine.changes
	if !changes.inFlight(record.JobKey("run-1")) || len(changes.changes) == 0 {
		f.releasedEarly = true
	}
}

// okResponse returns a response with status 200 and an encoded value.
func okResponse(value any) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(wire.MustEncode(value)))}
}

// useTransport sends an engine's transactions through a transport.
func useTransport(fixture *testCluster, engine *Engine, node string, transport http.RoundTripper) {
	limits := kvstore.Limits{RequestsPerSecond: 1000, WritesPerSecond: 1000, MaxValueKiB: 16, MaxTransactionOps: 32}
	client := kvstore.NewClient("10.0.0.1:1", limits, transport)
	log := slog.New(slog.DiscardHandler)
	engine.committer = kvstore.NewCommitter(client, func([]wire.Op, uint64) {})
	engine.membership = membership.New(membership.Config{
		NodeName: node, Incarnation: 1, NodeNames: []string{node}, SchemaVersion: tuning.SchemaVersion,
		Client: client, Committer: engine.committer, ClusterState: fixture.cluster, Logger: log,
		Cache: kvstore.NewWatchCache(client, record.LivePrefix, fixture.cluster, log),
	})
}

// TestUnknownOutcomeIsFenced checks that a binding whose transaction gets no response counts as in flight until its
// shard is fenced. The store may still apply the transaction, even after newer ones. Its capacity, its team's quota
// and its record therefore stay in use until the shard's record has been rewritten, after which its condition can no
// longer hold. If they were released earlier, the team's grant could be lowered below what the binding uses.
func TestUnknownOutcomeIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newTestCluster(t)
		name := fixture.addMachine(1, false)
		shard := record.ShardOf(name, testShards)
		engine := fixture.engines[shard]
		transport := &unansweredBindings{engine: engine}
		useTransport(fixture, engine, fmt.Sprintf("node-%d", shard), transport)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = engine.committer.Run(ctx) }()
		key := record.JobKey("run-1")
		change := &recordChange{
			kind: changeOfTasks, subject: "run-1", keys: []string{key}, shards: []int{shard},
			bindings: []inFlightBinding{{
				task: record.TaskRef{JobID: "run-1"}, machine: name, chargedShard: shard, team: "t",
				need: record.Resources{GPUs: 1},
			}},
			transaction: kvstore.Transaction{
				Conditions: []wire.Condition{{Key: record.ShardKey(shard)}},
				Ops:        []wire.Op{kvstore.PutOp(key, 1)},
			},
		}
		engine.mu.Lock()
		id := engine.changes.start(change)
		engine.mu.Unlock()
		finished := make(chan struct{})
		go func() {
			engine.commitChange(ctx, id, change)
			close(finished)
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-finished
		if !transport.fenced || transport.releasedEarly {
			t.Errorf("fenced: %v, released before the fence: %v", transport.fenced, transport.releasedEarly)
		}
	})
}
