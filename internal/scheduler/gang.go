package scheduler

import (
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// gangStart describes the attempt in which a gang's pending tasks are to be bound.
type gangStart struct {
	attempt     uint64 // the latest attempt of any of the gang's tasks; placeGang increments it to start a new one
	pending     []int  // indexes of the pending tasks whose bindings are not in flight
	partlyBound bool   // some tasks of the attempt are bound or done already
}

// placeGang allocates capacity for all of a gang's tasks or for none, on the machines of all shards. The owner of the
// gang's home shard alone does so, in one transaction unless the gang is too large for one, and charges the gang to its
// own grant. The owners of the machines' shards start the tasks when they see the bindings. If one of them has used the
// capacity in the meantime, the machine's agent refuses the task and the gang is placed again.
func (c *cycle) placeGang(queued *queuedJob) {
	job := queued.job
	start := c.findGangStart(job)
	if queued.Remaining = len(start.pending); queued.Remaining == 0 {
		return
	}
	if !c.gangMayStart(job, start) {
		c.logWaiting(job, waitGangAttempt, nil)
		queued.Remaining = 0
		return
	}
	if !start.partlyBound { // a partly bound gang, too large for one transaction, continues its attempt
		start.attempt++
	}
	queued.homeShard = c.firstLiveShard(job)
	picks := c.allocateGang(queued)
	if picks == nil {
		c.logWaiting(job, waitGangCapacity, nil)
		return
	}
	queued.Remaining = 0
	if c.shards.owns(queued.homeShard) && c.gangBindable(queued, start, picks) {
		for i, pick := range picks {
			task := c.taskState(job, start.pending[i])
			c.bindTask(queued, newTaskStart(task, job.Spec.ID, start.attempt, pick, queued.homeShard))
		}
	}
}

// findGangStart returns a gang's pending tasks, its latest attempt and whether that is partly bound. Tasks whose
// bindings are in flight belong to the attempt that the others are to be bound in.
func (c *cycle) findGangStart(job *clusterstate.Job) gangStart {
	start := gangStart{pending: make([]int, 0, job.PendingCount())}
	for taskIndex := range job.Spec.TaskCount {
		task := c.taskState(job, taskIndex)
		start.attempt = max(start.attempt, task.Attempt)
		if task.State != record.TaskPending {
			start.partlyBound = true
			continue
		}
		if _, inFlight := c.inFlight.machineOf(job, taskIndex); !inFlight {
			start.pending = append(start.pending, taskIndex)
		}
	}
	return start
}

// gangMayStart reports whether a gang's record can be changed now and no task of its latest attempt is pending again
// while others are still bound or done.
func (c *cycle) gangMayStart(job *clusterstate.Job, start gangStart) bool {
	if c.changes.inFlight(record.JobKey(job.Spec.ID)) || c.needsMigration(job) {
		return false
	}
	return !start.partlyBound || !slices.ContainsFunc(start.pending, func(taskIndex int) bool {
		return c.taskState(job, taskIndex).Attempt >= start.attempt
	})
}

// allocateGang allocates capacity for all of a gang's pending tasks and returns the machines in the order of the tasks.
// It returns nil, and allocates nothing, if they don't all fit. It prefers machines that hold the gang's image, then
// machines in its home shard, where the owners of other shards bind only gangs and services.
func (c *cycle) allocateGang(queued *queuedJob) []*binpack.MachineInfo {
	zones := c.zoneConstraint(queued.job)
	candidates := c.inventory.FittingMachines(&queued.Request)
	inHomeShard := func(candidate *binpack.MachineInfo) bool { return candidate.Machine.Shard == queued.homeShard }
	hasImage := func(candidate *binpack.MachineInfo) bool {
		return c.inventory.HasImage(queued.job.Spec.Image, candidate)
	}
	for _, accept := range []func(*binpack.MachineInfo) bool{
		func(candidate *binpack.MachineInfo) bool { return inHomeShard(candidate) && hasImage(candidate) },
		func(candidate *binpack.MachineInfo) bool { return candidate.SessionKnown() && hasImage(candidate) },
		inHomeShard,
		(*binpack.MachineInfo).SessionKnown,
	} {
		picks := c.inventory.AllocateGang(&queued.Request, candidates, zones, accept)
		if picks == nil {
			continue
		}
		if ordered := c.inTaskOrder(queued.job, picks); ordered != nil {
			return ordered
		}
		c.inventory.Release(&queued.Request, picks)
	}
	return nil
}

// inTaskOrder returns the machines picked for all of a gang's pending tasks in the order of the tasks. If the gang is
// spread, each of its chunks gets machines within its own limit. It returns nil if that is not possible.
func (c *cycle) inTaskOrder(job *clusterstate.Job, picks []*binpack.MachineInfo) []*binpack.MachineInfo {
	if !job.Spec.Spread {
		return picks
	}
	spread := c.spreadOf(job)
	picksByChunk := spread.distribute(picks)
	ordered := make([]*binpack.MachineInfo, 0, len(picks))
	for i := range spread.chunks {
		chunk := &spread.chunks[i]
		if len(picksByChunk[chunk.number]) < chunk.pending {
			return nil
		}
		ordered = append(ordered, picksByChunk[chunk.number]...)
	}
	return ordered
}

// gangBindable reports whether a whole gang can be bound in this cycle: the limit of bindings per cycle allows it, the
// gang's records may be changed and have space for the bindings, and the grant of its home shard covers them.
func (c *cycle) gangBindable(queued *queuedJob, start gangStart, picks []*binpack.MachineInfo) bool {
	job := queued.job
	if c.tasksBound > 0 && c.tasksBound+len(picks) > tuning.BindingsPerCycle {
		return false
	}
	bindingsByChunk := map[int]int{}
	for _, taskIndex := range start.pending {
		bindingsByChunk[job.ChunkOf(taskIndex)]++
	}
	for chunk, bindings := range bindingsByChunk {
		if !c.chunkIsFree(chunkKey{job: job, chunk: chunk}) {
			c.logWaiting(job, waitChangeInFlight, nil)
			return false
		}
		if c.chunkFull(job, chunk, bindings) {
			c.narrowOrWait(job, chunk)
			return false
		}
	}
	if !c.grantCovers(queued, queued.homeShard, len(picks)) {
		c.logWaiting(job, waitTeamGrant, nil)
		return false
	}
	return true
}
