package scheduler

import (
	"cmp"
	"math"
	"slices"

	"sableusher/internal/clusterstate"
)

// updateGuarantees finds what lies within the teams' guarantees. First come the jobs that did when
// they came, together with the team's earlier unfinished jobs, which is what was promised.
// Then what runs of the others, the earliest first: it is covered, so that no other team's
// work has it stopped. Which of the team's waiting jobs have the rest is open: not what can be
// in time for nothing any more, and where room is short the smallest. By arrival alone one
// large job that is late would keep out the team's later ones until they are late as well.
func (c *cycle) updateGuarantees() {
	c.guaranteesAt, c.withinGuarantee, c.runningWithinGuarantee = c.now, map[string]bool{}, map[string]bool{}
	teams := map[string][]*clusterstate.Job{}
	for _, job := range c.cluster.Jobs {
		if _, ok := c.quota.Guarantee(job.Spec.Team); ok && job.CanStart() {
			teams[job.Spec.Team] = append(teams[job.Spec.Team], job)
		}
	}
	given := c.guaranteedOnArrival
	c.guaranteedOnArrival = make(map[string]bool, len(given))
	for team, jobs := range teams {
		slices.SortFunc(jobs, func(a, b *clusterstate.Job) int {
			return cmp.Or(cmp.Compare(a.ReadySinceMs(), b.ReadySinceMs()), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		limit, _ := c.quota.Guarantee(team)
		reserve := func(reserved *clusterstate.Resources, job *clusterstate.Job, tasks int) bool {
			total := reserved.AddTimes(clusterstate.TaskResources(&job.Spec), float64(tasks))
			total.MemoryGB = 0
			if !total.FitsIn(limit) {
				return false
			}
			*reserved = total
			return true
		}
		var earlierReserved, reserved clusterstate.Resources
		exhausted := false
		var others []*clusterstate.Job
		for _, job := range jobs {
			id, unfinished := job.Spec.ID, job.Spec.TaskCount-job.DoneCount
			exhausted = exhausted || !reserve(&earlierReserved, job, unfinished)
			wasGiven, known := given[id]
			if c.guaranteedOnArrival[id] = wasGiven || !known && !exhausted; c.guaranteedOnArrival[id] && reserve(&reserved, job, unfinished) {
				c.withinGuarantee[id], c.runningWithinGuarantee[id] = true, true
				continue
			}
			others = append(others, job)
		}
		for _, job := range others {
			if job.BoundCount > 0 && !reserve(&reserved, job, job.BoundCount) {
				break
			}
			c.runningWithinGuarantee[job.Spec.ID] = job.BoundCount > 0
		}
		slices.SortStableFunc(others, func(a, b *clusterstate.Job) int { return cmp.Compare(c.guaranteeOrder(a), c.guaranteeOrder(b)) })
		for _, job := range others {
			if !reserve(&reserved, job, job.PendingCount()) {
				break
			}
			c.withinGuarantee[job.Spec.ID] = job.BoundCount == 0 || c.runningWithinGuarantee[job.Spec.ID]
		}
	}
}

// guaranteeOrder orders the waiting jobs of a team within what its guarantee has left.
func (c *cycle) guaranteeOrder(job *clusterstate.Job) int {
	if c.missesObjectives(job) {
		return math.MaxInt
	}
	return c.sizeClass(job)
}
