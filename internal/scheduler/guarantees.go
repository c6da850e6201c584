package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// guarantees holds which jobs lie within their team's guaranteed share, as of the last update. Each update replaces the
// maps; they are only read in between.
type guarantees struct {
	updatedAt time.Time
	// jobs holds the jobs whose unfinished tasks all lie within the guarantee.
	jobs map[string]bool
	// running holds the jobs whose bound tasks lie within the guarantee. They are not preempted for other teams.
	running map[string]bool
	// onArrival holds, for each startable job of a team with a guarantee, whether it lay within the guarantee when this
	// node first saw it.
	onArrival map[string]bool
}

// guaranteeBudget is the part of a team's guarantee that its jobs have reserved so far.
type guaranteeBudget struct {
	limit    record.Resources
	reserved record.Resources
}

// reserve adds the resources of some tasks of a job to the reserved ones. It returns false and adds nothing if they
// exceed the limit.
func (b *guaranteeBudget) reserve(job *clusterstate.Job, tasks int) bool {
	total := b.reserved.PlusTimes(record.TaskResources(&job.Spec), float64(tasks))
	total.MemoryGB = 0 // guarantees cover cores and GPUs, not memory
	if !total.FitsIn(b.limit) {
		return false
	}
	b.reserved = total
	return true
}

// updateGuarantees determines which jobs lie within their teams' guarantees.
func (c *cycle) updateGuarantees() {
	earlier := c.order.guarantees.onArrival
	c.order.guarantees = guarantees{
		updatedAt: c.now, jobs: map[string]bool{}, running: map[string]bool{},
		onArrival: make(map[string]bool, len(earlier)),
	}
	for team, jobs := range c.startableJobsOfGuaranteedTeams() {
		limit, _ := c.quota.Guarantee(team)
		c.order.guarantees.addTeam(limit, jobs, earlier, c.guaranteeOrder)
	}
}

// startableJobsOfGuaranteedTeams returns the startable jobs of each team with a guarantee.
func (c *cycle) startableJobsOfGuaranteedTeams() map[string][]*clusterstate.Job {
	teams := map[string][]*clusterstate.Job{}
	for _, job := range c.cluster.Jobs {
		if _, ok := c.quota.Guarantee(job.Spec.Team); ok && job.CanStart() {
			teams[job.Spec.Team] = append(teams[job.Spec.Team], job)
		}
	}
	return teams
}

// guaranteeOrder returns the sort key by which a team's waiting jobs share the rest of its guarantee: the smallest jobs
// first while capacity is short, and jobs that can meet no objective last.
func (c *cycle) guaranteeOrder(job *clusterstate.Job) int {
	if c.missesObjectives(job) {
		return math.MaxInt
	}
	return c.sizeClass(job)
}

// addTeam determines which of one team's jobs lie within its guarantee. The guarantee's budget is spent in three steps.
// First come the jobs that fitted into the guarantee on arrival, together with the team's unfinished jobs that had
// arrived before them: these jobs stay guaranteed. Then come the bound tasks of the other jobs, earliest job first.
// Last come the other waiting jobs, in ascending order of the value that order returns. In order of arrival, one large
// job that can no longer meet its objectives would keep later jobs out of the guarantee until they miss theirs.
func (g *guarantees) addTeam(
	limit record.Resources, jobs []*clusterstate.Job, earlier map[string]bool, order func(*clusterstate.Job) int,
) {
	slices.SortFunc(jobs, func(a, b *clusterstate.Job) int {
		return cmp.Or(cmp.Compare(a.ReadySinceMs(), b.ReadySinceMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	budget := guaranteeBudget{limit: limit}
	others := g.addGuaranteedOnArrival(&budget, jobs, earlier)
	g.addRunning(&budget, others)
	slices.SortStableFunc(others, func(a, b *clusterstate.Job) int { return cmp.Compare(order(a), order(b)) })
	g.addWaiting(&budget, others)
}

// addGuaranteedOnArrival adds the jobs that lay within the guarantee on arrival, and returns the other jobs.
func (g *guarantees) addGuaranteedOnArrival(
	budget *guaranteeBudget, jobs []*clusterstate.Job, earlier map[string]bool,
) []*clusterstate.Job {
	var others []*clusterstate.Job
	byArrival := guaranteeBudget{limit: budget.limit}
	exhausted := false
	for _, job := range jobs {
		id, unfinished := job.Spec.ID, job.Spec.TaskCount-job.DoneCount
		exhausted = exhausted || !byArrival.reserve(job, unfinished)
		guaranteed, known := earlier[id]
		if !known {
			guaranteed = !exhausted
		}
		g.onArrival[id] = guaranteed
		if guaranteed && budget.reserve(job, unfinished) {
			g.jobs[id], g.running[id] = true, true
			continue
		}
		others = append(others, job)
	}
	return others
}

// addRunning adds the bound tasks of the jobs, in the given order, until the guarantee is used up.
func (g *guarantees) addRunning(budget *guaranteeBudget, jobs []*clusterstate.Job) {
	for _, job := range jobs {
		if job.BoundCount > 0 && !budget.reserve(job, job.BoundCount) {
			return
		}
		g.running[job.Spec.ID] = job.BoundCount > 0
	}
}

// addWaiting adds the pending tasks of the jobs, in the given order, until the guarantee is used up.
func (g *guarantees) addWaiting(budget *guaranteeBudget, jobs []*clusterstate.Job) {
	for _, job := range jobs {
		if !budget.reserve(job, job.PendingCount()) {
			return
		}
		g.jobs[job.Spec.ID] = job.BoundCount == 0 || g.running[job.Spec.ID]
	}
}
