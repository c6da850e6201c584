package scheduler

import (
	"math"
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// countPlaceable finds how many tasks of a job wait that its team's limit allows.
func (c *cycle) countPlaceable(queued *queuedJob, usage map[string]clusterstate.Resources) bool {
	job, spec := queued.job, &queued.job.Spec
	paused := 0
	for i := range job.PendingRetries {
		if c.inRetryBackoff(job, i) {
			paused++
		}
	}
	queued.Remaining = max(0, job.PendingCount()-c.inFlightByJob[spec.ID]-paused)
	if c.failingJobs[spec.ID] || paused > 0 && spec.Kind == wire.KindGang {
		queued.Remaining = 0 // all or none
	}
	queued.deferred = c.storeSaturated && queued.rank > wire.PriorityRank(wire.PriorityHigh)
	if limit, ok := c.quota.Limit(spec.Team); ok {
		open := limit.AddTimes(usage[spec.Team], -1)
		open.MemoryGB = tuning.MaxAmount * tuning.MaxTasks
		allowed := binpack.TasksThatFit(queued.Need, open)
		if allowed < queued.Remaining {
			c.logWaiting(job, "team's limit", nil)
			queued.Remaining = allowed
			if spec.Kind == wire.KindGang {
				queued.Remaining = 0
				if c.now.Sub(job.ReadySince()) > tuning.StarveAfter {
					usage[spec.Team] = limit // narrower ones would keep a wide one out for ever
				}
			}
		}
	}
	usage[spec.Team] = usage[spec.Team].AddTimes(queued.Need, float64(queued.Remaining))
	return queued.Remaining > 0 // none: not a want of machines
}

// inRetryBackoff tells whether a task that failed is not to be repeated yet.
func (c *cycle) inRetryBackoff(job *clusterstate.Job, i int) bool {
	failing, ok := job.PendingRetries[i]
	return ok && c.now.Sub(failing.SeenAt) < c.retryRules.Backoff(job.Spec.Class, failing.Failures)
}

// holdsStartRight tells whether the right to start a job is with this cell as it is now: a guest that was taken
// under an earlier epoch may have been released since, in writes that are lost; and a cell
// that lost writes starts nothing before it knows what the others hold of its own.
func (c *cycle) holdsStartRight(job *clusterstate.Job) bool {
	if job.OffloadedFrom != nil {
		return c.operator.CellEpoch > 0 && job.OffloadedFrom.Epoch == c.operator.CellEpoch
	}
	if c.operator.CellEpoch <= 1 {
		return true // it has lost nothing yet
	}
	for _, cell := range c.operator.Cells {
		if record := c.cluster.Cells[cell.Name]; record == nil || record.OwnEpoch != c.operator.CellEpoch || !record.InventoryReceived {
			return false
		}
	}
	return true
}

func (c *cycle) zoneConstraint(job *clusterstate.Job, record int) binpack.ZoneConstraint {
	zones := binpack.ZoneConstraint{TasksByZone: map[string]int{}, PlacementKnown: true, MaxPerZone: math.MaxInt}
	if job.Spec.Spread {
		lo, hi := job.TaskRange(record)
		zones.MaxPerZone = (hi - lo + 1) / 2
	}
	if !job.Spec.Spread && !job.Spec.SameZone {
		return zones
	}
	for i := range job.Spec.TaskCount {
		task := c.taskState(job, i)
		if task.State != clusterstate.TaskBound {
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
		if job.ChunkOf(i) == record {
			zones.TasksByZone[machine.Zone]++
		}
	}
	return zones
}

// inTrustedZones gives those of some machines whose zones are trusted with services; all of them
// if there is none, as a replica in a zone that may go again is better than none.
func (c *cycle) inTrustedZones(candidates []*binpack.MachineInfo) []*binpack.MachineInfo {
	trusted := slices.DeleteFunc(slices.Clone(candidates), func(candidate *binpack.MachineInfo) bool {
		return !c.failureDetector.Zones().Trusted(candidate.Machine.Zone)
	})
	if len(trusted) == 0 {
		return candidates
	}
	return trusted
}

// recordToPlace is the record of a job whose tasks are placed in this round: where the
// tasks of each record must be spread, the first in which one waits.
func (c *cycle) recordToPlace(job *clusterstate.Job) int {
	if !job.Spec.Spread {
		return 0
	}
	for record := range job.ChunkCount() {
		if !job.ChunkFullyAssigned(record) {
			return record
		}
	}
	return 0
}
