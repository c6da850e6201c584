package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var jobsCancelledWithDependency = promauto.NewCounter(prometheus.CounterOpts{
	Name: "sableusher_jobs_fallen_total",
	Help: "Jobs cancelled with one that they need.",
})

// cancelDependents ends the jobs that need one that is cancelled. Such a job never had a task, so one
// change turns its record into the final one. The cause is in the records of what it needs: whoever owns
// its home shard can go on from those alone, and where that owner does not, any node does.
func (c *cycle) cancelDependents() {
	cancelled := 0
	for id := range c.cluster.DependencyCancelled() {
		job := c.cluster.Jobs[id]
		if job == nil || c.changes.inFlight(record.JobKey(id)) || cancelled >= tuning.DependentCancelsPerCycle {
			continue
		}
		if !c.shards.owns(c.firstLiveShard(job)) &&
			c.now.Sub(job.DependencyCancelledAt) < tuning.DependentCancelOwnerGrace {
			continue
		}
		cancelled++
		jobsCancelledWithDependency.Inc()
		c.outgoing = append(c.outgoing, c.cancelDependent(job))
		c.log.Info("job cancelled with one that it needs", "job_id", id)
	}
}

// cancelDependent is the change that ends a job as cancelled.
func (c *cycle) cancelDependent(job *clusterstate.Job) *recordChange {
	key := record.JobKey(job.Spec.ID)
	return &recordChange{
		kind:             changeOfCancelledJob,
		subject:          job.Spec.ID,
		keys:             []string{key},
		harmlessWhenLate: true,
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: job.ModRevision}},
			Ops:        c.finalOps(job, wire.JobCancelled, job.DoneCount),
			Priority:   kvstore.PriorityUrgent,
		},
	}
}

// dependentNeeds is what the jobs that need one ask of it: the highest of their priorities, and by when it
// should be over for them to meet their deadlines; zero if none of them has one.
type dependentNeeds struct {
	rank     int
	deadline time.Time
}

// needsOfDependents follows the jobs that need one, directly or through others; those that are cancelled
// ask nothing any more. It reads records only, so that all nodes find the same but for their estimates of
// the run times in between.
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
		if job == nil || !job.HasRecord || job.Stopping() || job.DependencyCancelled {
			continue
		}
		further := c.needsOfDependents(dependent)
		needs.rank = min(needs.rank, further.rank, job.Spec.Priority.Rank())
		own, _ := firstReachable(c.now, c.deadlineObjectives(job), c.predictedRunTime(job))
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

// earliestNonZero returns the earlier of two times, of which either may be the zero time for none.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// effectiveRank is the rank of a job's priority, raised to that of a job that needs it. Production stays
// for services that users watch: work for the sake of other jobs is at most of high priority, so that a
// long pipeline can't push services aside.
func (c *cycle) effectiveRank(job *clusterstate.Job) int {
	return min(job.Spec.Priority.Rank(), max(c.needsOfDependents(job.Spec.ID).rank, wire.PriorityHigh.Rank()))
}

// isHighPriority reports whether a rank is that of high or production priority: work that doesn't wait for others.
func isHighPriority(rank int) bool { return rank <= wire.PriorityHigh.Rank() }
