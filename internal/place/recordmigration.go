package place

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/world"
)

var migrationSteps = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_records_moved_total", Help: "Steps in which old job records were split."})

// migrateRecords brings old records that could outgrow the state service's limit into
// the new form: those that are waited for at once, the others in paced steps while
// the budget is free.
func (r *round) migrateRecords() {
	if r.cluster.SchemaVersion < tuning.LevelPipelines {
		return
	}
	layout, migrated := r.cluster.SizeLimits(r.committer.MaxRecordBytes()), 0
	migrate := func(id string) {
		delete(r.jobsToMigrate, id)
		job := r.cluster.Jobs[id]
		if job == nil || !job.HasRecord || !job.NeedsMigration(layout) || r.keysInFlight[world.JobKey(id)] || migrated >= tuning.MoveRound {
			return
		}
		for recordIndex := range job.Chunks {
			if edit := r.edits[recordKey{job, recordIndex}]; edit != nil && len(edit.tasks) > 0 || r.keysInFlight[job.ChunkKey(recordIndex)] {
				return
			}
		}
		conditions, ops, ok := job.MigrateChunk(layout, tuning.MoveRound)
		if !ok || len(ops) > r.committer.MaxTransactionOps() {
			r.waiting(job, "its records can't be split far enough", nil)
			return
		}
		migrated++
		migrationSteps.Inc()
		change := &recordChange{description: "move records of " + id, harmlessWhenLate: true, transaction: store.Transaction{Conditions: conditions, Ops: ops}}
		for _, condition := range conditions {
			change.keys = append(change.keys, condition.Key)
		}
		r.out = append(r.out, change)
	}
	for id := range r.jobsToMigrate {
		migrate(id)
	}
	if r.now.Sub(r.lastMigration) < tuning.MoveGap || r.committer.QueueLength() >= tuning.PressedItems {
		return
	}
	r.lastMigration = r.now
	for id, job := range r.cluster.Jobs {
		if migrated >= tuning.MoveRound {
			break
		}
		if job.HasRecord && job.NeedsMigration(layout) && r.now.Sub(time.UnixMilli(job.SubmittedAtMs)) > tuning.MoveGap {
			if _, owned := r.tokens[r.first(job)]; owned {
				migrate(id)
			}
		}
	}
}
