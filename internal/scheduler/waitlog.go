package scheduler

import (
	"maps"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// waitReason says why tasks of a job were not placed, for the log.
type waitReason string

const (
	reasonTeamLimit      waitReason = "team limit reached"
	reasonNoRoom         waitReason = "no room"
	reasonNoRoomForGang  waitReason = "no room for all tasks of the gang"
	reasonRecordFull     waitReason = "record full"
	reasonRecordTooLarge waitReason = "record cannot be split far enough"
	reasonRecordBusy     waitReason = "change of the record in flight"
	reasonAttemptLeaving waitReason = "last attempt still leaving, or change of the record in flight"
	reasonTeamGrant      waitReason = "grant of the shard used up"
	reasonGrantOrCycle   waitReason = "grant of the shard used up, or cycle full"
)

// waitLog holds when the log last said why a job waits, by the job's ID.
type waitLog map[string]time.Time

// allow reports whether the log may say again why a job waits, and notes that it does.
func (l waitLog) allow(jobID string, now time.Time) bool {
	if now.Sub(l[jobID]) < tuning.WhyEvery {
		return false
	}
	l[jobID] = now
	return true
}

// prune drops the jobs that are over.
func (l waitLog) prune(isOver func(jobID string) bool) {
	maps.DeleteFunc(l, func(jobID string, _ time.Time) bool { return isOver(jobID) })
}

// logWaiting logs from time to time why a job waits; candidate is the machine that was looked at, nil if none was.
func (c *cycle) logWaiting(job *clusterstate.Job, reason waitReason, candidate *binpack.MachineInfo) {
	if !c.logsWaiting || !c.waitLog.allow(job.Spec.ID, c.now) {
		return
	}
	machine := ""
	if candidate != nil {
		machine = candidate.Machine.Name
	}
	c.log.Debug("job waits", "job_id", job.Spec.ID, "reason", string(reason), "machine", machine,
		"count", job.PendingCount())
}
