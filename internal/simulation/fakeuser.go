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

const (
	pathJobs = "/v1/jobs"

	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	cancelTimeout = 5 * time.Second

	// maxSubmitDuration is how long a user retries the submission of a job.
	maxSubmitDuration = 60 * time.Second
	pollInterval      = 5 * time.Second
	// firstResubmission is the minimum time from the acceptance of a job to the first repetition of its submission.
	firstResubmission = 20 * time.Second
	// resubmissionInterval is the minimum time between two repetitions.
	resubmissionInterval = 40 * time.Second
	// unknownJobInterval is the interval between two queries about jobs that were never submitted.
	unknownJobInterval = 7 * time.Second
)

// userRequest is one request of a user about a job.
type userRequest struct {
	jobID   string
	method  string
	path    string
	body    []byte
	timeout time.Duration
}

func submitRequest(jobID string, body []byte) userRequest {
	return userRequest{jobID, http.MethodPost, pathJobs, body, submitTimeout}
}

func pollRequest(jobID string) userRequest {
	return userRequest{jobID, http.MethodGet, pathJobs + "/" + jobID, nil, pollTimeout}
}

func cancelRequest(jobID string) userRequest {
	return userRequest{jobID, http.MethodPost, pathJobs + "/" + jobID + "/abort", nil, cancelTimeout}
}

// userResponse is the response to a user's request. The status is 0 if there was no response.
type userResponse struct {
	status int
	state  wire.JobState
}

// userJob is a job, with the run time of its program and the cancellation by its user.
type userJob struct {
	spec       wire.JobSpec
	runSeconds float64
	// cancelAfter is the time from the start of the submission to the user's request to cancel; 0: never.
	cancelAfter time.Duration
}

// send sends a user's request to a controller and returns the response.
func (r *Region) send(ctx context.Context, to *Controller, request userRequest) userResponse {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	url := "http://" + to.Address + request.path
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, url, bytes.NewReader(request.body))
	if err != nil {
		panic(err)
	}
	response, err := r.Network.Transport(hostUsers, alwaysAlive).RoundTrip(httpRequest)
	if err != nil {
		return userResponse{}
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	var status wire.JobStatus
	_ = wire.Decode(body, &status)
	return userResponse{response.StatusCode, status.State}
}

// sendAndCheck sends a user's request to a controller, and reports the response to the checker.
func (r *Region) sendAndCheck(ctx context.Context, to *Controller, request userRequest) userResponse {
	sentAt := time.Now()
	response := r.send(ctx, to, request)
	r.Checker.ResponseReceivedForQuery(request.jobID, sentAt, response.status, response.state)
	return response
}

// sendToAnyAndCheck sends a user's request to a random controller, and reports the response to the checker.
func (r *Region) sendToAnyAndCheck(ctx context.Context, request userRequest) userResponse {
	return r.sendAndCheck(ctx, r.randomController(), request)
}

// SimulateUser simulates the user of one job until ctx ends. The user submits the job, polls its state, repeats the
// submission from time to time, and cancels the job if job.cancelAfter is set.
func (r *Region) SimulateUser(ctx context.Context, job userJob) {
	r.SetRunTime(job.spec.ID, job.runSeconds)
	r.Checker.JobSubmitted(job.spec)
	id, body, start := job.spec.ID, wire.MustEncode(job.spec), time.Now()
	if !r.submitUntilAccepted(ctx, id, body) {
		return
	}
	r.probeAllControllers(ctx, id, body)
	nextResubmission := time.Now().Add(firstResubmission)
	cancelled, final := false, false
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		if job.cancelAfter > 0 && time.Since(start) > job.cancelAfter && !cancelled {
			if cancelled = r.CancelJob(ctx, id); cancelled {
				r.probeAllControllers(ctx, id, body)
			}
			continue
		}
		if time.Now().After(nextResubmission) {
			nextResubmission = time.Now().Add(resubmissionInterval)
			r.sendToAnyAndCheck(ctx, submitRequest(id, body))
		}
		state := r.sendToAnyAndCheck(ctx, pollRequest(id)).state
		if !final && (state == wire.JobDone || state == wire.JobCancelled) {
			final = true
			r.probeAllControllers(ctx, id, body)
		}
	}
}

// SimulateUserAfter simulates the user of one job after a delay. It doesn't block.
func (r *Region) SimulateUserAfter(ctx context.Context, delay time.Duration, job userJob) {
	r.wg.Go(func() {
		time.Sleep(delay)
		r.SimulateUser(ctx, job)
	})
}

// submitUntilAccepted submits a job each second and reports whether it was accepted within maxSubmitDuration.
func (r *Region) submitUntilAccepted(ctx context.Context, jobID string, body []byte) bool {
	start := time.Now()
	for !accepts(r.sendToAnyAndCheck(ctx, submitRequest(jobID, body)).status) {
		time.Sleep(time.Second)
		if ctx.Err() != nil || time.Since(start) > maxSubmitDuration {
			return false
		}
	}
	return true
}

// CancelJob requests the cancellation of a job once, and reports whether the user received a final state (status 200).
func (r *Region) CancelJob(ctx context.Context, jobID string) bool {
	r.Checker.CancelRequested(jobID)
	sentAt := time.Now()
	response := r.send(ctx, r.randomController(), cancelRequest(jobID))
	if r.ConfirmsCancellationsEarly && response.status == http.StatusServiceUnavailable && r.cancelRecorded(jobID) {
		response = userResponse{http.StatusOK, wire.JobCancelled}
	}
	r.Checker.ResponseReceivedForQuery(jobID, sentAt, response.status, response.state)
	r.Log.Debug("user cancels job", "job_id", jobID, "status", response.status, "state", response.state)
	return response.status == http.StatusOK
}

// cancelRecorded reports whether the job's record in the store is marked as cancelled.
func (r *Region) cancelRecorded(jobID string) bool {
	var job record.Job
	err := wire.Decode(r.KV.Row(record.JobKey(jobID)).Value, &job)
	return err == nil && job.CancelledAtMs != 0
}

// QueryUnknownJobs queries jobs that were never submitted, until ctx ends.
func (r *Region) QueryUnknownJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(unknownJobInterval)
		r.sendToAnyAndCheck(ctx, pollRequest(fmt.Sprintf("run-9%05d", i)))
	}
}
