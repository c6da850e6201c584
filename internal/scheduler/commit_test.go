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

// unansweredBindings is a key-value store that answers no transaction that binds a task, and carries out all others.
type unansweredBindings struct {
	fenced        bool // the shard's record was written again
	releasedEarly bool // the binding's record was open to others before that
	engine        *Engine
}

// RoundTrip answers a request.
func (f *unansweredBindings) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Path != "/multi" {
		return answerOK(wire.WatchResponse{Revision: 1000}), nil
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
		f.noteFence()
	}
	return answerOK(wire.TxnResponse{Revision: 1000}), nil
}

// noteFence notes that the shard is fenced, and whether the binding still counts.
func (f *unansweredBindings) noteFence() {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	f.fenced = true
	changes := &f.engine.changes
	if !changes.inFlight(record.JobKey("run-1")) || len(changes.changes) == 0 {
		f.releasedEarly = true
	}
}

// answerOK is a response with a value.
func answerOK(value any) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(wire.MustEncode(value)))}
}

// useTransport has an engine's transactions answered by a transport.
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

// TestUnknownOutcomeIsFenced: a binding whose transaction gets no answer may yet be carried out, after newer ones. Its
// room, its team's share and its record count as taken until the shard's record has been written anew, which its
// condition does not outlive. Freed before, a grant could be lowered under it.
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
			bindings: []pendingBinding{{
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
			t.Errorf("fenced: %v, freed before: %v", transport.fenced, transport.releasedEarly)
		}
	})
}
