package scheduler

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
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
		key := record.JobKey(id)
		if job == nil || c.changes.inFlight(key) || cancelled >= tuning.DoomRound {
			continue
		}
		if _, owned := c.fencingTokens[c.firstLiveShard(job)]; !owned && c.now.Sub(job.DependencyCancelledAt) < tuning.DoomPatience {
			continue
		}
		cancelled++
		jobsCancelledWithDependency.Inc()
		c.outgoing = append(c.outgoing, &recordChange{description: "end " + id + " with what it needs", keys: []string{key}, harmlessWhenLate: true, transaction: kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: job.ModRevision}}, Ops: c.finalOps(job, wire.JobCancelled, job.DoneCount), Priority: kvstore.PriorityUrgent,
		}})
		c.log.Info("job cancelled with one that it needs", "job", id)
	}
}
