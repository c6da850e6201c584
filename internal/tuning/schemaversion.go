package tuning

import "time"

// Schema versions and dependencies.
const (
	// SchemaVersion is the newest schema version that this program reads, and writes once all nodes read it.
	// Version 1 added dependencies and split records, 2 cancellations that are confirmed once no task is bound, 3
	// counted retries, 4 jobs that are offloaded between cells, and 5 ranges of fencing tokens. Version 0 is the
	// original schema.
	SchemaVersion = 5
	// SchemaVersionDependencies is the first schema version with dependencies between jobs and with split records.
	SchemaVersionDependencies = 1
	// SchemaVersionConfirmedCancel is the first schema version at which every node confirms a cancellation only once
	// no task of the job is bound. This allows leases to be renewed during a partition.
	SchemaVersionConfirmedCancel = 2
	// SchemaVersionRetries is the first schema version with counts of task failures in job records.
	SchemaVersionRetries = 3
	// SchemaVersionOffload is the first schema version whose job records may refer to another cell.
	SchemaVersionOffload = 4
	// SchemaVersionTokenRanges is the first schema version at which each ownership of a shard has a range of fencing
	// tokens. Nodes of earlier versions take the token after a shard's recorded one, which lies within the range.
	SchemaVersionTokenRanges = 5
	// OutcomeReadRetryBackoff is the backoff before the read of a final record is retried after the record was missing
	// or the read failed.
	OutcomeReadRetryBackoff = 300 * time.Millisecond
	// OutcomeReadConcurrency is the maximum number of final records that are read concurrently.
	OutcomeReadConcurrency = 4
	// DependentCancelOwnerGrace is how long only the owner of the first live shard of a job may cancel the job after
	// one of its dependencies was cancelled. After that any node may do so.
	DependentCancelOwnerGrace = 3 * time.Second
	// DependentCancelsPerCycle is the maximum number of jobs that one scheduling cycle cancels because of a cancelled
	// dependency.
	DependentCancelsPerCycle = 32
)
