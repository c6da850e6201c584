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

// cancelDependents ends the jobs of which a dependency is cancelled. Such a job never had a task, so a single change
// turns its record into the final one. The records of its dependencies are enough to decide this, so any node may do
// it: the owner of the job's first live shard at once, any other node after tuning.DependentCancelOwnerGrace.
func (c *cycle) cancelDependents() {
	cancelled := 0
	for id := range c.cluster.JobsWithCancelledDependency() {
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
		c.log.Info("job cancelled because a dependency was cancelled", "job_id", id)
	}
}

// cancelDependent returns the change that ends a job as cancelled.
func (c *cycle) cancelDependent(job *clusterstate.Job) *recordChange {
	key := record.JobKey(job.Spec.ID)
	return &recordChange{
		kind:              changeOfCancelledJob,
		subject:           job.Spec.ID,
		keys:              []string{key},
		safeIfAppliedLate: true,
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: job.ModRevision}},
			Ops:        c.finalOps(job, wire.JobCancelled, job.DoneCount),
			Priority:   kvstore.PriorityUrgent,
		},
	}
}

// dependentNeeds is what a job's dependents require of it: the highest of their priorities, as a rank, and the time
// by which the job should be done so that they can meet their deadlines. The deadline is zero if no dependent has
// one.
type dependentNeeds struct {
	rank     int
	deadline time.Time
}

// needsOfDependents returns what a job's direct and indirect dependents require of it; dependents that are cancelled
// require nothing. It depends on records, the estimates of run times and the clock. The last two differ little between
// nodes, so all nodes get nearly the same result.
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
		transitive := c.needsOfDependents(dependent)
		needs.rank = min(needs.rank, transitive.rank, job.Spec.Priority.Rank())
		ownDeadline, _ := firstReachable(c.now, c.deadlineObjectives(job), c.predictedRunTime(job))
		if by := earliestNonZero(transitive.deadline, ownDeadline); !by.IsZero() {
			needs.deadline = earliestNonZero(needs.deadline, by.Add(-c.predictedRunTime(job)))
		}
	}
	if c.dependentNeedsByJob == nil {
		c.dependentNeedsByJob = map[string]dependentNeeds{}
	}
	c.dependentNeedsByJob[id] = needs
	return needs
}

// earliestNonZero returns the earlier of two times. The zero time stands for none.
func earliestNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// effectiveRank returns the rank of a job's priority, raised to that of its dependents but at most to high priority.
// Production priority is reserved for services that users depend on, so that a long pipeline can't displace them.
func (c *cycle) effectiveRank(job *clusterstate.Job) int {
	return min(job.Spec.Priority.Rank(), max(c.needsOfDependents(job.Spec.ID).rank, wire.PriorityHigh.Rank()))
}

// isHighPriority reports whether a rank is that of high or production priority. Such work is not delayed for other
// work.
func isHighPriority(rank int) bool { return rank <= wire.PriorityHigh.Rank() }
