package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/tuning"
)

// gangFormation holds since when gangs have some of their tasks bound and others not, by the job's ID.
type gangFormation map[string]time.Time

// formed notes that all tasks of a gang are bound.
func (g gangFormation) formed(jobID string) { delete(g, jobID) }

// timedOut notes that a gang of so many tasks is bound in part, and reports whether it has been for too long.
func (g gangFormation) timedOut(jobID string, taskCount int, now time.Time) bool {
	since, known := g[jobID]
	if !known {
		g[jobID] = now
		return false
	}
	return now.Sub(since) > tuning.GangFormTimeout+time.Duration(taskCount)*tuning.GangFormTimeoutPerTask
}

// prune drops the gangs that are over.
func (g gangFormation) prune(isOver func(jobID string) bool) {
	maps.DeleteFunc(g, func(jobID string, _ time.Time) bool { return isOver(jobID) })
}
