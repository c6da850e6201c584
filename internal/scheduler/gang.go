package scheduler

import (
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// gangStart is the attempt that a gang's waiting tasks are bound for.
type gangStart struct {
	attempt uint64
	idle    []int // indexes of the tasks to be bound
	forming bool  // tasks of the attempt are bound already
}

// placeGang allocates capacity for all of a gang's tasks or for none. One node does so for each gang, over the
// machines of all shards, in one transaction: the owner of the gang's home shard, whose grant it uses.
// The owners of its machines start the tasks as they see them bound. Where an owner has used the capacity
// meanwhile, its agent refuses and the gang is placed anew.
func (c *cycle) placeGang(queued *queuedJob) {
	job := queued.job
	start := c.gangStart(job)
	queued.Remaining = len(start.idle)
	if !c.gangMayStart(job, start) {
		c.logWaiting(job, waitGangAttempt, nil)
		queued.Remaining = 0
		return
	}
	if !start.forming { // else one too long for a transaction is completed
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
			task := c.taskState(job, start.idle[i])
			c.bindTask(queued, newTaskStart(task, job.Spec.ID, start.attempt, pick, queued.homeShard))
		}
	}
}

// gangStart finds the tasks of a gang that wait, and its last attempt.
func (c *cycle) gangStart(job *clusterstate.Job) gangStart {
	start := gangStart{idle: make([]int, 0, job.PendingCount())}
	for taskIndex := range job.Spec.TaskCount {
		task := c.taskState(job, taskIndex)
		start.attempt = max(start.attempt, task.Attempt)
		if task.State == record.TaskPending {
			start.idle = append(start.idle, taskIndex)
		} else {
			start.forming = true
		}
	}
	return start
}

// gangMayStart reports whether a gang's record can be changed, and no task of its last attempt has ended
// while others are still on machines.
func (c *cycle) gangMayStart(job *clusterstate.Job, start gangStart) bool {
	if c.changes.inFlight(record.JobKey(job.Spec.ID)) || c.needsMigration(job) {
		return false
	}
	return !start.forming || !slices.ContainsFunc(start.idle, func(taskIndex int) bool {
		return c.taskState(job, taskIndex).Attempt >= start.attempt
	})
}

// allocateGang takes capacity for all of a gang's tasks; nil, and none taken, if there is none. Machines
// that hold its image go first, then those of its home shard, where no other node places.
func (c *cycle) allocateGang(queued *queuedJob) []*binpack.MachineInfo {
	zones := c.zoneConstraint(queued.job, 0)
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
		if picks := c.inventory.AllocateGang(&queued.Request, candidates, zones, accept); picks != nil {
			return picks
		}
	}
	return nil
}

// gangBindable reports whether a gang can be bound to machines as a whole: this cycle starts no more than it
// should, the gang's records hold the bindings and the grant of its home shard covers them.
func (c *cycle) gangBindable(queued *queuedJob, start gangStart, picks []*binpack.MachineInfo) bool {
	job := queued.job
	if c.tasksBound > 0 && c.tasksBound+len(picks) > tuning.BindingsPerCycle {
		return false
	}
	bindingsByChunk := map[int]int{}
	for _, taskIndex := range start.idle {
		bindingsByChunk[job.ChunkOf(taskIndex)]++
	}
	for chunk, bindings := range bindingsByChunk {
		if c.chunkFull(job, chunk, bindings, picks[0].Machine.Name) {
			c.logWaiting(job, waitRecordFull, nil)
			return false
		}
	}
	if !c.grantCovers(queued, queued.homeShard, len(picks)) {
		c.logWaiting(job, waitTeamGrant, nil)
		return false
	}
	return true
}
