package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var jobsCancelledWithDependency = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_jobs_fallen_total", Help: "Jobs cancelled with one that they need."})

// cancelDependents ends the jobs that fall with one that they need. Such a job never had a
// task, so one change turns its record into the final one. The cause is in the
// records of what it needs: whoever owns its part can go on from those alone, and
// where that owner does not, any node does.
func (c *cycle) cancelDependents() {
	cancelled := 0
	for id := range c.cluster.DependencyCancelled() {
		job := c.cluster.Jobs[id]
		key := clusterstate.JobKey(id)
		if job == nil || c.keysInFlight[key] || cancelled >= tuning.DoomRound {
			continue
		}
		if _, owned := c.shards.fencingTokens[c.firstLiveShard(job)]; !owned && c.now.Sub(job.DependencyCancelledAt) < tuning.DoomPatience {
			continue
		}
		cancelled++
		jobsCancelledWithDependency.Inc()
		c.outgoing = append(c.outgoing, &recordChange{description: "end " + id + " with what it needs", keys: []string{key}, harmlessWhenLate: true, transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: job.ModRevision}}, Ops: c.finalOps(job, wire.JobCancelled, job.DoneCount), Urgent: true,
		}})
		c.log.Info("job cancelled with one that it needs", "job", id)
	}
}

// dependentNeeds is what the jobs that need one ask of it: the highest of their
// priorities, and by when it should be over for them to meet their deadlines.
type dependentNeeds struct {
	rank     int
	deadline time.Time
}

// needsOfDependents follows the jobs that need one, directly or through others; those that
// are cancelled ask nothing any more. It reads records only, so that all nodes
// find the same but for their estimates of what lies between.
func (c *cycle) needsOfDependents(id string) dependentNeeds {
	needs := dependentNeeds{rank: wire.PriorityCount}
	dependents := c.cluster.Dependents(id)
	if len(dependents) == 0 {
		return needs
	}
	if known, ok := c.dependentNeedsByJob[id]; ok {
		return known
	}
	for dependent := range dependents {
		job := c.cluster.Jobs[dependent]
		if job == nil || !job.HasRecord || job.Cancelled() || job.DependencyCancelled {
			continue
		}
		further := c.needsOfDependents(dependent)
		needs.rank = min(needs.rank, further.rank, wire.PriorityRank(job.Spec.Priority))
		own, _ := c.firstReachable(c.deadlineObjectives(job), c.predictedRunTime(job))
		if by := earliestNonZero(further.deadline, own); !by.IsZero() {
			needs.deadline = earliestNonZero(needs.deadline, by.Add(-c.predictedRunTime(job)))
		}
	}
	if c.dependentNeedsByJob == nil {
		c.dependentNeedsByJob = map[string]dependentNeeds{}
	}
	c.dependentNeedsByJob[id] = needs
	return needs
}

// earliestNonZero gives the earlier of two times, of which either may be none.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// effectiveRank is a job's priority, raised to that of a job that needs it. Production
// stays for services that users watch: what only leads to something is never
// above high, so that a long pipeline can't push them aside.
func (c *cycle) effectiveRank(job *clusterstate.Job) int {
	return min(wire.PriorityRank(job.Spec.Priority), max(c.needsOfDependents(job.Spec.ID).rank, wire.PriorityRank(wire.PriorityHigh)))
}
