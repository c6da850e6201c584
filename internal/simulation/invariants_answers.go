package simulation

import (
	"net/http"
	"slices"
	"time"

	"sableusher/internal/wire"
)

// How long no question about a job may be answered, as the operators' pages say: once all faults are over,
// whatever others are told, and at any time while most others are answered.
const (
	maxUnansweredAfterFaults = 75 * time.Second
	maxUnansweredAlone       = 90 * time.Second
)

// query is a question that a user asked.
type query struct {
	receivedAt time.Time
	answered   bool
}

// accepts tells whether an answer says that a job is accepted.
func accepts(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// denies tells whether an answer says that a job is not known or not accepted.
func denies(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusNotFound ||
		status == http.StatusUnprocessableEntity
}

// AnswerReceived records the answer to a question that came after every other answer.
func (c *InvariantChecker) AnswerReceived(jobID string, status int, state wire.JobState) {
	c.AnswerReceivedTo(jobID, time.Now(), status, state)
}

// AnswerReceivedTo records the answer to a question that was sent at some time: status 201 or 200
// with a state, 404, 400 or 422. Others say nothing. Over all controllers together, a question that was sent
// after an answer had arrived must not be answered by anything older.
func (c *InvariantChecker) AnswerReceivedTo(jobID string, sentAt time.Time, status int, state wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[jobID]
	if job == nil {
		if accepts(status) {
			c.violation(RuleInvented, "%s", jobID)
		}
		return
	}
	c.recordQuery(job, accepts(status) || denies(status))
	switch {
	case denies(status):
		if job.accepted && !sentAt.Before(job.acceptedAt) {
			c.violation(RuleForgotten, "%s: answered %d", jobID, status)
		}
	case accepts(status):
		c.checkState(job, sentAt, state)
		c.recordState(job, state)
	}
}

func isFinal(state wire.JobState) bool {
	return state == wire.JobDone || state == wire.JobCancelled || state == wire.JobFailed
}

// checkState holds a state that a user was told against what is known.
func (c *InvariantChecker) checkState(job *jobHistory, sentAt time.Time, state wire.JobState) {
	id := job.spec.ID
	if job.mustRejectReason != "" {
		c.violation(RuleAccepted, "%s, though %s", id, job.mustRejectReason)
	}
	if job.finalState != "" && state != job.finalState && (isFinal(state) || !sentAt.Before(job.finalStateAt)) {
		c.violation(RuleWentBack, "%s: was %s, then %s", id, job.finalState, state)
	}
	c.checkReason(job, state)
}

// checkReason checks that a job has a reason to be in a state.
func (c *InvariantChecker) checkReason(job *jobHistory, state wire.JobState) {
	id := job.spec.ID
	switch state {
	case wire.JobDone:
		if len(job.completedTasks) < job.spec.TaskCount {
			c.violation(RuleNotDone, "%s: %d of %d", id, len(job.completedTasks), job.spec.TaskCount)
		}
	case wire.JobFailed:
		if !c.mayFail(job) {
			c.violation(RuleFailed, "%s: failures %v", id, job.failures)
		}
	case wire.JobCancelled:
		if !job.cancelRequested && !c.mayBeDependencyCancelled(id) {
			c.violation(RuleWentBack, "%s: cancelled without its user", id)
		}
	case wire.JobPending, wire.JobRunning:
		if at := c.dependencyCancelledAt(id); !at.IsZero() && time.Since(at) > c.settings.CancelDeadline() {
			c.violation(RuleOrphaned, "%s: called %s %v after one that it needs was cancelled",
				id, state, time.Since(at))
		}
	}
}

func (c *InvariantChecker) recordState(job *jobHistory, state wire.JobState) {
	if !job.accepted {
		job.accepted, job.acceptedAt = true, time.Now()
	}
	if isFinal(state) && job.finalState == "" {
		job.finalState, job.finalStateAt = state, time.Now()
	}
	if (state == wire.JobCancelled || state == wire.JobFailed) && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
	}
}

// recordQuery records whether a question about a job was answered, and checks how long none was. A
// submission that was never accepted need not be remembered.
func (c *InvariantChecker) recordQuery(job *jobHistory, answered bool) {
	now := time.Now()
	c.recentQueries = append(c.recentQueries, query{now, answered})
	for now.Sub(c.recentQueries[0].receivedAt) > maxUnansweredAlone {
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
		c.violation(RuleForgotten, "%s: no question answered for %v, all faults over",
			job.spec.ID, now.Sub(sinceFaults))
	case now.Sub(job.unansweredSince) > maxUnansweredAlone && 2*answered > len(c.recentQueries):
		c.violation(RuleForgotten, "%s: no question answered for %v, %d of %d others were",
			job.spec.ID, now.Sub(job.unansweredSince), answered, len(c.recentQueries))
	}
}

// CancelRequested records that a user asks to cancel a job.
func (c *InvariantChecker) CancelRequested(jobID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[jobID]
	if !job.cancelRequested {
		job.cancelRequestedAt = time.Now()
	}
	job.cancelRequested = true
}

// CancellationDurations gives how long users waited from asking until they were told, shortest first,
// and how many who asked were never told a final state.
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
