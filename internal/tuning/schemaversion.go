package tuning

import "time"

// Schema versions and dependencies.
const (
	// SchemaVersion is the newest schema version that this program reads and, once all nodes do, writes: 4 is jobs
	// offloaded between cells, 3 counted retries, 2 cancellations that are confirmed once no task is left, 1
	// dependencies and split records, 0 what came before.
	SchemaVersion = 4
	// SchemaVersionDependencies is the first one with jobs that depend on others.
	SchemaVersionDependencies = 1
	// SchemaVersionConfirmedCancel is the first one at which every node confirms a cancellation only once no task
	// of the job is left, so that leases may be renewed during a partition.
	SchemaVersionConfirmedCancel = 2
	// SchemaVersionRetries is the first one that counts the failures of tasks in jobs' records.
	SchemaVersionRetries = 3
	// SchemaVersionOffload is the first one at which a job's record may say that it is with another cell.
	SchemaVersionOffload = 4
	// OutcomeReadRetryPause is the pause before a final record that was not there, or could not be read, is asked
	// for again.
	OutcomeReadRetryPause = 300 * time.Millisecond
	// OutcomeReadConcurrency is how many final records are read at once.
	OutcomeReadConcurrency = 4
	// DependentCancelOwnerGrace is how long a job that is cancelled with one that it depends on is left to the
	// owner of its shard before any node may write its end.
	DependentCancelOwnerGrace = 3 * time.Second
	// DependentCancelsPerCycle bounds the jobs that one cycle cancels so.
	DependentCancelsPerCycle = 32
)
