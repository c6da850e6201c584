package record

import (
	"fmt"
	"strconv"
	"strings"

	"sableusher/internal/tuning"
)

// LivePrefix is the common prefix of the keys of all live records, which every node watches. Final records and learner
// checkpoints have other prefixes and are read individually.
const LivePrefix = "s/"

// Key prefixes of the live records. Each prefix is followed by the name of the record.
const (
	JobPrefix             = "s/j/"
	FixedChunkPrefix      = "s/t/"
	GroupedChunkPrefix    = "s/u/"
	MachinePrefix         = "s/m/"
	ShardPrefix           = "s/p/"
	NodePrefix            = "s/n/"
	QuotaPrefix           = "s/q/"
	RentalPrefix          = "s/r/"
	CellPrefix            = "s/x/"
	TransferOutcomePrefix = "s/y/"
	MachineTypePrefix     = "s/catalog/"
)

// Keys of the records that exist only once.
const (
	CatalogKey       = "s/catalog"
	SchemaVersionKey = "s/level"
)

// Key prefixes of the records that are not watched.
const (
	finalPrefix             = "f/"
	learnerCheckpointPrefix = "l/"
)

// JobKey returns the key of a live job's own record, which contains its first chunk of tasks.
func JobKey(id string) string { return JobPrefix + id }

// FinalKey returns the key of a finished job's final record.
func FinalKey(id string) string { return finalPrefix + id }

// FixedChunkKey returns the key of a job's FixedChunk; index starts at 1.
func FixedChunkKey(id string, index int) string {
	return fmt.Sprintf("%s%s/%04d", FixedChunkPrefix, id, index)
}

// GroupedChunkKey returns the key of a job's GroupedChunk; index starts at 1.
func GroupedChunkKey(id string, index int) string {
	return fmt.Sprintf("%s%s/%05d", GroupedChunkPrefix, id, index)
}

// MachineKey returns the key of a machine's record.
func MachineKey(name string) string { return MachinePrefix + name }

// MachineTypeKey returns the key of a machine type, for a catalog that is stored in one record per type.
func MachineTypeKey(name string) string { return MachineTypePrefix + name }

// ShardKey returns the key of a shard's ownership record. LeaderShard has one too.
func ShardKey(shard int) string { return ShardPrefix + strconv.Itoa(shard) }

// NodeKey returns the key of a node's session record.
func NodeKey(name string) string { return NodePrefix + name }

// QuotaKey returns the key of a team's quota grants.
func QuotaKey(team string) string { return QuotaPrefix + team }

// RentalKey returns the key of a rental request.
func RentalKey(name string) string { return RentalPrefix + name }

// CellKey returns the key of the record about another cell.
func CellKey(cell string) string { return CellPrefix + cell }

// TransferOutcomeKey returns the key of the outcome of a job that was offloaded from the given cell in the transfer
// with the given number.
func TransferOutcomeKey(cell string, transfer uint64) string {
	return fmt.Sprintf("%s%s/%d", TransferOutcomePrefix, cell, transfer)
}

// LearnerCheckpointKey returns the key of a node's learner checkpoint.
func LearnerCheckpointKey(node string) string { return learnerCheckpointPrefix + node }

// LearnerCheckpointPieceKey returns the key of a further piece of a learner checkpoint that is too long for one value.
func LearnerCheckpointPieceKey(node string, piece int) string {
	return fmt.Sprintf("%s%s/%d", learnerCheckpointPrefix, node, piece)
}

// ParseChunkKey parses the key of a FixedChunk or GroupedChunk, which must have the prefix of one of them.
func ParseChunkKey(key string) (jobID string, index int, ok bool) {
	// Both prefixes have the same length, and the rest of the key has the form of a task reference.
	ref, ok := ParseTaskRef(key[len(FixedChunkPrefix):])
	return ref.JobID, ref.Index, ok && ref.Index > 0 && ref.Index < tuning.MaxTasksPerJob
}

// ParseTransferOutcomeKey parses the key of a TransferOutcome.
func ParseTransferOutcomeKey(key string) (cell string, transfer uint64, ok bool) {
	cell, number, ok := strings.Cut(strings.TrimPrefix(key, TransferOutcomePrefix), "/")
	transfer, err := strconv.ParseUint(number, 10, 64)
	return cell, transfer, ok && err == nil
}

// ParseShardKey parses the key of a Shard. It does not check the key, because only nodes write such keys.
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
