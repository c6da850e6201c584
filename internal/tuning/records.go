package tuning

import "time"

// Job records.
const (
	// FixedChunkTasks is the number of tasks in a fixed chunk. A task takes up to about 50 bytes as JSON
	// (BoundTaskMaxBytes and RetryCountMaxBytes), so that the record stays well below 16 KiB as JSON, the smallest
	// value limit known of a store, and below MinValueLimitKB, the smallest one that may be configured.
	FixedChunkTasks = 128
	// MinValueLimitKB is the smallest value limit, in KiB as JSON, that may be configured as the current limit. A
	// record of FixedChunkTasks tasks fits within it: up to about 50 bytes per task and 1 KiB for the description.
	MinValueLimitKB = 8
	// MinUpcomingValueLimitKB is the smallest value limit, in KiB as JSON, that may be configured as an upcoming limit.
	// It is below MinValueLimitKB because records can be split to fit within it: it has room for a description of 600
	// bytes and MinChunkWidth tasks of a gang.
	MinUpcomingValueLimitKB = 1
	// MinUpcomingTxnOps is the smallest number of operations per transaction that may be configured as an upcoming
	// limit. A migration step deletes the record of one fixed chunk and writes FixedChunkTasks/MinChunkWidth grouped
	// chunks and the job's own record.
	MinUpcomingTxnOps = 10
	// JSONShareOfValueLimit is the fraction of a value limit that a record may use if its size is computed in the
	// JSON form. The key-value store may write numbers and separators slightly longer than the computation assumes.
	JSONShareOfValueLimit = 0.85
	// MinChunkWidth is the smallest chunk width, in tasks, of a job with grouped chunks.
	MinChunkWidth = 16
	// BoundTaskMaxBytes is the maximum size of a bound task in a fixed chunk, as JSON: state, attempt, machine,
	// session, charged shard and index, each with more digits than occur in practice, and a machine name of up to
	// BoundTaskNameBytes bytes. The excess length of longer names has to be added.
	BoundTaskMaxBytes  = 40
	BoundTaskNameBytes = 20
	// GroupedTaskMaxBytes is the maximum size of a task that forms a group of its own in a grouped chunk, as JSON:
	// 17 bytes of separators, state and length of the index run, 14 digits of attempt, session, charged shard and
	// index, and a machine name of up to GroupedTaskNameBytes bytes. The excess length of longer names has to be added.
	GroupedTaskMaxBytes  = 40
	GroupedTaskNameBytes = 9
	// BoundTaskTypicalBytes is the typical size of a bound array task in a record, as JSON, where tasks on the same
	// machine form one group. If the tasks are on more machines, fewer of them can be bound at the same time.
	BoundTaskTypicalBytes = 20
	// RetryCountMaxBytes is the maximum size of a task's entry in the failure list of a record, as JSON: the index of
	// the task and its number of failures.
	RetryCountMaxBytes = 12
	// NarrowingTimeout is how long the chunks of a job are not written otherwise while they wait to be replaced by
	// narrower ones, that is until the changes in flight have ended.
	NarrowingTimeout = time.Second
	// NarrowingInterval is the minimum time between two attempts to replace the chunks of a job by narrower ones.
	NarrowingInterval = 2 * time.Second
	// FullChunkRecheckInterval is how long a chunk without space counts as full while its record doesn't change.
	FullChunkRecheckInterval = 5 * time.Second
	// MigrationsPerCycle is the maximum number of migration steps in one scheduling cycle, each of which migrates one
	// record. It is also the maximum number of chunks without a record that one step skips. Together with
	// MigrationInterval it leaves enough of the request budget for submissions.
	MigrationsPerCycle = 4
	// MigrationInterval is the minimum time between two cycles that migrate records in the background, that is
	// records that no change waits for. It is also the minimum age of a job whose records are migrated in the
	// background.
	MigrationInterval = 250 * time.Millisecond
	// MaxTasksPerJob is the maximum number of tasks in a job that the protocol allows.
	MaxTasksPerJob = 100_000
	// MaxNameBytes is the maximum length of a name in user input.
	MaxNameBytes = 128
	// MaxAmount is the maximum of a numeric amount in user input. No plausible amount is larger.
	MaxAmount = 1e9
	// FinalRecordCacheSize is the number of final records that a node caches to avoid reads.
	FinalRecordCacheSize = 4096
)
