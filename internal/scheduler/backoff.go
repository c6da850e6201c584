package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// jobBackoff is the time until which no task of a job is placed.
type jobBackoff struct {
	until time.Time
	delay time.Duration // after the latest failure; the next failure doubles it
}

// backoffTable holds the backoff of each job, by job ID. It covers only failures that the retry policy of the job's
// class doesn't pace.
type backoffTable map[string]jobBackoff

// extend starts a new backoff of a job, twice as long as its last one and within the bounds of package tuning.
func (t backoffTable) extend(jobID string, now time.Time) {
	backoff := t[jobID]
	backoff.delay = min(max(2*backoff.delay, tuning.MinJobBackoff), tuning.MaxJobBackoff)
	backoff.until = now.Add(backoff.delay)
	t[jobID] = backoff
}

// active reports whether a job is still in backoff.
func (t backoffTable) active(jobID string, now time.Time) bool {
	backoff, ok := t[jobID]
	return ok && now.Before(backoff.until)
}

// prune drops the backoffs of jobs that have ended.
func (t backoffTable) prune(hasEnded func(jobID string) bool) {
	maps.DeleteFunc(t, func(jobID string, _ jobBackoff) bool { return hasEnded(jobID) })
}
