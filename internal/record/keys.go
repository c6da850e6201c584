package record

import (
	"fmt"
	"strconv"
	"strings"

	"sableusher/internal/tuning"
)

// LivePrefix is common to the keys of all live records, which every node watches. Final records and
// checkpoints of learners stand apart and are read one by one.
const LivePrefix = "s/"

// Prefixes of the keys of live records, each followed by the record's name.
const (
	JobPrefix          = "s/j/"
	FixedChunkPrefix   = "s/t/"
	GroupedChunkPrefix = "s/u/"
	MachinePrefix      = "s/m/"
	ShardPrefix        = "s/p/"
	NodePrefix         = "s/n/"
	QuotaPrefix        = "s/q/"
	RentalPrefix       = "s/r/"
	CellPrefix         = "s/x/"
	GuestOutcomePrefix = "s/y/"
	MachineTypePrefix  = "s/catalog/"
)

// Keys of records of which there is one.
const (
	CatalogKey       = "s/catalog"
	SchemaVersionKey = "s/level"
)

// Prefixes of the keys of records that are not watched.
const (
	finalPrefix             = "f/"
	learnerCheckpointPrefix = "l/"
)

// JobKey is the key of a live job's own record, which is also its first chunk of tasks.
func JobKey(id string) string { return JobPrefix + id }

// FinalKey is the key of what remains of a finished job.
func FinalKey(id string) string { return finalPrefix + id }

// FixedChunkKey is the key of a job's FixedChunk; index counts from 1.
func FixedChunkKey(id string, index int) string {
	return fmt.Sprintf("%s%s/%04d", FixedChunkPrefix, id, index)
}

// GroupedChunkKey is the key of a job's GroupedChunk; index counts from 1.
func GroupedChunkKey(id string, index int) string {
	return fmt.Sprintf("%s%s/%05d", GroupedChunkPrefix, id, index)
}

// MachineKey is the key of a machine's record.
func MachineKey(name string) string { return MachinePrefix + name }

// MachineTypeKey is the key of a machine type where the catalog is kept by type.
func MachineTypeKey(name string) string { return MachineTypePrefix + name }

// ShardKey is the key of a shard's ownership record; LeaderShard has one too.
func ShardKey(shard int) string { return ShardPrefix + strconv.Itoa(shard) }

// NodeKey is the key of a node's session record.
func NodeKey(name string) string { return NodePrefix + name }

// QuotaKey is the key of a team's quota grants.
func QuotaKey(team string) string { return QuotaPrefix + team }

// RentalKey is the key of a rental request.
func RentalKey(name string) string { return RentalPrefix + name }

// CellKey is the key of what is kept of another cell.
func CellKey(cell string) string { return CellPrefix + cell }

// GuestOutcomeKey is the key of the outcome of a job that came from another cell in the transfer with
// this number.
func GuestOutcomeKey(cell string, transfer uint64) string {
	return fmt.Sprintf("%s%s/%d", GuestOutcomePrefix, cell, transfer)
}

// LearnerCheckpointKey is the key of a node's learner checkpoint.
func LearnerCheckpointKey(node string) string { return learnerCheckpointPrefix + node }

// LearnerCheckpointPieceKey is the key of a further piece of a learner checkpoint too long for one value.
func LearnerCheckpointPieceKey(node string, piece int) string {
	return fmt.Sprintf("%s%s/%d", learnerCheckpointPrefix, node, piece)
}

// ParseChunkKey reads the key of a FixedChunk or GroupedChunk.
func ParseChunkKey(key string) (jobID string, index int, ok bool) {
	// Both prefixes have the same length, and what follows reads like a task's name.
	ref, ok := ParseTaskRef(key[len(FixedChunkPrefix):])
	return ref.JobID, ref.Index, ok && ref.Index > 0 && ref.Index < tuning.MaxTasksPerJob
}

// ParseGuestOutcomeKey reads the key of a GuestOutcome.
func ParseGuestOutcomeKey(key string) (cell string, transfer uint64, ok bool) {
	cell, number, ok := strings.Cut(strings.TrimPrefix(key, GuestOutcomePrefix), "/")
	transfer, err := strconv.ParseUint(number, 10, 64)
	return cell, transfer, ok && err == nil
}

// ParseShardKey reads the key of a Shard. Only nodes write such keys, so it expects a well-formed one.
func ParseShardKey(key string) int {
	shard := 0
	for _, c := range strings.TrimPrefix(key, ShardPrefix) {
		if c == '-' {
			return LeaderShard
		}
		shard = shard*10 + int(c-'0')
	}
	return shard
}
