package api

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Job ids used in tests.
const (
	testJobID  = "run-000001"
	otherJobID = "run-000002"
)

// initialRevision is the revision of the records that tests put into the cluster state, except with putAt.
const initialRevision = 7

// fakeBackend implements Reader, Committer, ReadBarrier and AgentRegistry on a cluster state without a store.
type fakeBackend struct {
	state        *clusterstate.State
	finalRecords map[string]record.Final
	barrierErr   error
	commitErr    error
	onBarrier    func() // called by each read barrier, to update the cluster state; may be nil
	barriers     int
	committed    []kvstore.Transaction
	onCommit     func() // called by each commit that succeeds, to update the cluster state; may be nil
}

func (b *fakeBackend) Get(_ context.Context, key string) (wire.KeyValue, error) {
	final, ok := b.finalRecords[key]
	if !ok {
		return wire.KeyValue{}, kvstore.ErrNotFound
	}
	return wire.KeyValue{Value: wire.MustEncode(final)}, nil
}

func (b *fakeBackend) Commit(_ context.Context, transaction kvstore.Transaction) (uint64, error) {
	b.committed = append(b.committed, transaction)
	if b.commitErr == nil && b.onCommit != nil {
		b.onCommit()
	}
	return 1, b.commitErr
}

func (b *fakeBackend) MaxRecordBytes() int         { return 1700 }
func (b *fakeBackend) UpcomingMaxRecordBytes() int { return 1700 }

func (b *fakeBackend) WaitForReadBarrier(context.Context) error {
	b.barriers++
	if b.onBarrier != nil {
		b.onBarrier()
	}
	return b.barrierErr
}

func (b *fakeBackend) CompleteAsOf() time.Time { return time.Now() }

func (b *fakeBackend) HandleHeartbeat(*wire.Heartbeat) agent.HeartbeatResult {
	return agent.HeartbeatResult{
		Outcome: agent.HeartbeatRenewed, Response: wire.HeartbeatResponse{FencingToken: 1},
	}
}

// put puts a record into the cluster state at initialRevision.
func (b *fakeBackend) put(key string, value any) { b.putAt(key, value, initialRevision) }

func (b *fakeBackend) putAt(key string, value any, modRevision uint64) {
	b.state.BeginUpdate()
	b.state.Put(key, wire.MustEncode(value), modRevision)
	b.state.EndUpdate()
}

// setRevision sets the revision up to which the cluster state has every change. It is initialRevision at first.
func (b *fakeBackend) setRevision(revision uint64) {
	b.state.BeginUpdate()
	b.state.SetRevision(revision)
	b.state.EndUpdate()
}

func (b *fakeBackend) putJob(job record.Job) {
	b.put(record.JobKey(job.Spec.ID), job)
}

func (b *fakeBackend) putSchemaVersion(version int) {
	b.put(record.SchemaVersionKey, record.SchemaVersion{Version: version})
}

func (b *fakeBackend) putFinalRecord(id string, state wire.JobState) {
	b.finalRecords[record.FinalKey(id)] = record.Final{Status: state}
}

// testSpec returns the description of a job that the test servers accept.
func testSpec() wire.JobSpec {
	return wire.JobSpec{
		ID: testJobID, Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 2,
		CPUs: 4, GPUs: 1, MemoryGB: 8, Image: "i", ImageSizeGB: 1,
	}
}

// testServer is the handler of a server and its fake backend.
type testServer struct {
	*fakeBackend
	handler http.Handler
}

// newTestServer returns a server that knows the machine types and has no retry limits.
func newTestServer() *testServer {
	server := newServerWithoutCatalog(&config.Operator{})
	server.putCatalog()
	return server
}

func newServerWithoutCatalog(operator *config.Operator) *testServer {
	logger := slog.New(slog.DiscardHandler)
	backend := &fakeBackend{
		state:        clusterstate.New(3, logger),
		finalRecords: map[string]record.Final{},
	}
	backend.setRevision(initialRevision)
	settings := &config.Settings{}
	settings.Deployment.Teams = []config.Team{{Name: "t", GPUsMax: 2}}
	server := New(Config{
		Settings: settings, Operator: operator, ClusterState: backend.state,
		Reader: backend, Committer: backend, Barrier: backend, Agents: backend, Logger: logger,
	})
	return &testServer{fakeBackend: backend, handler: server.Handler()}
}

func (b *fakeBackend) putCatalog() {
	b.put(record.CatalogKey, wire.Catalog{Types: []wire.MachineType{
		{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, Zones: []string{"z"}},
	}})
}

// statusWithoutRetryAfter is returned by send for a 503 response without a Retry-After header.
const statusWithoutRetryAfter = -1

// send serves one request and returns the HTTP status and the job state of the response, if it has one.
func (s *testServer) send(method, path string, body []byte) (int, wire.JobState) {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(body)))
	var response wire.JobStatus
	_ = wire.Decode(recorder.Body.Bytes(), &response) // other responses have no state
	if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
		return statusWithoutRetryAfter, response.State
	}
	return recorder.Code, response.State
}

func (s *testServer) submit(body []byte) (int, wire.JobState) {
	return s.send(http.MethodPost, "/v1/jobs", body)
}

func (s *testServer) poll(id string) (int, wire.JobState) {
	return s.send(http.MethodGet, "/v1/jobs/"+id, nil)
}

func (s *testServer) cancel(id string) (int, wire.JobState) {
	return s.send(http.MethodPost, "/v1/jobs/"+id+"/abort", nil)
}
