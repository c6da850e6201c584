package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// jobBackoff keeps the tasks of a job from being placed until a time.
type jobBackoff struct {
	until time.Time
	delay time.Duration // of the latest failure; the next one doubles it
}

// backoffTable holds the backoffs of jobs whose tasks failed in a way that their class's retries don't pace, by
// the job's ID.
type backoffTable map[string]jobBackoff

// extend starts a job's backoff anew, twice as long as the one before, within bounds.
func (t backoffTable) extend(jobID string, now time.Time) {
	backoff := t[jobID]
	backoff.delay = min(max(2*backoff.delay, tuning.MinJobBackoff), tuning.MaxJobBackoff)
	backoff.until = now.Add(backoff.delay)
	t[jobID] = backoff
}

// active reports whether a job's tasks may not be placed yet.
func (t backoffTable) active(jobID string, now time.Time) bool {
	backoff, ok := t[jobID]
	return ok && now.Before(backoff.until)
}

// prune drops the backoffs of jobs that are over.
func (t backoffTable) prune(isOver func(jobID string) bool) {
	maps.DeleteFunc(t, func(jobID string, _ jobBackoff) bool { return isOver(jobID) })
}
