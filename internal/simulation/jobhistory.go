package simulation

import (
	"slices"
	"time"

	"sableusher/internal/wire"
)

// jobHistory is the history of a job as agents and users observed it.
type jobHistory struct {
	spec             wire.JobSpec
	mustRejectReason string // why the job must be rejected; empty: it may be accepted
	submittedAt      time.Time

	accepted          bool
	acceptedAt        time.Time // when the first response arrived that says so
	cancelRequested   bool      // by its user
	cancelRequestedAt time.Time
	cancelledAt       time.Time     // when a user first received the state cancelled or failed
	finalState        wire.JobState // the first final state that a user received; empty: none yet
	finalStateAt      time.Time

	completedTasks       map[int]bool
	failures             map[int]int // by task: failures of its program
	acknowledgedFailures map[int]int // by task: failures that a controller has acknowledged
	firstStartAt         time.Time
	unansweredSince      time.Time // zero: the last query about the job was answered
	startableSince       time.Time // since when it waits although capacity is available; zero: it doesn't
}

func newJobHistory(spec wire.JobSpec) *jobHistory {
	return &jobHistory{
		spec:                 spec,
		submittedAt:          time.Now(),
		completedTasks:       map[int]bool{},
		failures:             map[int]int{},
		acknowledgedFailures: map[int]int{},
	}
}

// complete reports whether all tasks of the job have completed.
func (j *jobHistory) complete() bool { return len(j.completedTasks) == j.spec.TaskCount }

// open reports whether the job is accepted and its user has received no final state.
func (j *jobHistory) open() bool { return j.accepted && j.finalState == "" }

// served reports whether the job is complete or, for a service, has started at least one task.
func (j *jobHistory) served() bool {
	return j.complete() || j.spec.Kind == wire.KindService && !j.firstStartAt.IsZero()
}

// dependencyCancelledAt returns when a user first received the state cancelled or failed of a direct or indirect
// dependency of a job, or when the job was submitted if that is later. It returns zero if there was no such response.
// Callers hold the lock.
func (c *InvariantChecker) dependencyCancelledAt(jobID string) time.Time {
	var first time.Time
	job := c.jobs[jobID]
	for _, dependencyID := range job.spec.Dependencies {
		dependency := c.jobs[dependencyID]
		if dependency == nil {
			continue
		}
		for _, at := range []time.Time{dependency.cancelledAt, c.dependencyCancelledAt(dependencyID)} {
			if at.IsZero() {
				continue
			}
			if at.Before(job.submittedAt) {
				at = job.submittedAt
			}
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	return first
}

// mayBeDependencyCancelled reports whether any direct or indirect dependency of a job may end without being done: a
// user has requested its cancellation, or a task of it has failed too often. A dependency of which a user was told that
// it is done does not excuse anything. Callers hold the lock.
func (c *InvariantChecker) mayBeDependencyCancelled(jobID string) bool {
	for _, dependencyID := range c.jobs[jobID].spec.Dependencies {
		dependency := c.jobs[dependencyID]
		if dependency == nil || dependency.finalState == wire.JobDone {
			continue
		}
		if dependency.cancelRequested || c.mayFail(dependency) || c.mayBeDependencyCancelled(dependencyID) {
			return true
		}
	}
	return false
}

// dependsOn reports whether a job depends on another, directly or through others. Callers hold the lock.
func (c *InvariantChecker) dependsOn(jobID, otherID string) bool {
	job := c.jobs[jobID]
	if job == nil {
		return false
	}
	return slices.ContainsFunc(job.spec.Dependencies, func(dependencyID string) bool {
		return dependencyID == otherID || c.dependsOn(dependencyID, otherID)
	})
}

// retryLimit returns the maximum number of retries of each of a job's tasks; ok is false if there is no limit.
func (c *InvariantChecker) retryLimit(spec *wire.JobSpec) (limit int, ok bool) {
	if spec.MaxRetries != nil {
		return *spec.MaxRetries, true
	}
	limit, ok = c.RetryLimits[spec.Class]
	return limit, ok
}

// mayFail reports whether a task of a job has failed more often than its retry limit allows.
func (c *InvariantChecker) mayFail(job *jobHistory) bool {
	limit, limited := c.retryLimit(&job.spec)
	if !limited {
		return false
	}
	for _, failures := range job.failures {
		if failures > limit {
			return true
		}
	}
	return false
}
