package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// waitLog holds when the log last said why a job waits, by the job's ID.
type waitLog map[string]time.Time

// allow reports whether the log may say again why a job waits, and notes that it does.
func (l waitLog) allow(jobID string, now time.Time) bool {
	if now.Sub(l[jobID]) < tuning.WaitReasonLogInterval {
		return false
	}
	l[jobID] = now
	return true
}

// prune drops the jobs that are over.
func (l waitLog) prune(isOver func(jobID string) bool) {
	maps.DeleteFunc(l, func(jobID string, _ time.Time) bool { return isOver(jobID) })
}
