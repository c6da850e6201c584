package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// guarantees tells which work lies within its team's guaranteed share, as of the last update.
// The maps are replaced by each update and only read in between.
type guarantees struct {
	updatedAt time.Time
	// jobs holds the jobs of which all unfinished tasks lie within the guarantee.
	jobs map[string]bool
	// running holds the jobs whose bound tasks lie within it: they are not preempted for other teams.
	running map[string]bool
	// onArrival tells of each startable job of a team with a guarantee whether it lay within the
	// guarantee when this node first saw it.
	onArrival map[string]bool
}

// guaranteeBudget is what a team's guarantee has left while its jobs are gone through.
type guaranteeBudget struct {
	limit    record.Resources
	reserved record.Resources
}

// reserve takes some tasks of a job from the budget; false, and nothing taken, if they exceed it.
func (b *guaranteeBudget) reserve(job *clusterstate.Job, tasks int) bool {
	total := b.reserved.PlusTimes(record.TaskResources(&job.Spec), float64(tasks))
	total.MemoryGB = 0 // guarantees are of cores and GPUs
	if !total.FitsIn(b.limit) {
		return false
	}
	b.reserved = total
	return true
}

// updateGuarantees finds what lies within the teams' guarantees.
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

// startableJobsOfGuaranteedTeams gives, for each team with a guarantee, its jobs that may start.
func (c *cycle) startableJobsOfGuaranteedTeams() map[string][]*clusterstate.Job {
	teams := map[string][]*clusterstate.Job{}
	for _, job := range c.cluster.Jobs {
		if _, ok := c.quota.Guarantee(job.Spec.Team); ok && job.CanStart() {
			teams[job.Spec.Team] = append(teams[job.Spec.Team], job)
		}
	}
	return teams
}

// guaranteeOrder orders a team's waiting jobs within what its guarantee has left: the smallest first
// where capacity is short, and those that can meet no objective last.
func (c *cycle) guaranteeOrder(job *clusterstate.Job) int {
	if c.missesObjectives(job) {
		return math.MaxInt
	}
	return c.sizeClass(job)
}

// addTeam finds what of one team's jobs lies within its guarantee. First come the jobs that did
// when they arrived, together with the team's earlier unfinished jobs: that was promised. Then
// what runs of the others, the earliest first. The team's waiting jobs share the rest in the given
// order: by arrival alone one large job that is late would keep out the later ones until they are
// late as well.
func (g *guarantees) addTeam(
	limit record.Resources, jobs []*clusterstate.Job, earlier map[string]bool, order func(*clusterstate.Job) int,
) {
	slices.SortFunc(jobs, func(a, b *clusterstate.Job) int {
		return cmp.Or(cmp.Compare(a.ReadySinceMs(), b.ReadySinceMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	budget := guaranteeBudget{limit: limit}
	others := g.addPromised(&budget, jobs, earlier)
	g.addRunning(&budget, others)
	slices.SortStableFunc(others, func(a, b *clusterstate.Job) int { return cmp.Compare(order(a), order(b)) })
	g.addWaiting(&budget, others)
}

// addPromised adds the jobs that lay within the guarantee when they arrived and gives the others.
func (g *guarantees) addPromised(
	budget *guaranteeBudget, jobs []*clusterstate.Job, earlier map[string]bool,
) []*clusterstate.Job {
	var others []*clusterstate.Job
	byArrival := guaranteeBudget{limit: budget.limit}
	exhausted := false
	for _, job := range jobs {
		id, unfinished := job.Spec.ID, job.Spec.TaskCount-job.DoneCount
		exhausted = exhausted || !byArrival.reserve(job, unfinished)
		promised, known := earlier[id]
		if !known {
			promised = !exhausted
		}
		g.onArrival[id] = promised
		if promised && budget.reserve(job, unfinished) {
			g.jobs[id], g.running[id] = true, true
			continue
		}
		others = append(others, job)
	}
	return others
}

// addRunning adds what runs of some jobs, in their order, until the guarantee is used up.
func (g *guarantees) addRunning(budget *guaranteeBudget, jobs []*clusterstate.Job) {
	for _, job := range jobs {
		if job.BoundCount > 0 && !budget.reserve(job, job.BoundCount) {
			return
		}
		g.running[job.Spec.ID] = job.BoundCount > 0
	}
}

// addWaiting adds what waits of some jobs, in their order, until the guarantee is used up.
func (g *guarantees) addWaiting(budget *guaranteeBudget, jobs []*clusterstate.Job) {
	for _, job := range jobs {
		if !budget.reserve(job, job.PendingCount()) {
			return
		}
		g.jobs[job.Spec.ID] = job.BoundCount == 0 || g.running[job.Spec.ID]
	}
}
