package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

var migrationSteps = promauto.NewCounter(prometheus.CounterOpts{
	Name: "sableusher_records_moved_total",
	Help: "Steps in which old job records were split.",
})

// needsMigration reports whether a job's records have to be migrated before they are written again, and asks for it.
func (c *cycle) needsMigration(job *clusterstate.Job) bool {
	if c.cluster.SchemaVersion < tuning.SchemaVersionDependencies ||
		!job.NeedsMigration(c.cluster.SizeLimits(c.committer.MaxRecordBytes())) {
		return false
	}
	c.migration.request(job.Spec.ID)
	return true
}

// recordMigrator migrates records in one cycle, in as many steps as one may take.
type recordMigrator struct {
	*cycle
	limits   record.SizeLimits
	migrated int // steps taken so far
}

// migrateRecords splits old records that could outgrow the value limit of the key-value store: at once where a change
// waits for it, the others at a pace of their own while the request budget is free.
func (c *cycle) migrateRecords() {
	if c.cluster.SchemaVersion < tuning.SchemaVersionDependencies {
		return
	}
	migrator := &recordMigrator{cycle: c, limits: c.cluster.SizeLimits(c.committer.MaxRecordBytes())}
	for id := range c.migration.requested {
		migrator.migrate(id)
	}
	if c.migration.paceIsDue(c.now) && c.committer.QueueLength() < tuning.StoreSaturatedQueueLength {
		c.migration.lastPaced = c.now
		migrator.migrateUnrequested()
	}
}

// migrateUnrequested migrates records that no change waits for, of jobs whose home shard is this node's.
func (m *recordMigrator) migrateUnrequested() {
	for id, job := range m.cluster.Jobs {
		if m.migrated >= tuning.MigrationsPerCycle {
			return
		}
		age := m.now.Sub(time.UnixMilli(job.SubmittedAtMs))
		if job.HasRecord && job.NeedsMigration(m.limits) && age > tuning.MigrationInterval &&
			m.shards.owns(m.firstLiveShard(job)) {
			m.migrate(id)
		}
	}
}

// migrate adds the change that takes a job's next step of migration, if it can be taken now.
func (m *recordMigrator) migrate(id string) {
	m.migration.takeRequest(id)
	job := m.cluster.Jobs[id]
	if job == nil || !job.HasRecord || !job.NeedsMigration(m.limits) || m.changes.inFlight(record.JobKey(id)) ||
		m.migrated >= tuning.MigrationsPerCycle || m.anyChunkChanging(job) {
		return
	}
	step, ok := job.MigrateChunk(m.limits, tuning.MigrationsPerCycle)
	if !ok || len(step.Ops) > m.committer.MaxTransactionOps() {
		m.logWaiting(job, waitRecordMigration, nil)
		return
	}
	m.migrated++
	migrationSteps.Inc()
	change := &recordChange{
		kind: changeOfMigration, subject: id, harmlessWhenLate: true,
		transaction: kvstore.Transaction{Conditions: step.Conditions, Ops: step.Ops},
	}
	for _, condition := range step.Conditions {
		change.keys = append(change.keys, condition.Key)
	}
	m.outgoing = append(m.outgoing, change)
}

// anyChunkChanging reports whether a chunk of a job is changed in this cycle or by a change in flight.
func (m *recordMigrator) anyChunkChanging(job *clusterstate.Job) bool {
	for chunk := range job.Chunks {
		edit := m.chunkEdits[chunkKey{job: job, chunk: chunk}]
		if edit != nil && len(edit.tasks) > 0 || m.changes.inFlight(job.ChunkKey(chunk)) {
			return true
		}
	}
	return false
}
