package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sableusher/internal/wire"
)

// call sends a user's request on a connection of its own to a node and returns the status; 0 means that there was no
// response.
func (w *world) call(n *node, timeout time.Duration, method, path string, in, out any) int {
	var body io.Reader
	if in != nil {
		encoded, err := wire.Encode(in)
		if err != nil {
			return 0
		}
		body = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.listen+path, body)
	if err != nil {
		return 0
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := wire.ReadBody(response.Body, 64<<10)
	if err != nil {
		return 0
	}
	if out != nil && response.StatusCode < 300 && wire.Decode(answer, out) != nil {
		return 0
	}
	return response.StatusCode
}

// pick returns a healthy node, preferring the one at the index, or nil.
func (w *world) pick(first int) *node {
	for i := range w.nodes {
		n := w.nodes[(first+i)%len(w.nodes)]
		if w.call(n, time.Second, http.MethodGet, "/ready", nil, nil) == http.StatusOK {
			return n
		}
	}
	return nil
}

// submitted is the body of a submission: all fields of the page, and awaits if there are any.
func submitted(spec *wire.JobSpec) map[string]any {
	body := map[string]any{
		"id": spec.ID, "lot": spec.Class, "crew": spec.Team, "rig": string(spec.Kind),
		"precedence": string(spec.Priority), "hauls": spec.TaskCount, "vcpus": spec.CPUs, "cards": spec.GPUs,
		"memory_gb": spec.MemoryGB, "tackle": spec.Image, "size_gb": spec.ImageSizeGB, "hulls": nil, "harbor": nil,
		"same_place": spec.SameZone, "spread": spec.Spread, "standby": spec.AllowSpot,
		"reckon_s": spec.RuntimeEstimateSeconds, "landfall_s": spec.CheckpointIntervalSeconds,
		"stow_s": spec.CheckpointSaveSeconds, "cutoff_s": nil,
	}
	if spec.Zone != "" {
		body["harbor"] = spec.Zone
	}
	if len(spec.MachineTypes) > 0 {
		body["hulls"] = spec.MachineTypes
	}
	if len(spec.Dependencies) > 0 {
		body["awaits"] = spec.Dependencies
	}
	return body
}

// submit hands in a job until it is accepted or refused, for 60 s at most, and returns the last status.
func (w *world) submit(spec wire.JobSpec, runTime time.Duration) int {
	j := &job{spec: spec, runTime: runTime, progress: map[string]time.Duration{}, done: map[string]bool{},
		started: map[string]bool{}}
	w.mu.Lock()
	w.jobs[spec.ID] = j
	w.mu.Unlock()
	status := 0
	for begin, try := time.Now(), 0; time.Since(begin) < time.Minute; try++ {
		if n := w.pick(try); n != nil {
			status = w.call(n, 5*time.Second, http.MethodPost, "/v1/jobs", submitted(&spec), nil)
			w.note("submit", "job", spec.ID, "node", n.name, "status", status)
			if status == 200 || status == 201 || status == 400 || status == 422 {
				return status
			}
		}
		time.Sleep(time.Second)
	}
	return status
}

// poll asks once for a job's state. The answer is empty if there was none with 200.
func (w *world) poll(id string, first int) wire.JobStatus {
	var answer wire.JobStatus
	n := w.pick(first)
	if n == nil {
		return answer
	}
	status := w.call(n, 2*time.Second, http.MethodGet, "/v1/jobs/"+id, nil, &answer)
	w.note("poll", "job", id, "node", n.name, "status", status, "state", answer.State, "done", answer.TasksDone,
		"running", answer.TasksRunning)
	w.checkAnswer(id, status, answer.State)
	return answer
}

// abort asks to cancel a job until it is answered with 200, for at most the given time. It reports whether it was.
func (w *world) abort(id string, within time.Duration) bool {
	for begin, try := time.Now(), 0; time.Since(begin) < within; try++ {
		if n := w.pick(try); n != nil {
			var answer wire.JobResponse
			status := w.call(n, 5*time.Second, http.MethodPost, "/v1/jobs/"+id+"/abort", nil, &answer)
			w.note("abort", "job", id, "node", n.name, "status", status, "state", answer.State)
			if status == http.StatusOK {
				w.checkAnswer(id, status, answer.State)
				return true
			}
		}
		time.Sleep(time.Second)
	}
	return false
}

// checkAnswer checks what a user was told about a job against the rules.
func (w *world) checkAnswer(id string, status int, state wire.JobState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	switch {
	case j == nil && status == http.StatusOK:
		w.violate("invented", "%s is answered 200", id)
	case j == nil || status != http.StatusOK && status != http.StatusNotFound:
	case status == http.StatusNotFound:
		w.violate("forgotten", "%s is answered 404", id)
	case j.finalState != "" && state != j.finalState:
		w.violate("went_back", "%s was %s and is %s", id, j.finalState, state)
	case state == wire.JobDone && len(j.done) < j.spec.TaskCount:
		w.violate("not_done", "%s is called done", id)
	case state == wire.JobCancelled && j.cancelledAt.IsZero():
		j.cancelledAt = time.Now()
	}
	if j != nil && state.IsFinal() {
		j.finalState = state
	}
}

// metric reads a metric of a node; false if there is no answer.
func (w *world) metric(n *node, name string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/metrics", nil)
	if err != nil {
		return "", false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", false
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}

// waitReady waits until the given nodes are healthy.
func (w *world) waitReady(within time.Duration, nodes ...int) error {
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range nodes {
			if w.call(w.nodes[i], time.Second, http.MethodGet, "/ready", nil, nil) == http.StatusOK {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all controllers are healthy after %v", within)
}
