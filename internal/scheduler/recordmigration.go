package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

var migrationSteps = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_records_moved_total", Help: "Steps in which old job records were split."})

// migrateRecords brings old records that could outgrow the state service's limit into
// the new form: those that are waited for at once, the others in paced steps while
// the budget is free.
func (c *cycle) migrateRecords() {
	if c.cluster.SchemaVersion < tuning.LevelPipelines {
		return
	}
	layout, migrated := c.cluster.SizeLimits(c.committer.MaxRecordBytes()), 0
	migrate := func(id string) {
		c.migration.takeRequest(id)
		job := c.cluster.Jobs[id]
		if job == nil || !job.HasRecord || !job.NeedsMigration(layout) || c.changes.inFlight(record.JobKey(id)) || migrated >= tuning.MoveRound {
			return
		}
		for recordIndex := range job.Chunks {
			if edit := c.recordEdits[recordKey{job, recordIndex}]; edit != nil && len(edit.tasks) > 0 || c.changes.inFlight(job.ChunkKey(recordIndex)) {
				return
			}
		}
		migration, ok := job.MigrateChunk(layout, tuning.MoveRound)
		if !ok || len(migration.Ops) > c.committer.MaxTransactionOps() {
			c.logWaiting(job, waitRecordMigration, nil)
			return
		}
		migrated++
		migrationSteps.Inc()
		change := &recordChange{description: "move records of " + id, harmlessWhenLate: true, transaction: kvstore.Transaction{Conditions: migration.Conditions, Ops: migration.Ops}}
		for _, condition := range migration.Conditions {
			change.keys = append(change.keys, condition.Key)
		}
		c.outgoing = append(c.outgoing, change)
	}
	for id := range c.migration.requested {
		migrate(id)
	}
	if !c.migration.paceIsDue(c.now) || c.committer.QueueLength() >= tuning.PressedItems {
		return
	}
	c.migration.lastPaced = c.now
	for id, job := range c.cluster.Jobs {
		if migrated >= tuning.MoveRound {
			break
		}
		if job.HasRecord && job.NeedsMigration(layout) && c.now.Sub(time.UnixMilli(job.SubmittedAtMs)) > tuning.MoveGap {
			if _, owned := c.shards.fencingTokens[c.firstLiveShard(job)]; owned {
				migrate(id)
			}
		}
	}
}
