package api

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// fakeBackend stands in for the state service behind the handlers.
type fakeBackend struct {
	state        *clusterstate.State
	finalRecords map[string]record.Final
	barrierErr   error
	commitErr    error
	onBarrier    func() // what the barrier brings into the view
	barriers     int
	committed    []kvstore.Transaction
	onCommit     func(kvstore.Transaction) // what a change brings into the view
	revision     uint64                    // the view's revision
}

func (o *fakeBackend) Get(_ context.Context, key string) (wire.KeyValue, error) {
	f, ok := o.finalRecords[key]
	if !ok {
		return wire.KeyValue{}, kvstore.ErrNotFound
	}
	return wire.KeyValue{Value: wire.MustEncode(f)}, nil
}

func (o *fakeBackend) Commit(_ context.Context, it kvstore.Transaction) (uint64, error) {
	o.committed = append(o.committed, it)
	if o.commitErr == nil && o.onCommit != nil {
		o.onCommit(it)
	}
	return 1, o.commitErr
}

func (o *fakeBackend) MaxRecordBytes() int         { return 1700 }
func (o *fakeBackend) UpcomingMaxRecordBytes() int { return 1700 }

func (o *fakeBackend) WaitForReadBarrier(context.Context) error {
	o.barriers++
	if o.onBarrier != nil {
		o.onBarrier()
	}
	return o.barrierErr
}

func (o *fakeBackend) CompleteAsOf() time.Time { return time.Now() }

func (o *fakeBackend) Revision() uint64 { return o.revision }

func (o *fakeBackend) HandleHeartbeat(*wire.Heartbeat) agent.HeartbeatResult {
	return agent.HeartbeatResult{
		Outcome: agent.HeartbeatRenewed, Response: wire.HeartbeatResponse{FencingToken: 1},
	}
}

func (o *fakeBackend) put(key string, v any) {
	o.state.BeginUpdate()
	o.state.Put(key, wire.MustEncode(v), 7)
	o.state.EndUpdate()
}

func testSpec() wire.JobSpec {
	return wire.JobSpec{ID: "run-000001", Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 2,
		CPUs: 4, GPUs: 1, MemoryGB: 8, Image: "i", ImageSizeGB: 1}
}

func newTestServer(catalog bool) (*fakeBackend, http.Handler) {
	return newTestServerWith(catalog, &config.Operator{})
}

func newTestServerWith(catalog bool, op *config.Operator) (*fakeBackend, http.Handler) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	o := &fakeBackend{state: clusterstate.New(3, log), finalRecords: map[string]record.Final{}, revision: 7}
	set := &config.Settings{}
	set.Deployment.Teams = []config.Team{{Name: "t", GPUsMax: 2}}
	if catalog {
		o.put(record.CatalogKey, wire.Catalog{Types: []wire.MachineType{{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, Zones: []string{"z"}}}})
	}
	return o, New(Config{
		Settings: set, Operator: op, ClusterState: o.state, Reader: o, Committer: o, Barrier: o, Agents: o, Logger: log,
	}).Handler()
}

func send(h http.Handler, method, path string, body []byte) (int, wire.JobStatus) {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(method, path, bytes.NewReader(body)))
	var st wire.JobStatus
	_ = wire.Decode(rec.Body.Bytes(), &st)
	if rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "" {
		return -1, st
	}
	return rec.Code, st
}

func TestSubmissions(t *testing.T) {
	change := func(f func(*wire.JobSpec)) []byte {
		s := testSpec()
		f(&s)
		return wire.MustEncode(s)
	}
	same := change(func(*wire.JobSpec) {})
	over := record.Final{Status: wire.JobDone, TaskCount: 2, DoneCount: 2}
	for name, c := range map[string]struct {
		body  []byte
		set   func(*fakeBackend)
		bare  bool
		want  int
		state wire.JobState
	}{
		"accepted":         {same, nil, false, 201, wire.JobPending},
		"not cbor":         {[]byte("{}"), nil, false, 400, ""},
		"too large":        {append(same, make([]byte, tuning.BodyLimit)...), nil, false, 400, ""},
		"unknown team":     {change(func(s *wire.JobSpec) { s.Team = "x" }), nil, false, 422, ""},
		"fits nowhere":     {change(func(s *wire.JobSpec) { s.CPUs = 9 }), nil, false, 422, ""},
		"no such zone":     {change(func(s *wire.JobSpec) { s.Zone = "x" }), nil, false, 422, ""},
		"gang over limit":  {change(func(s *wire.JobSpec) { s.Kind, s.TaskCount = wire.KindGang, 3 }), nil, false, 422, ""},
		"array over limit": {change(func(s *wire.JobSpec) { s.TaskCount = 300 }), nil, false, 201, wire.JobPending},
		"types unknown":    {same, nil, true, 503, ""},
		"state away":       {same, func(o *fakeBackend) { o.commitErr = kvstore.ErrUnavailable }, false, 503, ""},
		"no answer":        {same, func(o *fakeBackend) { o.commitErr = kvstore.ErrOutcomeUnknown }, false, 503, ""},
		"repeated later": {same, func(o *fakeBackend) {
			o.commitErr = kvstore.ErrConditionFailed
			o.finalRecords[record.FinalKey("run-000001")] = over
		}, false, 200, wire.JobDone},
		// The first body stands, even if the repeated one could never run.
		"repeated otherwise": {change(func(s *wire.JobSpec) { s.CPUs = 99 }), func(o *fakeBackend) {
			o.finalRecords[record.FinalKey("run-000001")] = over
		}, false, 200, wire.JobDone},
		"repeated otherwise, unsure": {change(func(s *wire.JobSpec) { s.CPUs = 99 }), func(o *fakeBackend) { o.barrierErr = kvstore.ErrUnavailable }, false, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			o, h := newTestServer(!c.bare)
			if c.set != nil {
				c.set(o)
			}
			if status, st := send(h, http.MethodPost, "/v1/jobs", c.body); status != c.want || st.State != c.state {
				t.Errorf("%d %q, want %d %q", status, st.State, c.want, c.state)
			}
		})
	}
}

// TestRepeats: a job may ask for as many repeats as its class allows or fewer; more is
// refused as any job that can never run. Nothing is accepted with a limit before all nodes
// count, and where no class limits repeats the field means nothing, as before.
func TestRetryLimits(t *testing.T) {
	limited := &config.Operator{Classes: []config.Class{{Name: "c", Repeats: 3}}}
	body := func(class string, repeats any) []byte {
		var fields map[string]any
		s := testSpec()
		s.Class = class
		if err := wire.Decode(wire.MustEncode(s), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["repeats"] = repeats; repeats == nil {
			delete(fields, "repeats")
		}
		return wire.MustEncode(fields)
	}
	for name, c := range map[string]struct {
		op    *config.Operator
		level int
		body  []byte
		want  int
		limit int // -1: none is recorded
	}{
		"its class's":          {limited, tuning.LevelRepeats, body("c", nil), 201, 3},
		"fewer":                {limited, tuning.LevelRepeats, body("c", 1), 201, 1},
		"none":                 {limited, tuning.LevelRepeats, body("c", 0), 201, 0},
		"more":                 {limited, tuning.LevelRepeats, body("c", 4), 422, -1},
		"absurd":               {limited, tuning.LevelRepeats, body("c", -1), 400, -1},
		"no number":            {limited, tuning.LevelRepeats, body("c", "3"), 400, -1},
		"a class without":      {limited, tuning.LevelRepeats, body("d", nil), 201, -1},
		"asked, class without": {limited, tuning.LevelRepeats, body("d", 9), 201, 9},
		"before all count":     {limited, tuning.LevelRepeats - 1, body("c", nil), 201, -1},
		"asked before":         {limited, tuning.LevelRepeats - 1, body("c", 1), 503, -1},
		"more, before":         {limited, tuning.LevelRepeats - 1, body("c", 4), 422, -1},
		"off":                  {&config.Operator{}, tuning.LevelRepeats, body("c", 4), 201, -1},
		"off, no number":       {&config.Operator{}, tuning.LevelRepeats, body("c", "3"), 201, -1},
	} {
		t.Run(name, func(t *testing.T) {
			o, h := newTestServerWith(true, c.op)
			o.put(record.SchemaVersionKey, record.SchemaVersion{Version: c.level})
			if status, _ := send(h, http.MethodPost, "/v1/jobs", c.body); status != c.want {
				t.Fatalf("%d, want %d", status, c.want)
			}
			limit := -1
			if c.want == 201 {
				var rec record.Job
				if err := wire.Decode(o.committed[0].Ops[0].Value, &rec); err != nil {
					t.Fatal(err)
				}
				if rec.Spec.MaxRetries != nil {
					limit = *rec.Spec.MaxRetries
				}
			}
			if limit != c.limit {
				t.Errorf("limit %d, want %d", limit, c.limit)
			}
		})
	}
}

// TestFailedJobIsOver: a job that ended itself is called failed once no task of it is left,
// to those who poll and to those who cancel; until then it runs.
func TestFailedJobIsFinalWithoutTasks(t *testing.T) {
	o, h := newTestServer(true)
	rec := record.Job{Spec: testSpec(), CancelledAtMs: 5, CancelAfterRelease: true, Failed: true,
		Tasks: []record.Task{{Index: 1, State: record.TaskBound, Attempt: 1, Machine: "m", Session: 1}}}
	o.put(record.JobKey("run-000001"), rec)
	if status, st := send(h, http.MethodGet, "/v1/jobs/run-000001", nil); status != 200 || st.State != wire.JobRunning {
		t.Errorf("with a task on a machine: %d %q", status, st.State)
	}
	rec.Tasks = nil
	o.put(record.JobKey("run-000001"), rec)
	if status, st := send(h, http.MethodGet, "/v1/jobs/run-000001", nil); status != 200 || st.State != wire.JobFailed {
		t.Errorf("%d %q", status, st.State)
	}
	if status, st := send(h, http.MethodPost, "/v1/jobs/run-000001/abort", nil); status != 200 || st.State != wire.JobFailed {
		t.Errorf("cancelled: %d %q", status, st.State)
	}
}

func TestStatusRequests(t *testing.T) {
	o, h := newTestServer(true)
	if status, _ := send(h, http.MethodGet, "/v1/jobs/run-000009", nil); status != 404 || o.barriers != 1 {
		t.Errorf("unknown job: %d after %d barriers", status, o.barriers)
	}
	o.barrierErr = kvstore.ErrUnavailable
	if status, _ := send(h, http.MethodGet, "/v1/jobs/run-000009", nil); status != 503 {
		t.Errorf("unsure: %d", status)
	}
	o.barrierErr = nil
	// The view lags: only the barrier brings the cancellation another node told.
	o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec()})
	o.onBarrier = func() {
		o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), CancelledAtMs: 5})
	}
	if status, st := send(h, http.MethodGet, "/v1/jobs/run-000001", nil); status != 200 || st.State != wire.JobCancelled {
		t.Errorf("%d %q", status, st.State)
	}
	if status, _ := send(h, http.MethodGet, "/v1/jobs/nonsense", nil); status != 404 {
		t.Errorf("bad id: %d", status)
	}
}

func TestCancellations(t *testing.T) {
	o, h := newTestServer(true)
	if status, _ := send(h, http.MethodPost, "/v1/jobs/run-000009/abort", nil); status != 404 {
		t.Errorf("unknown job: %d", status)
	}
	o.finalRecords[record.FinalKey("run-000002")] = record.Final{Status: wire.JobDone}
	if status, st := send(h, http.MethodPost, "/v1/jobs/run-000002/abort", nil); status != 200 || st.State != wire.JobDone {
		t.Errorf("done job: %d %q", status, st.State)
	}
	o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec()})
	if status, st := send(h, http.MethodPost, "/v1/jobs/run-000001/abort", nil); status != 200 || st.State != wire.JobCancelled || len(o.committed) != 1 {
		t.Errorf("live job: %d %q, %d writes", status, st.State, len(o.committed))
	}
	if g := o.committed[0].Conditions; !slices.Contains(g, wire.Condition{Key: record.JobKey("run-000001"), ModRevision: 7}) {
		t.Errorf("guards %+v", g)
	}
	o.commitErr = kvstore.ErrOutcomeUnknown
	if status, _ := send(h, http.MethodPost, "/v1/jobs/run-000001/abort", nil); status != 503 {
		t.Errorf("no answer: %d", status)
	}
}

// TestCancellationIsToldOnceCertain: while a task of the job may be on a machine, or the
// view may lack a binding from just before the cancellation, neither the request
// nor a poll is told `cancelled`: a controller behind a cut might be renewing its lease.
func TestCancellationIsConfirmedAfterRelease(t *testing.T) {
	synctest.Test(t, cancellationIsConfirmedAfterRelease)
}

func cancellationIsConfirmedAfterRelease(t *testing.T) {
	bound := []record.Task{{State: record.TaskBound, Attempt: 1, Machine: "vm-000001", Session: 1}}
	abort := func(h http.Handler) (int, wire.JobStatus) {
		return send(h, http.MethodPost, "/v1/jobs/run-000001/abort", nil)
	}
	poll := func(h http.Handler) wire.JobState {
		status, st := send(h, http.MethodGet, "/v1/jobs/run-000001", nil)
		if status == http.StatusServiceUnavailable {
			return "unsure"
		}
		return st.State
	}
	o, h := newTestServer(true)
	o.put(record.SchemaVersionKey, record.SchemaVersion{Version: tuning.LevelCertain})
	o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), Tasks: bound})
	o.onCommit = func(kvstore.Transaction) {
		o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), Tasks: bound, CancelledAtMs: 5, CancelAfterRelease: true})
	}
	if status, _ := abort(h); status != 503 || len(o.committed) != 1 {
		t.Errorf("a task is on a machine: %d, %d writes", status, len(o.committed))
	}
	if st := poll(h); st != wire.JobRunning {
		t.Errorf("a task is on a machine: %q", st)
	}
	if status, _ := abort(h); status != 503 || len(o.committed) != 1 {
		t.Errorf("asked again: %d, %d writes", status, len(o.committed))
	}
	o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), CancelledAtMs: 5, CancelAfterRelease: true})
	if o.revision = 6; poll(h) == wire.JobCancelled {
		t.Error("told though the view may lack a binding")
	}
	o.revision = 7
	if status, st := abort(h); status != 200 || st.State != wire.JobCancelled || poll(h) != wire.JobCancelled {
		t.Errorf("no task is left: %d %q", status, st.State)
	}
	// The exit is seen while the request waits.
	o, h = newTestServer(true)
	o.put(record.SchemaVersionKey, record.SchemaVersion{Version: tuning.LevelCertain})
	o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), Tasks: bound})
	o.onCommit = func(kvstore.Transaction) {
		o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), CancelledAtMs: 5, CancelAfterRelease: true})
	}
	if status, st := abort(h); status != 200 || st.State != wire.JobCancelled {
		t.Errorf("left while it waits: %d %q", status, st.State)
	}
}

// TestCancelledAtItsEnd: the last task of a job with several records ends in a change of a further one,
// with which a cancellation at that moment does not collide. Such a job is done, for every node and every
// question, since users may have been told so before it was marked; what awaits it may start. Once it was
// called cancelled, and done when the leader had ended it.
func TestCancellationAtCompletion(t *testing.T) {
	const tasks = tuning.ChunkTasks + 2
	s := testSpec()
	s.TaskCount = tasks
	first := make([]record.Task, tuning.ChunkTasks)
	for i := range first {
		first[i] = record.Task{Index: i, State: record.TaskDone, Attempt: 1}
	}
	last := func(state record.TaskState) record.FixedChunk {
		return record.FixedChunk{Tasks: []record.Task{{Index: tasks - 2, State: record.TaskDone, Attempt: 1}, {Index: tasks - 1, State: state, Attempt: 1, Machine: "vm-000001", Session: 1}}}
	}
	live, marked := record.Job{Spec: s, Tasks: first}, record.Job{Spec: s, Tasks: first, CancelledAtMs: 5, CancelAfterRelease: true}
	ended := func(o *fakeBackend) {
		o.put(record.FixedChunkKey(s.ID, 1), last(record.TaskDone))
		o.put(record.JobKey(s.ID), marked)
	}
	for name, set := range map[string]func(*fakeBackend){
		"before it is marked":    ended,
		"while it is":            func(o *fakeBackend) { o.onCommit = func(kvstore.Transaction) { ended(o) } },
		"complete, not yet over": func(o *fakeBackend) { o.put(record.FixedChunkKey(s.ID, 1), last(record.TaskDone)) },
	} {
		t.Run(name, func(t *testing.T) {
			o, h := newTestServer(true)
			o.put(record.SchemaVersionKey, record.SchemaVersion{Version: tuning.LevelCertain})
			o.put(record.JobKey(s.ID), live)
			o.put(record.FixedChunkKey(s.ID, 1), last(record.TaskBound))
			set(o)
			for _, q := range [][2]string{{http.MethodPost, "/abort"}, {http.MethodGet, ""}, {http.MethodPost, "/abort"}} {
				if status, st := send(h, q[0], "/v1/jobs/"+s.ID+q[1], nil); status != 200 || st.State != wire.JobDone {
					t.Errorf("%s%s: %d %q, want done", q[0], q[1], status, st.State)
				}
			}
			o.state.RLock()
			defer o.state.RUnlock()
			if want := name == "while it is"; want != (len(o.committed) == 1) {
				t.Errorf("%d changes", len(o.committed))
			}
		})
	}
}

// TestCancellationBesideOlderVersions: nodes of the version before tell cancellations at
// once. Until all nodes tell them late the new ones do as they do, or a poll would call a
// job running that was called cancelled, as it did on days with an upgrade; the level
// guards such a cancellation. What was told before stays told; of what can't be told from
// the late change of a process that is gone neither is said.
func TestCancellationWithOlderVersions(t *testing.T) {
	bound := []record.Task{{State: record.TaskBound, Attempt: 1, Machine: "vm-000001", Session: 1}}
	old := record.Job{Spec: testSpec(), Tasks: bound, CancelledAtMs: 5}
	poll := func(h http.Handler) (int, wire.JobState) {
		status, st := send(h, http.MethodGet, "/v1/jobs/run-000001", nil)
		return status, st.State
	}
	o, h := newTestServer(true)
	o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), Tasks: bound})
	status, st := send(h, http.MethodPost, "/v1/jobs/run-000001/abort", nil)
	if status != 200 || st.State != wire.JobCancelled {
		t.Fatalf("not all nodes tell late: %d %q", status, st.State)
	}
	if g := o.committed[0].Conditions; !slices.Contains(g, wire.Condition{Key: record.SchemaVersionKey}) {
		t.Errorf("the level does not guard it: %+v", g)
	}
	o.put(record.JobKey("run-000001"), old)
	if status, st := poll(h); status != 200 || st != wire.JobCancelled {
		t.Errorf("told by another node: %d %q", status, st)
	}
	o.put(record.SchemaVersionKey, record.SchemaVersion{Version: tuning.LevelCertain}) // at the same stamp: after it
	if status, st := poll(h); status != 200 || st != wire.JobCancelled {
		t.Errorf("told before the level: %d %q", status, st)
	}
	o.state.BeginUpdate()
	o.state.Put(record.JobKey("run-000001"), wire.MustEncode(old), 8)
	o.state.EndUpdate()
	if status, st := poll(h); status != 503 {
		t.Errorf("written after the level without its mark: %d %q", status, st)
	}
}

// TestAwaits: what a submission awaits must have been accepted, by live or final
// record after a barrier; unsure is 503, never 422. Before all nodes know of
// awaited jobs none is accepted.
func TestDependencies(t *testing.T) {
	body := func(ids ...string) []byte {
		s := testSpec()
		s.Dependencies = ids
		return wire.MustEncode(s)
	}
	live := func(kind wire.JobKind) func(*fakeBackend) {
		return func(o *fakeBackend) {
			s := testSpec()
			s.ID, s.Kind = "run-000002", kind
			o.put(record.JobKey(s.ID), record.Job{Spec: s, SubmittedAtMs: 1})
		}
	}
	for name, c := range map[string]struct {
		body  []byte
		level int
		set   func(*fakeBackend)
		want  int
	}{
		"too soon":               {body("run-000002"), 0, live(wire.KindArray), 503},
		"none":                   {body(), 0, nil, 201},
		"live":                   {body("run-000002"), 1, live(wire.KindArray), 201},
		"live after the barrier": {body("run-000002"), 1, func(o *fakeBackend) { o.onBarrier = func() { live(wire.KindGang)(o) } }, 201},
		"over": {body("run-000002"), 1, func(o *fakeBackend) {
			o.finalRecords[record.FinalKey("run-000002")] = record.Final{Status: wire.JobDone}
		}, 201},
		"over by cancellation": {body("run-000002"), 1, func(o *fakeBackend) {
			o.finalRecords[record.FinalKey("run-000002")] = record.Final{Status: wire.JobCancelled}
		}, 201},
		"never accepted":     {body("run-000002"), 1, nil, 422},
		"one never accepted": {body("run-000002", "run-000003"), 1, live(wire.KindArray), 422},
		"unsure":             {body("run-000002"), 1, func(o *fakeBackend) { o.barrierErr = kvstore.ErrUnavailable }, 503},
		"service":            {body("run-000002"), 1, live(wire.KindService), 422},
		"itself":             {body("run-000001"), 1, nil, 422},
		"twice":              {body("run-000002", "run-000002"), 1, live(wire.KindArray), 400},
		"no id":              {body("x"), 1, nil, 400},
		"too many": {body(func() (ids []string) {
			for i := range 200 {
				ids = append(ids, fmt.Sprintf("run-%06d", i+2))
			}
			return
		}()...), 1, nil, 422},
		// The id is taken by a job that awaits nothing: this is not its repetition.
		"another's id": {body("run-000002"), 1, func(o *fakeBackend) {
			live(wire.KindArray)(o)
			o.put(record.JobKey("run-000001"), record.Job{Spec: testSpec(), SubmittedAtMs: 1})
		}, 422},
		"repeated, other order": {body("run-000003", "run-000002"), 1, func(o *fakeBackend) {
			s := testSpec()
			s.Dependencies = []string{"run-000002", "run-000003"}
			live(wire.KindArray)(o)
			s2 := testSpec()
			s2.ID = "run-000003"
			o.put(record.JobKey(s2.ID), record.Job{Spec: s2, SubmittedAtMs: 1})
			o.put(record.JobKey(s.ID), record.Job{Spec: s, SubmittedAtMs: 1})
		}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			o, h := newTestServer(true)
			o.put(record.SchemaVersionKey, record.SchemaVersion{Version: c.level})
			if c.set != nil {
				c.set(o)
			}
			status, _ := send(h, http.MethodPost, "/v1/jobs", c.body)
			if status != c.want || (status == 201) != (len(o.committed) == 1) {
				t.Errorf("status %d with %d changes, want %d", status, len(o.committed), c.want)
			}
		})
	}
}

// TestFallingJobIsNotCalledWaiting: between the cancellation of a job and the record
// of one that needs it, a poll must not call that one pending.
func TestDependentOfCancelledJobIsNotPending(t *testing.T) {
	o, h := newTestServer(true)
	first, second := testSpec(), testSpec()
	first.ID, second.Dependencies = "run-000002", []string{"run-000002"}
	o.put(record.JobKey(second.ID), record.Job{Spec: second, SubmittedAtMs: 1})
	if status, _ := send(h, http.MethodGet, "/v1/jobs/run-000001", nil); status != 503 {
		t.Errorf("status %d before it is known what became of the first", status)
	}
	o.put(record.JobKey(first.ID), record.Job{Spec: first, SubmittedAtMs: 1})
	if status, st := send(h, http.MethodGet, "/v1/jobs/run-000001", nil); status != 200 || st.State != wire.JobPending {
		t.Errorf("status %d, %s while the first is live", status, st.State)
	}
	o.put(record.JobKey(first.ID), record.Job{Spec: first, SubmittedAtMs: 1, CancelledAtMs: 2})
	if status, _ := send(h, http.MethodGet, "/v1/jobs/run-000001", nil); status != 503 {
		t.Errorf("status %d after the first was cancelled", status)
	}
}
