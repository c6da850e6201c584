package tuning

import "time"

// Job records.
const (
	// FixedChunkTasks is how many tasks one record holds: at about 50 bytes a task it stays below the smallest
	// value limit seen (16 KiB as JSON).
	FixedChunkTasks = 128
	// MinValueLimitKB is the smallest value limit that a record of FixedChunkTasks tasks fits, measured as JSON:
	// about 50 bytes a task and 1 KiB of description.
	MinValueLimitKB = 8
	// MinUpcomingValueLimitKB is the smallest value limit under which records can be split far enough: a
	// description of 600 bytes and MinChunkWidth tasks of a gang.
	MinUpcomingValueLimitKB = 1
	// MinUpcomingTxnOps is the least number of changes of a transaction to come: one old record is split into
	// FixedChunkTasks/MinChunkWidth, and the job's own is written too.
	MinUpcomingTxnOps = 10
	// JSONShareOfValueLimit of a value limit is used where the JSON form is measured: the service may write its
	// numbers and separators a little longer than we do.
	JSONShareOfValueLimit = 0.85
	// MinChunkWidth is the fewest tasks a record is made for.
	MinChunkWidth = 16
	// BoundTaskMaxBytes is what a bound task takes in a record, as JSON: state, attempt, machine, session, charged
	// shard and number, each longer than is ever seen, and a machine's name of up to BoundTaskNameBytes; longer
	// names add what they are longer.
	BoundTaskMaxBytes  = 40
	BoundTaskNameBytes = 20
	// BoundTaskTypicalBytes is what a task of an array takes as a rule: tasks on the same machine stand together. A
	// record in which they do not takes fewer at a time.
	BoundTaskTypicalBytes = 20
	// RetryCountMaxBytes is what a counted failure takes in a record, as JSON: the task's number and the count.
	RetryCountMaxBytes = 12
	// MigrationsPerCycle bounds the old records that one cycle migrates, MigrationInterval paces them where nothing
	// waits for them, so that submissions keep their share of the budget.
	MigrationsPerCycle = 4
	MigrationInterval  = 250 * time.Millisecond
	// MaxTasksPerJob is the largest job of the protocol.
	MaxTasksPerJob = 100_000
	// MaxNameBytes bounds names in users' input.
	MaxNameBytes = 128
	// MaxAmount bounds amounts in users' input; anything larger is absurd.
	MaxAmount = 1e9
	// FinalRecordCacheSize is how many finished jobs a node remembers to spare reads.
	FinalRecordCacheSize = 4096
)
