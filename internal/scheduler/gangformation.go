package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// gangFormation holds, by job ID, since when a gang has had only some of its tasks bound.
type gangFormation map[string]time.Time

// recordFormed records that all tasks of a gang are bound.
func (g gangFormation) recordFormed(jobID string) { delete(g, jobID) }

// timedOut records that only some of a gang's taskCount tasks are bound, and reports whether that has lasted too long.
func (g gangFormation) timedOut(jobID string, taskCount int, now time.Time) bool {
	since, known := g[jobID]
	if !known {
		g[jobID] = now
		return false
	}
	return now.Sub(since) > tuning.GangFormTimeout+time.Duration(taskCount)*tuning.GangFormTimeoutPerTask
}

// prune drops the gangs that have ended.
func (g gangFormation) prune(hasEnded func(jobID string) bool) {
	maps.DeleteFunc(g, func(jobID string, _ time.Time) bool { return hasEnded(jobID) })
}
