package scheduler

import (
	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
)

// waitReason is the reason why a job waits, as it is logged.
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
	waitRecordSplit     waitReason = "record full, its tasks are being divided among more records"
	waitRecordMigration waitReason = "records can't be split far enough"
)

// logWaiting logs why a job waits, at most once per tuning.WaitReasonLogInterval for each job. The candidate is the
// machine that the job could have used, if any. For a spread job it also logs how many tasks each zone may take.
func (c *cycle) logWaiting(job *clusterstate.Job, reason waitReason, candidate *binpack.MachineInfo) {
	if !c.logsWaiting || !c.waitLog.shouldLog(job.Spec.ID, c.now) {
		return
	}
	machine := ""
	if candidate != nil {
		machine = candidate.Machine.Name
	}
	attributes := []any{
		"job_id", job.Spec.ID, "reason", string(reason), "machine", machine, "count", job.PendingCount(),
	}
	if job.Spec.Spread {
		attributes = append(attributes, "zone_room", c.zoneRoom(job))
	}
	c.log.Debug("job waits", attributes...)
}

// zoneRoom returns how many of a spread job's pending tasks may be placed in each zone.
func (c *cycle) zoneRoom(job *clusterstate.Job) map[string]int {
	spread, room := c.spreadOf(job), map[string]int{}
	for _, machineType := range c.cluster.Catalog.Types {
		for _, zone := range machineType.Zones {
			room[zone] = spread.room(zone)
		}
	}
	return room
}
