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

// countPlaceable finds how many tasks of a job may be placed in this cycle: those that wait for nothing
// else, as far as its team's limit allows. It adds them to the team's usage.
func (c *cycle) countPlaceable(queued *queuedJob, usage map[string]record.Resources) {
	job, spec := queued.job, &queued.job.Spec
	retrying := c.countRetryBackoffs(job)
	queued.Remaining = max(0, job.PendingCount()-c.inFlight.tasksByJob[spec.ID]-retrying)
	if c.failingJobs[spec.ID] || retrying > 0 && spec.Kind == wire.KindGang {
		queued.Remaining = 0 // all or none
	}
	queued.deferred = c.storeSaturated && !isHighPriority(queued.rank)
	if limit, ok := c.quota.Limit(spec.Team); ok {
		c.applyTeamLimit(queued, limit, usage)
	}
	usage[spec.Team] = usage[spec.Team].PlusTimes(queued.Need, float64(queued.Remaining))
}

// applyTeamLimit lowers how many tasks of a job may be placed to what its team's limit leaves.
func (c *cycle) applyTeamLimit(
	queued *queuedJob, limit record.Resources, usage map[string]record.Resources,
) {
	job, spec := queued.job, &queued.job.Spec
	open := limit.Minus(usage[spec.Team])
	open.MemoryGB = tuning.MaxAmount * tuning.MaxTasksPerJob // limits are of cores and GPUs
	allowed := binpack.TasksThatFit(queued.Need, open)
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
		usage[spec.Team] = limit // narrower ones would keep a wide one out for ever
	}
}

// countRetryBackoffs counts the failed tasks of a job that are not to be retried yet.
func (c *cycle) countRetryBackoffs(job *clusterstate.Job) int {
	count := 0
	for taskIndex := range job.PendingRetries {
		if c.inRetryBackoff(job, taskIndex) {
			count++
		}
	}
	return count
}

// inRetryBackoff reports whether a task that failed is not to be retried yet.
func (c *cycle) inRetryBackoff(job *clusterstate.Job, taskIndex int) bool {
	retry, ok := job.PendingRetries[taskIndex]
	return ok && c.now.Sub(retry.SeenAt) < c.retryRules.Backoff(job.Spec.Class, retry.Failures)
}

// holdsStartRight reports whether the right to start a job is with this cell as it is now (safety
// invariant 17): a guest that was taken under an earlier epoch may have been released since, in writes
// that are lost; and a cell that lost writes starts nothing before it knows what the others hold of
// its own.
func (c *cycle) holdsStartRight(job *clusterstate.Job) bool {
	epoch := c.operator.CellEpoch
	if job.OffloadedFrom != nil {
		return epoch > 0 && job.OffloadedFrom.Epoch == epoch
	}
	if epoch <= 1 {
		return true // it has lost nothing yet
	}
	for _, cell := range c.operator.Cells {
		if other := c.cluster.Cells[cell.Name]; other == nil || other.OwnEpoch != epoch || !other.InventoryReceived {
			return false
		}
	}
	return true
}

// chunkToPlace is the chunk of a job whose tasks are placed in this cycle: where the tasks of each
// chunk must be spread over zones, the first in which one waits.
func (c *cycle) chunkToPlace(job *clusterstate.Job) int {
	if !job.Spec.Spread {
		return 0
	}
	for chunk := range job.ChunkCount() {
		if !job.ChunkFullyAssigned(chunk) {
			return chunk
		}
	}
	return 0
}

// zoneConstraint is where the tasks of a chunk may stand, by what its job asks for and where its tasks
// already are.
func (c *cycle) zoneConstraint(job *clusterstate.Job, chunk int) binpack.ZoneConstraint {
	zones := binpack.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: math.MaxInt}
	if job.Spec.Spread {
		lo, hi := job.TaskRange(chunk)
		zones.MaxPerZone = (hi - lo + 1) / 2
	}
	if !job.Spec.Spread && !job.Spec.SameZone {
		return zones
	}
	for taskIndex := range job.Spec.TaskCount {
		task := c.taskState(job, taskIndex)
		if task.State != record.TaskBound {
			continue
		}
		machine := c.cluster.Machines[task.Machine]
		if machine == nil {
			zones.PlacementKnown = false
			return zones
		}
		if job.Spec.SameZone {
			zones.PinnedZone = machine.Zone
		}
		if job.ChunkOf(taskIndex) == chunk {
			zones.TasksByZone[machine.Zone]++
		}
	}
	return zones
}

// inTrustedZones returns those of some machines whose zones are trusted with services; all of them if
// there is none, as a replica in a zone that may be lost again is better than none.
func (c *cycle) inTrustedZones(candidates []*binpack.MachineInfo) []*binpack.MachineInfo {
	trusted := slices.DeleteFunc(slices.Clone(candidates), func(candidate *binpack.MachineInfo) bool {
		return !c.failureDetector.Zones().Trusted(candidate.Machine.Zone)
	})
	if len(trusted) == 0 {
		return candidates
	}
	return trusted
}
