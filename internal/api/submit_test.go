package api

import (
	"net/http"
	"testing"

	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// encodeSpec returns the encoded description of a job that the test servers accept, after applying change to it.
func encodeSpec(change func(*wire.JobSpec)) []byte {
	spec := testSpec()
	change(&spec)
	return wire.MustEncode(spec)
}

// finishJob puts the final record of the test job into the store.
func finishJob(s *testServer) {
	s.finalRecords[record.FinalKey(testJobID)] = record.Final{
		Status: wire.JobDone, TaskCount: 2, DoneCount: 2,
	}
}

// TestNewSubmissions: a job that can run is accepted; a job that can never run is rejected.
func TestNewSubmissions(t *testing.T) {
	unchanged := encodeSpec(func(*wire.JobSpec) {})
	for name, c := range map[string]struct {
		body  []byte
		want  int
		state wire.JobState
	}{
		"accepted": {body: unchanged, want: http.StatusCreated, state: wire.JobPending},
		"not cbor": {body: []byte("{}"), want: http.StatusBadRequest},
		"too large": {body: append(unchanged, make([]byte, tuning.RequestBodyMaxBytes)...),
			want: http.StatusBadRequest},
		"unknown team": {
			body: encodeSpec(func(s *wire.JobSpec) { s.Team = "x" }),
			want: http.StatusUnprocessableEntity,
		},
		"fits nowhere": {
			body: encodeSpec(func(s *wire.JobSpec) { s.CPUs = 9 }),
			want: http.StatusUnprocessableEntity,
		},
		"no such zone": {
			body: encodeSpec(func(s *wire.JobSpec) { s.Zone = "x" }),
			want: http.StatusUnprocessableEntity,
		},
		"gang over limit": {
			body: encodeSpec(func(s *wire.JobSpec) { s.Kind, s.TaskCount = wire.KindGang, 3 }),
			want: http.StatusUnprocessableEntity,
		},
		"array over limit": {
			body: encodeSpec(func(s *wire.JobSpec) { s.TaskCount = 300 }),
			want: http.StatusCreated, state: wire.JobPending,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if status, state := newTestServer().submit(c.body); status != c.want || state != c.state {
				t.Errorf("status %d, state %q, want %d, %q", status, state, c.want, c.state)
			}
		})
	}
}

// TestSubmissionWithoutMachineTypes: no job is accepted while the machine types are not known.
func TestSubmissionWithoutMachineTypes(t *testing.T) {
	server := newServerWithoutCatalog(&config.Operator{})
	status, state := server.submit(encodeSpec(func(*wire.JobSpec) {}))
	if status != http.StatusServiceUnavailable || state != "" {
		t.Errorf("status %d, state %q, want 503 without a state", status, state)
	}
}

// TestRepeatedSubmissions: a repeated submission is answered with the state of the accepted job, even if its body
// differs from the first one. If it is uncertain whether the job was accepted the response is 503.
func TestRepeatedSubmissions(t *testing.T) {
	unchanged := encodeSpec(func(*wire.JobSpec) {})
	neverFits := encodeSpec(func(s *wire.JobSpec) { s.CPUs = 99 })
	for name, c := range map[string]struct {
		body    []byte
		prepare func(*testServer)
		want    int
		state   wire.JobState
	}{
		"store unavailable": {
			body:    unchanged,
			prepare: func(s *testServer) { s.commitErr = kvstore.ErrUnavailable },
			want:    http.StatusServiceUnavailable,
		},
		"unknown outcome of the commit": {
			body:    unchanged,
			prepare: func(s *testServer) { s.commitErr = kvstore.ErrOutcomeUnknown },
			want:    http.StatusServiceUnavailable,
		},
		"repeated after the job ended": {
			body:    unchanged,
			prepare: func(s *testServer) { s.commitErr = kvstore.ErrConditionFailed; finishJob(s) },
			want:    http.StatusOK, state: wire.JobDone,
		},
		"repeated with another body": {body: neverFits, prepare: finishJob, want: http.StatusOK, state: wire.JobDone},
		"repeated with another body, read barrier fails": {
			body:    neverFits,
			prepare: func(s *testServer) { s.barrierErr = kvstore.ErrUnavailable },
			want:    http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer()
			c.prepare(server)
			if status, state := server.submit(c.body); status != c.want || state != c.state {
				t.Errorf("status %d, state %q, want %d, %q", status, state, c.want, c.state)
			}
		})
	}
}

// noLimit is the expected limit of a record without a limit of retries.
const noLimit = -1

// submissionWithRetries returns an encoded submission that requests retries, or that lacks the field if retries is nil.
func submissionWithRetries(t *testing.T, class string, retries any) []byte {
	t.Helper()
	var fields map[string]any
	body := encodeSpec(func(s *wire.JobSpec) { s.Class = class })
	if err := wire.Decode(body, &fields); err != nil {
		t.Fatal(err)
	}
	if retries != nil {
		fields["repeats"] = retries
	}
	return wire.MustEncode(fields)
}

// TestRetryLimits: a job may request at most as many retries as its class allows; a request for more is rejected like
// a job that can never run. Before all nodes count failures no job with a requested limit is accepted. If no class
// limits retries the field is ignored.
func TestRetryLimits(t *testing.T) {
	limiting := &config.Operator{Classes: []config.Class{{Name: "c", MaxRetries: 3}}}
	const counted, notCounted = tuning.SchemaVersionRetries, tuning.SchemaVersionRetries - 1
	for name, c := range map[string]struct {
		operator *config.Operator
		version  int
		class    string
		retries  any
		want     int
		limit    int
	}{
		"limit of its class":              {limiting, counted, "c", nil, http.StatusCreated, 3},
		"fewer":                           {limiting, counted, "c", 1, http.StatusCreated, 1},
		"none":                            {limiting, counted, "c", 0, http.StatusCreated, 0},
		"more than its class":             {limiting, counted, "c", 4, http.StatusUnprocessableEntity, noLimit},
		"negative":                        {limiting, counted, "c", -1, http.StatusBadRequest, noLimit},
		"not a number":                    {limiting, counted, "c", "3", http.StatusBadRequest, noLimit},
		"class without limit":             {limiting, counted, "d", nil, http.StatusCreated, noLimit},
		"requested, without class limit":  {limiting, counted, "d", 9, http.StatusCreated, 9},
		"older schema version":            {limiting, notCounted, "c", nil, http.StatusCreated, noLimit},
		"requested, older schema version": {limiting, notCounted, "c", 1, http.StatusServiceUnavailable, noLimit},
		"more, older schema version":      {limiting, notCounted, "c", 4, http.StatusUnprocessableEntity, noLimit},
		"no limits":                       {&config.Operator{}, counted, "c", 4, http.StatusCreated, noLimit},
		"no limits, not a number":         {&config.Operator{}, counted, "c", "3", http.StatusCreated, noLimit},
	} {
		t.Run(name, func(t *testing.T) {
			server := newServerWithoutCatalog(c.operator)
			server.putCatalog()
			server.putSchemaVersion(c.version)
			if status, _ := server.submit(submissionWithRetries(t, c.class, c.retries)); status != c.want {
				t.Fatalf("status %d, want %d", status, c.want)
			}
			limit := noLimit
			if c.want == http.StatusCreated {
				limit = server.committedRetryLimit(t)
			}
			if limit != c.limit {
				t.Errorf("limit %d, want %d", limit, c.limit)
			}
		})
	}
}

// committedRetryLimit returns the retry limit in the first committed record.
func (b *fakeBackend) committedRetryLimit(t *testing.T) int {
	t.Helper()
	var job record.Job
	if err := wire.Decode(b.committed[0].Ops[0].Value, &job); err != nil {
		t.Fatal(err)
	}
	if job.Spec.MaxRetries == nil {
		return noLimit
	}
	return *job.Spec.MaxRetries
}
