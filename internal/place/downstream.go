package place

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

var fallen = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_jobs_fallen_total", Help: "Jobs cancelled with one that they need."})

// doom ends the jobs that fall with one that they need. Such a job never had a
// task, so one change turns its record into the final one. The cause is in the
// records of what it needs: whoever owns its part can go on from those alone, and
// where that owner does not, any node does.
func (r *round) doom() {
	n := 0
	for id := range r.cluster.DependencyCancelled() {
		j := r.cluster.Jobs[id]
		key := world.JobKey(id)
		if j == nil || r.keysInFlight[key] || n >= tuning.DoomRound {
			continue
		}
		if _, mine := r.tokens[r.first(j)]; !mine && r.now.Sub(j.DependencyCancelledAt) < tuning.DoomPatience {
			continue
		}
		n++
		fallen.Inc()
		r.out = append(r.out, &recordChange{description: "end " + id + " with what it needs", keys: []string{key}, harmlessWhenLate: true, transaction: store.Transaction{
			Conditions: []wire.Condition{{Key: key, ModRevision: j.ModRevision}}, Ops: r.finalOps(j, wire.JobCancelled, j.DoneCount), Urgent: true,
		}})
		r.log.Info("job cancelled with one that it needs", "job", id)
	}
}
