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

// needsMigration reports whether a job's records have to be migrated before they are written again. If so, it
// requests the migration, unless the narrowing of the job's chunks is requested already.
func (c *cycle) needsMigration(job *clusterstate.Job) bool {
	if c.narrowings.requested(job.Spec.ID) {
		return true
	}
	if c.cluster.SchemaVersion < tuning.SchemaVersionDependencies ||
		!job.NeedsMigration(c.cluster.SizeLimits(c.committer.MaxRecordBytes())) {
		return false
	}
	c.migration.request(job.Spec.ID)
	return true
}

// recordMigrator migrates records in one cycle, at most tuning.MigrationsPerCycle steps.
type recordMigrator struct {
	*cycle
	limits   record.SizeLimits
	migrated int // number of steps so far
}

// migrateRecords splits old records that could outgrow the value limit of the key-value store. Records that a change
// waits for are migrated at once. Others are migrated in the background every tuning.MigrationInterval, while the
// store's request budget is not used up.
func (c *cycle) migrateRecords() {
	if c.cluster.SchemaVersion < tuning.SchemaVersionDependencies {
		return
	}
	migrator := &recordMigrator{cycle: c, limits: c.cluster.SizeLimits(c.committer.MaxRecordBytes())}
	for id := range c.migration.requested {
		migrator.migrate(id)
	}
	for id := range c.narrowings.requestedAt {
		migrator.narrow(id)
	}
	if c.migration.backgroundDue(c.now) && c.committer.QueueLength() < tuning.StoreSaturatedQueueLength {
		c.migration.lastBackground = c.now
		migrator.migrateInBackground()
	}
}

// migrateInBackground migrates records that no change waits for, of jobs whose first live shard is this node's.
func (m *recordMigrator) migrateInBackground() {
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

// migrate adds the change for the next step of a job's migration, if that is possible in this cycle.
func (m *recordMigrator) migrate(id string) {
	m.migration.removeRequest(id)
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
	m.add(id, step)
}

// narrow adds the change that replaces a job's chunks by narrower ones, if that is possible in this cycle. The change
// is tried once; whoever still needs it requests it again.
func (m *recordMigrator) narrow(id string) {
	job := m.cluster.Jobs[id]
	if job == nil || !job.CanStart() {
		m.narrowings.finish(id)
		return
	}
	if m.changes.inFlight(record.JobKey(id)) || m.migrated >= tuning.MigrationsPerCycle || m.anyChunkChanging(job) {
		return
	}
	m.narrowings.finish(id)
	if step, ok := m.narrowedChunks(job); ok {
		m.log.Info("records of a job split", "job_id", id, "count", len(step.Ops))
		m.add(id, step)
	}
}

// add adds the change for a step of a job's migration.
func (m *recordMigrator) add(id string, step clusterstate.Migration) {
	m.migrated++
	migrationSteps.Inc()
	change := &recordChange{
		kind: changeOfMigration, subject: id, safeIfAppliedLate: true,
		transaction: kvstore.Transaction{Conditions: step.Conditions, Ops: step.Ops},
	}
	for _, condition := range step.Conditions {
		change.keys = append(change.keys, condition.Key)
	}
	m.outgoing = append(m.outgoing, change)
}

// anyChunkChanging reports whether this cycle or a change in flight changes a chunk of a job.
func (m *recordMigrator) anyChunkChanging(job *clusterstate.Job) bool {
	for chunk := range job.Chunks {
		edit := m.chunkEdits[chunkKey{job: job, chunk: chunk}]
		if edit != nil && len(edit.tasks) > 0 || m.changes.inFlight(job.ChunkKey(chunk)) {
			return true
		}
	}
	return false
}
