package scheduler

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// waitReason is why a job waits, as the log tells it.
type waitReason string

const (
	waitTeamLimit       waitReason = "team limit reached"
	waitTeamGrant       waitReason = "team grant of the shard used up"
	waitGrantOrCycle    waitReason = "team grant of the shard used up, or too many starts in this cycle"
	waitCapacity        waitReason = "no capacity"
	waitGangCapacity    waitReason = "no capacity for the whole gang"
	waitGangAttempt     waitReason = "last attempt not released, or a change in flight"
	waitChangeInFlight  waitReason = "record change in flight"
	waitRecordFull      waitReason = "record full"
	waitRecordMigration waitReason = "records can't be split far enough"
)

// waitLog is when the log last said why a job waits, by job.
type waitLog map[string]time.Time

// due tells whether the log may say again why a job waits, and notes that it does.
func (l waitLog) due(job string, now time.Time) bool {
	if now.Sub(l[job]) < tuning.WhyEvery {
		return false
	}
	l[job] = now
	return true
}

// prune drops the jobs that are over.
func (l waitLog) prune(isOver func(job string) bool) {
	maps.DeleteFunc(l, func(job string, _ time.Time) bool { return isOver(job) })
}

// logWaiting logs why a job waits, at most every tuning.WhyEvery for each job. The candidate is the
// machine that it could have used, if any.
func (c *cycle) logWaiting(job *clusterstate.Job, reason waitReason, candidate *binpack.MachineInfo) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) || !c.waitLog.due(job.Spec.ID, c.now) {
		return
	}
	machine := ""
	if candidate != nil {
		machine = candidate.Machine.Name
	}
	c.log.Debug("job waits", "job_id", job.Spec.ID, "reason", string(reason), "machine", machine,
		"count", job.PendingCount())
}
