package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"sableusher/internal/wire"
)

// Times of the protocol for users.
const (
	submitTimeout = 5 * time.Second
	statusTimeout = 2 * time.Second
	userRetry     = time.Second
	userPatience  = 60 * time.Second
)

// ask sends one request on a new connection and returns the status, 0 if there was no answer in time.
func (w *world) ask(n *node, method, path string, body []byte, timeout time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.listen+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Close = true
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, nil
	}
	answer, err = io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit submits a job until it is accepted or refused; it reports whether it was accepted.
func (w *world) submit(spec wire.JobSpec) bool {
	job := &userJob{spec: spec, done: map[int]bool{}}
	w.mu.Lock()
	w.jobs[spec.ID] = job
	w.mu.Unlock()
	body := encodeSubmission(&spec)
	for since := time.Now(); time.Since(since) < userPatience; time.Sleep(userRetry) {
		n := w.pickNode()
		status, answer := w.ask(n, http.MethodPost, "/v1/jobs", body, submitTimeout)
		w.rec.logf("user submits %s to %s: %d", spec.ID, n.name, status)
		switch status {
		case http.StatusOK, http.StatusCreated:
			w.mu.Lock()
			job.acceptedAt = time.Now()
			w.mu.Unlock()
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.rec.logf("refused: %x", answer)
			w.mu.Lock()
			job.refusedAt = time.Now()
			w.mu.Unlock()
			return false
		}
	}
	return false
}

// encodeSubmission returns the body of a submission.
func encodeSubmission(spec *wire.JobSpec) []byte {
	fields := map[string]any{
		"id": spec.ID, "lot": spec.Class, "crew": spec.Team, "rig": spec.Kind, "precedence": spec.Priority,
		"hauls": spec.TaskCount, "vcpus": spec.CPUs, "cards": spec.GPUs, "memory_gb": spec.MemoryGB,
		"tackle": spec.Image, "size_gb": spec.ImageSizeGB, "hulls": nil, "harbor": nil,
		"same_place": spec.SameZone, "spread": spec.Spread, "standby": spec.AllowSpot,
		"reckon_s": spec.RuntimeEstimateSeconds, "landfall_s": spec.CheckpointIntervalSeconds,
		"stow_s": spec.CheckpointSaveSeconds, "cutoff_s": nil,
	}
	if spec.Zone != "" {
		fields["harbor"] = spec.Zone
	}
	if len(spec.Dependencies) > 0 {
		fields["awaits"] = spec.Dependencies
	}
	return wire.MustEncode(fields)
}

// cancelJob asks to cancel a job until the answer is cancelled or done.
func (w *world) cancelJob(id string) {
	job := w.job(id)
	w.mu.Lock()
	job.askedAt = time.Now()
	w.mu.Unlock()
	for since := time.Now(); time.Since(since) < userPatience; time.Sleep(userRetry) {
		n := w.pickNode()
		status, answer := w.ask(n, http.MethodPost, "/v1/jobs/"+id+"/abort", nil, submitTimeout)
		var response wire.JobResponse
		_ = wire.Decode(answer, &response) // an answer that can't be read has no state
		w.rec.logf("user cancels %s at %s: %d %s", id, n.name, status, response.State)
		if status == http.StatusOK {
			w.told(id, response.State)
			return
		}
	}
}

func (w *world) job(id string) *userJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// poll asks for a job's status once; the state is empty if there was no answer with one.
func (w *world) poll(id string) wire.JobState {
	n := w.pickNode()
	job := w.job(id)
	w.mu.Lock()
	accepted, before := !job.acceptedAt.IsZero(), job.toldState
	w.mu.Unlock()
	status, answer := w.ask(n, http.MethodGet, "/v1/jobs/"+id, nil, statusTimeout)
	var response wire.JobStatus
	_ = wire.Decode(answer, &response) // an answer that can't be read has no state
	w.rec.logf("user asks for %s at %s: %d %s done %d running %d", id, n.name, status, response.State,
		response.TasksDone, response.TasksRunning)
	switch {
	case status == http.StatusNotFound && accepted:
		w.rec.violation("forgotten", "%s was accepted and is answered 404", id)
	case status != http.StatusOK:
		return ""
	case before != "" && response.State != before:
		w.rec.violation("went_back", "%s was called %s and is called %s", id, before, response.State)
	}
	w.told(id, response.State)
	return response.State
}

// told notes a final state that a user was told, and checks it.
func (w *world) told(id string, state wire.JobState) {
	if !state.IsFinal() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[id]
	if state == wire.JobDone && len(job.done) < job.spec.TaskCount {
		w.rec.violation("not_done", "%s is called done with %d of %d tasks", id, len(job.done), job.spec.TaskCount)
	}
	if job.toldState == "" {
		job.toldState, job.toldAt = state, time.Now()
	}
}

// checkCancelled finds the jobs that are called cancelled though neither their user asked for it nor a job before them
// was cancelled.
func (w *world) checkCancelled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, job := range w.jobs {
		if job.toldState != wire.JobCancelled || !job.askedAt.IsZero() || w.mayBeCancelled(job) {
			continue
		}
		w.rec.violation("went_back", "%s is called cancelled; its user did not cancel it, and all jobs that it "+
			"awaits %v are called done; %d of its tasks had started", id, job.spec.Dependencies, job.starts)
	}
}

// mayBeCancelled reports whether a job before this one was cancelled, or may have been.
func (w *world) mayBeCancelled(job *userJob) bool {
	for _, id := range job.spec.Dependencies {
		other := w.jobs[id]
		if other.toldState != wire.JobDone && (!other.askedAt.IsZero() || w.mayBeCancelled(other)) {
			return true
		}
	}
	return false
}
