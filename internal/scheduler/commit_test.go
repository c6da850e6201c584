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

// unansweredBindings answers no transaction that binds a task, and carries out all others.
type unansweredBindings struct {
	fenced        bool // the part's record was written again
	releasedEarly bool // the binding's record was open to others before that
	engine        *Engine
}

func (f *unansweredBindings) RoundTrip(req *http.Request) (*http.Response, error) {
	answer := func(v any) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(wire.MustEncode(v)))}, nil
	}
	if req.URL.Path != "/multi" {
		return answer(wire.WatchResponse{Revision: 1000})
	}
	b, _ := io.ReadAll(req.Body)
	var txn wire.TxnRequest
	if err := wire.Decode(b, &txn); err != nil {
		return nil, err
	}
	for _, o := range txn.Ops {
		if strings.HasPrefix(o.PutKey, record.JobKey("")) {
			<-req.Context().Done()
			return nil, req.Context().Err()
		}
		f.engine.mu.Lock()
		if f.fenced = true; !f.engine.changes.inFlight(record.JobKey("run-1")) || len(f.engine.changes.changes) == 0 {
			f.releasedEarly = true
		}
		f.engine.mu.Unlock()
	}
	return answer(wire.TxnResponse{Revision: 1000})
}

// TestUnknownOutcomeIsFenced: a binding whose transaction gets no answer may yet be carried out, after newer ones.
// Its room, its team's share and its record count as taken until the part's record has been written anew, which
// its guard does not outlive. Freed before, a grant could be lowered under it.
func TestUnknownOutcomeIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newTestCluster(t)
		name := fixture.addMachine(1, false)
		shard := record.ShardOf(name, testShards)
		engine := fixture.engines[shard]
		transport := &unansweredBindings{engine: engine}
		client := kvstore.NewClient("10.0.0.1:1", kvstore.Limits{RequestsPerSecond: 1000, WritesPerSecond: 1000, MaxValueKiB: 16, MaxTransactionOps: 32}, transport)
		engine.committer = kvstore.NewCommitter(client, func([]wire.Op, uint64) {})
		node := fmt.Sprintf("node-%d", shard)
		discard := slog.New(slog.DiscardHandler)
		engine.membership = membership.New(membership.Config{
			NodeName: node, Incarnation: 1, NodeNames: []string{node}, SchemaVersion: tuning.Level,
			Client: client, Committer: engine.committer,
			Cache:        kvstore.NewWatchCache(client, record.LivePrefix, fixture.cluster, discard),
			ClusterState: fixture.cluster, Logger: discard,
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = engine.committer.Run(ctx) }()
		change := &recordChange{kind: changeOfTasks, subject: "run-1", keys: []string{record.JobKey("run-1")}, shards: []int{shard},
			bindings:    []pendingBinding{{record.TaskRef{JobID: "run-1"}, name, shard, "t", record.Resources{GPUs: 1}}},
			transaction: kvstore.Transaction{Conditions: []wire.Condition{{Key: record.ShardKey(shard)}}, Ops: []wire.Op{kvstore.PutOp(record.JobKey("run-1"), 1)}}}
		engine.mu.Lock()
		id := engine.changes.start(change)
		engine.mu.Unlock()
		done := make(chan struct{})
		go func() {
			engine.commitChange(ctx, id, change)
			close(done)
		}()
		time.Sleep(20 * time.Second)
		cancel()
		<-done
		if !transport.fenced || transport.releasedEarly {
			t.Errorf("fenced: %v, freed before: %v", transport.fenced, transport.releasedEarly)
		}
	})
}
