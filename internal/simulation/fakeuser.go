package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// randomController draws a node.
func (r *Region) randomController() *Controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers[r.random.IntN(len(r.controllers))]
}

// query sends a user's question about a job to a node, and lets the oracle know the answer.
func (r *Region) query(ctx context.Context, controller *Controller, id, method, path string, body []byte, timeout time.Duration) (int, wire.JobState) {
	asked := time.Now()
	status, state := r.request(ctx, controller, method, path, body, timeout)
	r.Checker.AnswerReceivedTo(id, asked, status, state)
	return status, state
}

// request sends one user's request to one node and gives status and state.
func (r *Region) request(ctx context.Context, controller *Controller, method, path string, body []byte, timeout time.Duration) (int, wire.JobState) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+controller.Address+path, bytes.NewReader(body))
	resp, err := r.Network.Transport("users", func() bool { return true }).RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	b, _ := io.ReadAll(resp.Body)
	var st wire.JobStatus
	_ = wire.Decode(b, &st)
	return resp.StatusCode, st.State
}

// SimulateUser plays one job's user: submits, polls until it is over, cancels at a time
// if that is not zero, and asks again now and then.
func (r *Region) SimulateUser(ctx context.Context, spec wire.JobSpec, runSeconds float64, cancelAfter time.Duration) {
	r.SetRunTime(spec.ID, runSeconds)
	r.Checker.JobSubmitted(spec)
	body := wire.MustEncode(spec)
	start := time.Now()
	submit := func() bool {
		status, _ := r.query(ctx, r.randomController(), spec.ID, http.MethodPost, "/v1/jobs", body, 5*time.Second)
		return status == 200 || status == 201
	}
	for !submit() {
		time.Sleep(time.Second)
		if ctx.Err() != nil || time.Since(start) > 60*time.Second {
			return
		}
	}
	r.probeAllControllers(ctx, spec.ID, body)
	nextRetry := time.Now().Add(20 * time.Second)
	cancelled, final := false, false
	for ctx.Err() == nil {
		time.Sleep(5 * time.Second)
		if cancelAfter > 0 && time.Since(start) > cancelAfter && !cancelled {
			if cancelled = r.CancelJob(ctx, spec.ID); cancelled {
				r.probeAllControllers(ctx, spec.ID, body)
			}
			continue
		}
		if time.Now().After(nextRetry) {
			nextRetry = time.Now().Add(40 * time.Second)
			submit() // a late retry of an accepted submission
		}
		_, state := r.query(ctx, r.randomController(), spec.ID, http.MethodGet, "/v1/jobs/"+spec.ID, nil, 2*time.Second)
		if ends := state == wire.JobDone || state == wire.JobCancelled; ends && !final {
			final = true
			r.probeAllControllers(ctx, spec.ID, body)
		}
	}
}

// CancelJob asks once for a job to be cancelled, and tells whether its user was told an end.
func (r *Region) CancelJob(ctx context.Context, id string) bool {
	r.Checker.CancelRequested(id)
	sentAt := time.Now()
	status, state := r.request(ctx, r.randomController(), http.MethodPost, "/v1/jobs/"+id+"/abort", nil, 5*time.Second)
	if r.ConfirmsCancellationsEarly && status == http.StatusServiceUnavailable && r.cancelMarked(id) {
		// A planted defect: what is marked but not certain is told all the same.
		status, state = http.StatusOK, wire.JobCancelled
	}
	r.Checker.AnswerReceivedTo(id, sentAt, status, state)
	r.Log.Debug("user cancels", "job", id, "answer", status, "state", state)
	return status == http.StatusOK
}

// cancelMarked tells whether a job's record says that it is cancelled.
func (r *Region) cancelMarked(id string) bool {
	var rec record.Job
	return wire.Decode(r.KV.Row(record.JobKey(id)).Value, &rec) == nil && rec.CancelledAtMs != 0
}

// QueryUnknownJobs asks about jobs that nobody submitted.
func (r *Region) QueryUnknownJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(7 * time.Second)
		id := fmt.Sprintf("run-9%05d", i)
		r.query(ctx, r.randomController(), id, http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second)
	}
}
