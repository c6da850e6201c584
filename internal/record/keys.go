package record

import (
	"fmt"
	"strconv"
	"strings"

	"sableusher/internal/tuning"
)

// ParseGuestOutcomeKey reads the key of a guest's end.
func ParseGuestOutcomeKey(key string) (cell string, number uint64, ok bool) {
	cell, n, ok := strings.Cut(strings.TrimPrefix(key, GuestOutcomePrefix), "/")
	number, err := strconv.ParseUint(n, 10, 64)
	return cell, number, ok && err == nil
}

func ParseShardKey(key string) int {
	p := 0
	for _, c := range strings.TrimPrefix(key, ShardPrefix) {
		if c == '-' {
			return LeaderShard
		}
		p = p*10 + int(c-'0')
	}
	return p
}

// Keys of the state service. All live records stand under Root and are
// followed by every node; finished jobs stand apart and are read one by one.
const (
	LivePrefix         = "s/"
	JobPrefix          = "s/j/"
	FixedChunkPrefix   = "s/t/"
	MachinePrefix      = "s/m/"
	ShardPrefix        = "s/p/"
	NodePrefix         = "s/n/"
	QuotaPrefix        = "s/q/"
	RentalPrefix       = "s/r/"
	GroupedChunkPrefix = "s/u/"
	CellPrefix         = "s/x/"
	GuestOutcomePrefix = "s/y/"
	CatalogKey         = "s/catalog"
	MachineTypePrefix  = "s/catalog/"
	SchemaVersionKey   = "s/level"
	finalPrefix        = "f/"
	learnerPrefix      = "l/"
)

// Keys by record.
func JobKey(id string) string { return JobPrefix + id }

func FixedChunkKey(id string, k int) string { return fmt.Sprintf("%s%s/%04d", FixedChunkPrefix, id, k) }

func GroupedChunkKey(id string, k int) string {
	return fmt.Sprintf("%s%s/%05d", GroupedChunkPrefix, id, k)
}

func MachineTypeKey(name string) string { return MachineTypePrefix + name }

func MachineKey(name string) string { return MachinePrefix + name }

func ShardKey(p int) string { return ShardPrefix + strconv.Itoa(p) }

func NodeKey(name string) string { return NodePrefix + name }

func QuotaKey(team string) string { return QuotaPrefix + team }

func RentalKey(name string) string { return RentalPrefix + name }

func LearnerCheckpointKey(node string) string { return learnerPrefix + node }

func LearnerCheckpointPieceKey(node string, i int) string {
	return fmt.Sprintf("%s%s/%d", learnerPrefix, node, i)
}

func FinalKey(id string) string { return finalPrefix + id }

func CellKey(cell string) string { return CellPrefix + cell }

func GuestOutcomeKey(cell string, number uint64) string {
	return fmt.Sprintf("%s%s/%d", GuestOutcomePrefix, cell, number)
}

// ParseChunkKey reads the key of a further record of tasks.
func ParseChunkKey(key string) (string, int, bool) {
	ref, ok := ParseTaskRef(key[len(FixedChunkPrefix):])
	return ref.Job, ref.Index, ok && ref.Index > 0 && ref.Index < tuning.MaxTasks
}
