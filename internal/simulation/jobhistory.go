package simulation

import (
	"time"

	"sableusher/internal/wire"
)

// jobHistory is what is known of a job from outside the controllers.
type jobHistory struct {
	spec             wire.JobSpec
	mustRejectReason string // why it must not be accepted; empty: it may be
	submittedAt      time.Time

	accepted          bool
	acceptedAt        time.Time // when the first answer arrived by which it is accepted
	cancelRequested   bool      // by its user
	cancelRequestedAt time.Time
	cancelledAt       time.Time     // when a user was first told that it is cancelled or failed
	finalState        wire.JobState // the first one a user was told; empty: none yet
	finalStateAt      time.Time

	completedTasks       map[int]bool
	failures             map[int]int // by task: failures of its own
	acknowledgedFailures map[int]int // by task: those that a controller has acknowledged
	firstStartAt         time.Time
	unansweredSince      time.Time // zero: the last question about it was answered
	startableSince       time.Time // since when it waits beside capacity for it; zero: it does not
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

// complete tells whether all its tasks have completed.
func (j *jobHistory) complete() bool { return len(j.completedTasks) == j.spec.TaskCount }

// open tells whether it is accepted and its user was told no final state.
func (j *jobHistory) open() bool { return j.accepted && j.finalState == "" }

// served tells whether it has got what it asked for.
func (j *jobHistory) served() bool {
	return j.complete() || j.spec.Kind == wire.KindService && !j.firstStartAt.IsZero()
}

// dependencyCancelledAt is when a user was first told that a job that this one needs, directly
// or through others, is cancelled, or when this one was submitted after that; zero if never.
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

// mayBeDependencyCancelled tells whether any job that this one needs may end without being done.
func (c *InvariantChecker) mayBeDependencyCancelled(jobID string) bool {
	for _, dependencyID := range c.jobs[jobID].spec.Dependencies {
		dependency := c.jobs[dependencyID]
		if dependency == nil {
			continue
		}
		if dependency.cancelRequested || c.mayFail(dependency) || c.mayBeDependencyCancelled(dependencyID) {
			return true
		}
	}
	return false
}

// retryLimit is how many retries a job's tasks may have; without a limit, ok is false.
func (c *InvariantChecker) retryLimit(spec *wire.JobSpec) (limit int, ok bool) {
	if spec.MaxRetries != nil {
		return *spec.MaxRetries, true
	}
	limit, ok = c.RetryLimits[spec.Class]
	return limit, ok
}

// mayFail tells whether a task of a job has failed more often than it may be retried.
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
