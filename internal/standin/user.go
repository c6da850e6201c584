package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// any draws a node.
func (r *Region) any() *Controller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[r.rnd.IntN(len(r.nodes))]
}

// ask sends a user's question about a job to a node, and lets the oracle know the answer.
func (r *Region) ask(ctx context.Context, n *Controller, id, method, path string, body []byte, timeout time.Duration) (int, string) {
	asked := time.Now()
	status, state := r.call(ctx, n, method, path, body, timeout)
	r.Oracle.AnswerTo(id, asked, status, state)
	return status, state
}

// call sends one user's request to one node and gives status and state.
func (r *Region) call(ctx context.Context, n *Controller, method, path string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.Address+path, bytes.NewReader(body))
	resp, err := r.Net.From("users", func() bool { return true }).RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	b, _ := io.ReadAll(resp.Body)
	var st wire.Status
	_ = wire.Decode(b, &st)
	return resp.StatusCode, st.Status
}

// User plays one job's user: submits, polls until it is over, cancels at a time
// if that is not zero, and asks again now and then.
func (r *Region) User(ctx context.Context, spec wire.Spec, runS float64, cancelAfter time.Duration) {
	r.Running(spec.ID, runS)
	r.Oracle.Submitted(spec)
	body := wire.MustEncode(spec)
	start := time.Now()
	submit := func() bool {
		status, _ := r.ask(ctx, r.any(), spec.ID, http.MethodPost, "/v1/jobs", body, 5*time.Second)
		return status == 200 || status == 201
	}
	for !submit() {
		time.Sleep(time.Second)
		if ctx.Err() != nil || time.Since(start) > 60*time.Second {
			return
		}
	}
	r.look(ctx, spec.ID, body)
	again := time.Now().Add(20 * time.Second)
	cancelled, over := false, false
	for ctx.Err() == nil {
		time.Sleep(5 * time.Second)
		if cancelAfter > 0 && time.Since(start) > cancelAfter && !cancelled {
			if cancelled = r.Abort(ctx, spec.ID); cancelled {
				r.look(ctx, spec.ID, body)
			}
			continue
		}
		if time.Now().After(again) {
			again = time.Now().Add(40 * time.Second)
			submit() // a late retry of an accepted submission
		}
		_, state := r.ask(ctx, r.any(), spec.ID, http.MethodGet, "/v1/jobs/"+spec.ID, nil, 2*time.Second)
		if ends := state == wire.JobDone || state == wire.JobCancelled; ends && !over {
			over = true
			r.look(ctx, spec.ID, body)
		}
	}
}

// Abort asks once for a job to be cancelled, and tells whether its user was told an end.
func (r *Region) Abort(ctx context.Context, id string) bool {
	r.Oracle.Cancelling(id)
	asked := time.Now()
	status, state := r.call(ctx, r.any(), http.MethodPost, "/v1/jobs/"+id+"/abort", nil, 5*time.Second)
	if r.Rash && status == http.StatusServiceUnavailable && r.marked(id) {
		// A planted defect: what is marked but not certain is told all the same.
		status, state = http.StatusOK, wire.JobCancelled
	}
	r.Oracle.AnswerTo(id, asked, status, state)
	r.Log.Debug("user cancels", "job", id, "answer", status, "state", state)
	return status == http.StatusOK
}

// marked tells whether a job's record says that it is cancelled.
func (r *Region) marked(id string) bool {
	var rec world.JobRecord
	return wire.Decode(r.State.Row(world.JobKey(id)).Value, &rec) == nil && rec.CancelMs != 0
}

// Stranger asks about jobs that nobody submitted.
func (r *Region) Stranger(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(7 * time.Second)
		id := fmt.Sprintf("run-9%05d", i)
		r.ask(ctx, r.any(), id, http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second)
	}
}
