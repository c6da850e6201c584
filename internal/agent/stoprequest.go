package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// minStopRequestAge is the minimum time for which a stop request is kept if the cluster state does not show its
// attempt as bound.
const minStopRequestAge = time.Second

// stopRequest is a request to stop a bound task.
type stopRequest struct {
	graceSeconds float64 // time to save a checkpoint; 0 stops the task at once
	requestedAt  time.Time
}

// RequestStop requests that a bound task is stopped after a grace period in seconds. The call has no effect if a
// request with the same or a shorter grace period is pending. Otherwise it replaces the pending request, if there is
// one, and requests a direct command to the machine.
func (r *Registry) RequestStop(binding clusterstate.Binding, machineName string, graceSeconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := keyOf(binding)
	if request, ok := r.stopRequests[key]; ok && request.graceSeconds <= graceSeconds {
		return
	}
	r.stopRequests[key] = stopRequest{graceSeconds: graceSeconds, requestedAt: time.Now()}
	r.dispatchQueue.add(machineName)
}

// StopRequested reports whether a bound task has to stop, because a stop was requested or its job is stopping.
// The caller must hold the cluster state's lock.
func (r *Registry) StopRequested(binding clusterstate.Binding) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.stopRequestFor(binding)
	return ok
}

// stopRequestFor returns the pending request to stop a bound task, if there is one. Callers hold the cluster state's
// lock and mu.
func (r *Registry) stopRequestFor(binding clusterstate.Binding) (stopRequest, bool) {
	if binding.Job.Stopping() {
		return stopRequest{}, true
	}
	request, ok := r.stopRequests[keyOf(binding)]
	return request, ok
}

// removeStopRequests removes the stop requests whose attempts have ended. Callers hold the cluster state's lock and mu.
func (r *Registry) removeStopRequests(now time.Time) {
	for key, request := range r.stopRequests {
		job := r.clusterState.Jobs[key.ref.JobID]
		if job == nil || !job.HasRecord {
			delete(r.stopRequests, key)
			continue
		}
		task := job.Task(key.ref.Index)
		bound := task.State == record.TaskBound && task.Attempt == key.attempt
		if !bound && now.Sub(request.requestedAt) > minStopRequestAge {
			delete(r.stopRequests, key)
		}
	}
}
