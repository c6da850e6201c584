package scheduler

import (
	"math"
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// countPlaceable sets how many tasks of a job may be placed in this cycle: its pending tasks that are neither in
// flight nor in retry backoff and for which their chunk has space, up to its team's limit. It adds them to the team's
// usage. It also marks the job as deferred if bindings are throttled and the job is of normal or low priority.
func (c *cycle) countPlaceable(queued *queuedJob, usage map[string]record.Resources) {
	job, spec := queued.job, &queued.job.Spec
	retrying := c.countTasksInRetryBackoff(job)
	withoutSpace := c.tasksInFullChunks(job)
	queued.Remaining = max(0, job.PendingCount()-c.inFlight.tasksByJob[spec.ID]-retrying-withoutSpace)
	if c.failingJobs[spec.ID] || retrying+withoutSpace > 0 && spec.Kind == wire.KindGang {
		queued.Remaining = 0 // a gang starts with all of its tasks or not at all
	}
	queued.deferred = c.bindingsThrottled && !isHighPriority(queued.rank)
	if limit, ok := c.quota.Limit(spec.Team); ok {
		c.applyTeamLimit(queued, limit, usage)
	}
	usage[spec.Team] = usage[spec.Team].PlusTimes(queued.Need, float64(queued.Remaining))
}

// applyTeamLimit reduces the number of a job's tasks that may be placed to what its team's limit allows.
func (c *cycle) applyTeamLimit(
	queued *queuedJob, limit record.Resources, usage map[string]record.Resources,
) {
	job, spec := queued.job, &queued.job.Spec
	available := limit.Minus(usage[spec.Team])
	available.MemoryGB = tuning.MaxAmount * tuning.MaxTasksPerJob // limits cover cores and GPUs, not memory
	allowed := binpack.TasksThatFit(queued.Need, available)
	if allowed >= queued.Remaining {
		return
	}
	c.logWaiting(job, waitTeamLimit, nil)
	queued.Remaining = allowed
	if spec.Kind != wire.KindGang {
		return
	}
	queued.Remaining = 0
	if c.now.Sub(job.ReadySince()) > tuning.ScaleOutOverrideAfter {
		usage[spec.Team] = limit // otherwise smaller jobs of the team could keep a large gang waiting forever
	}
}

// countTasksInRetryBackoff returns how many failed tasks of a job are still in retry backoff.
func (c *cycle) countTasksInRetryBackoff(job *clusterstate.Job) int {
	count := 0
	for taskIndex := range job.PendingRetries {
		if c.inRetryBackoff(job, taskIndex) {
			count++
		}
	}
	return count
}

// inRetryBackoff reports whether a failed task may not be retried yet.
func (c *cycle) inRetryBackoff(job *clusterstate.Job, taskIndex int) bool {
	retry, ok := job.PendingRetries[taskIndex]
	return ok && c.now.Sub(retry.SeenAt) < c.retryPolicies.Backoff(job.Spec.Class, retry.Failures)
}

// cellMayStart reports whether this cell, in its current epoch, may start a job (safety invariant 17). It may not
// start an offloaded job that it accepted in an earlier epoch: that job may have been released since, in writes that
// were lost. A cell that has lost writes starts none of its own jobs until it knows which of them the other cells hold.
func (c *cycle) cellMayStart(job *clusterstate.Job) bool {
	epoch := c.operator.CellEpoch
	if job.OffloadedFrom != nil {
		return epoch > 0 && job.OffloadedFrom.Epoch == epoch
	}
	if epoch <= 1 {
		return true // a cell in its first epoch has lost no writes
	}
	for _, cell := range c.operator.Cells {
		if other := c.cluster.Cells[cell.Name]; other == nil || other.OwnEpoch != epoch || !other.InventoryReceived {
			return false
		}
	}
	return true
}

// zoneConstraint returns the zones in which pending tasks of a job may be placed, given the job's requirements and the
// zones of its bound tasks.
func (c *cycle) zoneConstraint(job *clusterstate.Job) binpack.ZoneConstraint {
	zones := binpack.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: math.MaxInt}
	if job.Spec.Spread {
		zones = c.spreadOf(job).constraint()
	}
	if job.Spec.SameZone {
		c.pinZone(job, &zones)
	}
	return zones
}

// pinZone restricts a constraint to the zone of a job's bound tasks, or allows no zone if that of a task is unknown.
func (c *cycle) pinZone(job *clusterstate.Job, zones *binpack.ZoneConstraint) {
	for taskIndex := range job.Spec.TaskCount {
		task := c.taskState(job, taskIndex)
		if task.State != record.TaskBound {
			continue
		}
		machine := c.cluster.Machines[task.Machine]
		if machine == nil {
			zones.PlacementKnown = false
			return
		}
		zones.PinnedZone = machine.Zone
	}
}

// inTrustedZones returns the candidates in zones that are trusted with services. If there is none, it returns all
// candidates, because a replica in a zone that may fail again is better than none.
func (c *cycle) inTrustedZones(candidates []*binpack.MachineInfo) []*binpack.MachineInfo {
	trusted := slices.DeleteFunc(slices.Clone(candidates), func(candidate *binpack.MachineInfo) bool {
		return !c.failureDetector.Zones().Trusted(candidate.Machine.Zone)
	})
	if len(trusted) == 0 {
		return candidates
	}
	return trusted
}
