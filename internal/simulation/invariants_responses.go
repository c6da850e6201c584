package simulation

import (
	"net/http"
	"slices"
	"time"

	"sableusher/internal/wire"
)

// Bounds of how long all queries about a job may stay unanswered, as promised in the operators' documentation.
const (
	// maxUnansweredAfterFaults applies after all faults have ended.
	maxUnansweredAfterFaults = 75 * time.Second
	// maxUnansweredWhileOthersAnswered applies at any time if more than half of all queries in this period, about any
	// job, were answered.
	maxUnansweredWhileOthersAnswered = 90 * time.Second
)

// query is a user's request about a job, with its outcome.
type query struct {
	receivedAt time.Time
	answered   bool
}

// accepts reports whether a response status says that a job is accepted.
func accepts(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// denies reports whether a response status says that a job is unknown or not accepted.
func denies(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusNotFound ||
		status == http.StatusUnprocessableEntity
}

// ResponseReceived records the response to a query that was sent after all earlier responses had arrived.
func (c *InvariantChecker) ResponseReceived(jobID string, status int, state wire.JobState) {
	c.ResponseReceivedForQuery(jobID, time.Now(), status, state)
}

// ResponseReceivedForQuery records the response to a query that was sent at sentAt. Status 200 or 201 comes with a
// state; status 400, 404 or 422 says that the job is unknown or not accepted; any other status counts as no response.
// Once a user has received a final state, no controller may answer a query that was sent later with another state.
func (c *InvariantChecker) ResponseReceivedForQuery(jobID string, sentAt time.Time, status int, state wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[jobID]
	if job == nil {
		if accepts(status) {
			c.violation(RuleUnsubmittedJob, "%s", jobID)
		}
		return
	}
	c.recordQuery(job, accepts(status) || denies(status))
	switch {
	case denies(status):
		if job.accepted && !sentAt.Before(job.acceptedAt) {
			c.violation(RuleAcceptedJobLost, "%s: answered %d", jobID, status)
		}
	case accepts(status):
		c.checkState(job, sentAt, state)
		c.recordState(job, state)
	}
}

func isFinal(state wire.JobState) bool {
	return state == wire.JobDone || state == wire.JobCancelled || state == wire.JobFailed
}

// checkState checks a state that a user received: the job was not to be rejected, the state does not contradict a final
// state that was received before, and the job's history allows it. Callers hold the lock.
func (c *InvariantChecker) checkState(job *jobHistory, sentAt time.Time, state wire.JobState) {
	id := job.spec.ID
	if job.mustRejectReason != "" {
		c.violation(RuleInvalidJobAccepted, "%s, although %s", id, job.mustRejectReason)
	}
	if job.finalState != "" && state != job.finalState && (isFinal(state) || !sentAt.Before(job.finalStateAt)) {
		c.violation(RuleInvalidTransition, "%s: was %s, then %s", id, job.finalState, state)
	}
	c.checkStateAllowed(job, state)
}

// checkStateAllowed checks that the job's tasks, failures and cancellations, and those of its dependencies, allow a
// state. Callers hold the lock.
func (c *InvariantChecker) checkStateAllowed(job *jobHistory, state wire.JobState) {
	id := job.spec.ID
	switch state {
	case wire.JobDone:
		if len(job.completedTasks) < job.spec.TaskCount {
			c.violation(RuleIncompleteJobDone, "%s: %d of %d", id, len(job.completedTasks), job.spec.TaskCount)
		}
	case wire.JobFailed:
		if !c.mayFail(job) {
			c.violation(RuleFailedWithRetriesLeft, "%s: failures %v", id, job.failures)
		}
	case wire.JobCancelled:
		if !job.cancelRequested && !c.mayBeDependencyCancelled(id) {
			c.violation(RuleInvalidTransition, "%s: cancelled without a request of its user", id)
		}
	case wire.JobPending, wire.JobRunning:
		if at := c.dependencyCancelledAt(id); !at.IsZero() && time.Since(at) > c.settings.CancelDeadline() {
			c.violation(RuleOutlivedCancelledDependency, "%s: reported as %s %v after a dependency was cancelled",
				id, state, time.Since(at))
		}
	}
}

// checkDependentsOfDone checks, when a user is told that a job is done, that none of its direct or indirect dependents
// was reported as cancelled before without any other reason. Callers hold the lock.
func (c *InvariantChecker) checkDependentsOfDone(done *jobHistory) {
	for id, job := range c.jobs {
		if job.finalState != wire.JobCancelled || job.cancelRequested || c.mayBeDependencyCancelled(id) ||
			!c.dependsOn(id, done.spec.ID) {
			continue
		}
		c.violation(RuleInvalidTransition, "%s: was cancelled without a request of its user, then %s is done",
			id, done.spec.ID)
	}
}

// recordState updates the job's history with a state that a user received. Callers hold the lock.
func (c *InvariantChecker) recordState(job *jobHistory, state wire.JobState) {
	if !job.accepted {
		job.accepted, job.acceptedAt = true, time.Now()
	}
	if isFinal(state) && job.finalState == "" {
		job.finalState, job.finalStateAt = state, time.Now()
		if state == wire.JobDone {
			c.checkDependentsOfDone(job)
		}
	}
	if (state == wire.JobCancelled || state == wire.JobFailed) && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
	}
}

// recordQuery records whether a query about a job was answered, and checks how long the job's queries have been
// unanswered. Jobs that were never accepted are not checked. Callers hold the lock.
func (c *InvariantChecker) recordQuery(job *jobHistory, answered bool) {
	now := time.Now()
	c.recentQueries = append(c.recentQueries, query{now, answered})
	for now.Sub(c.recentQueries[0].receivedAt) > maxUnansweredWhileOthersAnswered {
		c.recentQueries = c.recentQueries[1:]
	}
	if answered {
		job.unansweredSince = time.Time{}
		return
	}
	if !job.accepted {
		return
	}
	if job.unansweredSince.IsZero() {
		job.unansweredSince = now
	}
	c.checkUnanswered(job, now)
}

// checkUnanswered records a violation if a job's queries have been unanswered for too long. Callers hold the lock.
func (c *InvariantChecker) checkUnanswered(job *jobHistory, now time.Time) {
	sinceFaults := job.unansweredSince
	if c.faultsEndedAt.After(sinceFaults) {
		sinceFaults = c.faultsEndedAt
	}
	answered := 0
	for _, query := range c.recentQueries {
		if query.answered {
			answered++
		}
	}
	switch {
	case !c.faultsEndedAt.IsZero() && now.Sub(sinceFaults) > maxUnansweredAfterFaults:
		c.violation(RuleAcceptedJobLost, "%s: no query answered for %v after all faults ended",
			job.spec.ID, now.Sub(sinceFaults))
	case now.Sub(job.unansweredSince) > maxUnansweredWhileOthersAnswered && 2*answered > len(c.recentQueries):
		c.violation(RuleAcceptedJobLost, "%s: no query answered for %v, while %d of %d recent queries were",
			job.spec.ID, now.Sub(job.unansweredSince), answered, len(c.recentQueries))
	}
}

// CancelRequested records that a user requests the cancellation of a job.
func (c *InvariantChecker) CancelRequested(jobID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[jobID]
	if !job.cancelRequested {
		job.cancelRequestedAt = time.Now()
	}
	job.cancelRequested = true
}

// CancellationDurations returns the times from the request to cancel a job until a user received the state cancelled or
// failed, shortest first, and the number of jobs with such a request whose users received no final state.
func (c *InvariantChecker) CancellationDurations() (waited []time.Duration, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		switch {
		case job.cancelRequested && !job.cancelledAt.IsZero():
			waited = append(waited, job.cancelledAt.Sub(job.cancelRequestedAt))
		case job.cancelRequested && job.finalState == "":
			open++
		}
	}
	slices.Sort(waited)
	return waited, open
}
