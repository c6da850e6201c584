package scheduler

import (
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// placeGang gives a gang room for all its tasks or none. One node does so for
// each gang, over the machines of all parts, in one transaction: the owner of
// the part that the gang is dealt to, whose grant it uses. The owners of its
// machines start the tasks as they see them bound. Where an owner has used the
// room meanwhile, its worker refuses and the gang is placed anew.
func (c *cycle) placeGang(queued *queuedJob, inventory *binpack.Inventory) {
	job, spec := queued.job, &queued.job.Spec
	var attempt uint64
	var idle []int
	forming := false
	for i := range spec.TaskCount {
		task := c.taskState(job, i)
		attempt = max(attempt, task.Attempt)
		if task.State == record.TaskPending {
			idle = append(idle, i)
		} else {
			forming = true
		}
	}
	queued.Remaining = len(idle)
	if c.changes.inFlight(record.JobKey(spec.ID)) || c.needsMigration(job) || forming && slices.ContainsFunc(idle, func(i int) bool { return c.taskState(job, i).Attempt >= attempt }) {
		c.logWaiting(job, reasonAttemptLeaving, nil)
		queued.Remaining = 0
		return
	}
	if !forming { // else one too long for a transaction is completed
		attempt++
	}
	// One that finds its image at once goes first, then one that has room in its
	// own part, where no other node places.
	queued.homeShard = c.firstLiveShard(job)
	zones := c.zoneConstraint(job, 0)
	candidates := inventory.FittingMachines(&queued.Request)
	inPart := func(n *binpack.MachineInfo) bool { return n.Machine.Shard == queued.homeShard }
	held := func(n *binpack.MachineInfo) bool { return c.inventory.HasImage(spec.Image, n) }
	var picks []*binpack.MachineInfo
	for _, also := range []func(*binpack.MachineInfo) bool{
		func(n *binpack.MachineInfo) bool { return inPart(n) && held(n) },
		func(n *binpack.MachineInfo) bool { return n.SessionKnown() && held(n) },
		inPart, (*binpack.MachineInfo).SessionKnown,
	} {
		if picks = inventory.AllocateGang(&queued.Request, candidates, zones, also); picks != nil {
			break
		}
	}
	if picks == nil {
		c.logWaiting(job, reasonNoRoomForGang, nil)
		return
	}
	queued.Remaining = 0
	_, owned := c.fencingTokens[queued.homeShard]
	if !owned || c.tasksBound+len(picks) > tuning.RoundTasks && c.tasksBound > 0 {
		return
	}
	// All or nothing: the grant must cover it whole, and its records must hold it.
	adds := map[int]int{} // tasks by record
	for _, i := range idle {
		adds[job.ChunkOf(i)]++
	}
	for k, n := range adds {
		if c.recordFull(job, k, n, picks[0].Machine.Name) {
			c.logWaiting(job, reasonRecordFull, nil)
			return
		}
	}
	if !c.quota.Allows(queued.homeShard, spec.Team, c.usage(queued.homeShard, spec.Team).AddTimes(queued.Need, float64(len(picks)))) {
		c.logWaiting(job, reasonTeamGrant, nil)
		return
	}
	for x, n := range picks {
		c.bindTask(queued, idle[x], attempt, n, queued.homeShard)
	}
}
