package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// waitLog holds when the reason why a job waits was last logged, by job ID.
type waitLog map[string]time.Time

// shouldLog reports whether the reason why a job waits may be logged now, and if so records that it is.
func (l waitLog) shouldLog(jobID string, now time.Time) bool {
	if now.Sub(l[jobID]) < tuning.WaitReasonLogInterval {
		return false
	}
	l[jobID] = now
	return true
}

// prune drops the entries of jobs that have ended.
func (l waitLog) prune(hasEnded func(jobID string) bool) {
	maps.DeleteFunc(l, func(jobID string, _ time.Time) bool { return hasEnded(jobID) })
}
