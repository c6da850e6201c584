package clusterstate

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Keys of the state service. All live records stand under Root and are
// followed by every node; finished jobs stand apart and are read one by one.
const (
	LivePrefix         = "s/"
	jobPrefix          = "s/j/"
	fixedChunkPrefix   = "s/t/"
	machinePrefix      = "s/m/"
	shardPrefix        = "s/p/"
	nodePrefix         = "s/n/"
	quotaPrefix        = "s/q/"
	rentalPrefix       = "s/r/"
	groupedChunkPrefix = "s/u/"
	cellPrefix         = "s/x/"
	guestOutcomePrefix = "s/y/"
	CatalogKey         = "s/catalog"
	machineTypePrefix  = "s/catalog/"
	SchemaVersionKey   = "s/level"
	finalPrefix        = "f/"
	learnerPrefix      = "l/"
)

// Keys by record.
func JobKey(id string) string               { return jobPrefix + id }
func FixedChunkKey(id string, k int) string { return fmt.Sprintf("%s%s/%04d", fixedChunkPrefix, id, k) }
func GroupedChunkKey(id string, k int) string {
	return fmt.Sprintf("%s%s/%05d", groupedChunkPrefix, id, k)
}
func MachineTypeKey(name string) string       { return machineTypePrefix + name }
func MachineKey(name string) string           { return machinePrefix + name }
func ShardKey(p int) string                   { return shardPrefix + strconv.Itoa(p) }
func NodeKey(name string) string              { return nodePrefix + name }
func QuotaKey(team string) string             { return quotaPrefix + team }
func RentalKey(name string) string            { return rentalPrefix + name }
func LearnerCheckpointKey(node string) string { return learnerPrefix + node }
func LearnerCheckpointPieceKey(node string, i int) string {
	return fmt.Sprintf("%s%s/%d", learnerPrefix, node, i)
}
func FinalKey(id string) string  { return finalPrefix + id }
func CellKey(cell string) string { return cellPrefix + cell }
func GuestOutcomeKey(cell string, number uint64) string {
	return fmt.Sprintf("%s%s/%d", guestOutcomePrefix, cell, number)
}

// LeaderShard is the pseudo part whose owner leads: it sizes the fleet.
const LeaderShard = -1

// ShardOf says which part a machine belongs to.
func ShardOf(machine string, size int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	// The low bits of FNV follow the last character too closely for names that count up.
	v := h.Sum32()
	v ^= v >> 15
	v *= 0x2c1b3c6d
	v ^= v >> 12
	return int(v % uint32(size))
}

// Durable states of a task.
const (
	TaskPending = 0
	TaskBound   = 1
	TaskDone    = 2
)

// Task is the durable state of one task. Attempt is the last one used.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine string
	Session uint64
	// ChargedShard is one more than the part whose grant the task uses, where that is
	// not its machine's.
	ChargedShard int
	// Failures is how often the task failed by itself, if that is counted and it isn't
	// done. It stands beside the tasks in their record.
	Failures int `cbor:"-"`
}

// TaskRef names a task.
type TaskRef struct {
	Job   string
	Index int
}

func (r TaskRef) String() string { return r.Job + "/" + strconv.Itoa(r.Index) }

// ParseTaskRef reads a task's name.
func ParseTaskRef(s string) (TaskRef, bool) {
	job, num, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(num)
	if !ok || err != nil || i < 0 {
		return TaskRef{}, false
	}
	return TaskRef{Job: job, Index: i}, true
}

// JobRecord is a live job with its first chunk of tasks. Tasks that were never
// bound are left out.
type JobRecord struct {
	Spec             wire.JobSpec `cbor:"s"`
	SubmittedAtMs    int64        `cbor:"t"`
	CancelledAtMs    int64        `cbor:"x,omitempty"`
	PreemptedAttempt uint64       `cbor:"y,omitempty"` // a gang's attempt that is to save and stop as a whole
	Tasks            []Task       `cbor:"k,omitempty"`
	// From LevelPipelines on. Width is how many tasks each record holds, in Groups;
	// 0: ChunkTasks, in Tasks. While records are moved from one to the other, those
	// of the chunks from Wide on are still as before; 0: none is.
	ChunkWidth      int         `cbor:"w,omitempty"`
	FirstFixedChunk int         `cbor:"v,omitempty"`
	Groups          []TaskGroup `cbor:"g,omitempty"`
	// From LevelCertain on: the cancellation is told once no task is bound. Without it
	// a cancelled job was, or may have been, told at once.
	CancelAfterRelease bool `cbor:"c,omitempty"`
	// From LevelRepeats on. Failures counts those of the record's tasks: a task's number,
	// its failures, and so on; the service's JSON has no maps by number. Failed marks a
	// cancelled job that ended itself: a task of it has no repeat left.
	Failures []int `cbor:"f,omitempty"`
	Failed   bool  `cbor:"e,omitempty"`
	// From LevelCells on. Away: the right to start it is with another cell. Guest: it was taken
	// from another cell, which alone answers its user.
	OffloadedTo   *Transfer `cbor:"a,omitempty"`
	OffloadedAtMs int64     `cbor:"am,omitempty"` // since when it is
	OffloadedFrom *Transfer `cbor:"h,omitempty"`
}

// Transfer is a job's passage between two cells, as either of them keeps it in the job's record.
type Transfer struct {
	Cell     string `cbor:"c"` // the other one
	Number   uint64 `cbor:"n"` // given by home, never used twice between the two
	Epoch    uint64 `cbor:"e"` // this cell's own when it wrote this
	Recalled bool   `cbor:"r,omitempty"`
}

// CellRecord is what a cell keeps of another one; its leader writes it.
type CellRecord struct {
	OwnEpoch             uint64 `cbor:"o"`           // this cell's epoch when it was written
	PeerEpoch            uint64 `cbor:"t,omitempty"` // the highest heard of the other
	LastSentTransfer     uint64 `cbor:"n,omitempty"` // the last number given to a transfer there
	LastReceivedTransfer uint64 `cbor:"h,omitempty"` // the highest taken from there
	Standing             int    `cbor:"s,omitempty"` // cell.Standing
	StandingSinceMs      int64  `cbor:"m,omitempty"` // of the standing
	Returns              int    `cbor:"r,omitempty"`
	InventoryReceived    bool   `cbor:"k,omitempty"` // its inventory under these epochs is in
	FencedEpoch          uint64 `cbor:"f,omitempty"` // its epochs up to this one were forgotten
}

// GuestOutcomeRecord is how a guest ended, kept until home has it.
type GuestOutcomeRecord struct {
	JobID     string        `cbor:"j"`
	Status    wire.JobState `cbor:"s"`
	DoneCount int           `cbor:"d"`
}

// FixedChunkRecord is a further chunk of tasks.
type FixedChunkRecord struct {
	Tasks    []Task `cbor:"k"`
	Failures []int  `cbor:"f,omitempty"`
}

// GroupedChunkRecord holds further tasks of a job with a Width.
type GroupedChunkRecord struct {
	Groups   []TaskGroup `cbor:"g"`
	Failures []int       `cbor:"f,omitempty"`
}

// SchemaVersionRecord is written once all nodes read the records of a level, and only
// raised: from then on they are written too.
type SchemaVersionRecord struct {
	Version int `cbor:"l"`
}

// MachineRecord is a rented or adopted machine.
type MachineRecord struct {
	Type        string `cbor:"h"`
	Zone        string `cbor:"z"`
	Spot        bool   `cbor:"o"`
	Address     string `cbor:"a,omitempty"`
	CreatedAtMs int64  `cbor:"t"`
	Up          bool   `cbor:"u,omitempty"`
	Session     uint64 `cbor:"s,omitempty"` // the worker's, where it is not the first
	Draining    bool   `cbor:"d,omitempty"` // no new tasks; to be returned once idle
	Deleting    bool   `cbor:"g,omitempty"` // being deleted: nothing is placed or renewed
}

// ShardRecord says who owns a part. Every change of owner raises the token.
type ShardRecord struct {
	Owner        string `cbor:"o"`
	Incarnation  uint64 `cbor:"i"`
	FencingToken uint64 `cbor:"e"`
	HandedOff    bool   `cbor:"g,omitempty"` // its home gave it away for want of its workers
	FenceCount   uint64 `cbor:"c,omitempty"` // counts rewrites that only fence older transactions
}

// NodeRecord marks a live session; it is attached to a hold.
type NodeRecord struct {
	Incarnation uint64 `cbor:"i"`
	// SchemaVersion is the newest form of records that the process reads.
	SchemaVersion int `cbor:"l,omitempty"`
}

// QuotaRecord grants shares of a team's limit to parts.
type QuotaRecord struct {
	Grants map[string]Resources `cbor:"g"`
}

// RentalRecord is a rental request, written before it is sent. Once answered it
// lists the machines, which need no records of their own until they are up.
type RentalRecord struct {
	Type          string   `cbor:"h"`
	Zone          string   `cbor:"z"`
	Spot          bool     `cbor:"o"`
	Count         int      `cbor:"n"`
	RequestedAtMs int64    `cbor:"t"`
	Machines      []string `cbor:"m,omitempty"`
}

// FinalRecord is what remains of a finished job.
type FinalRecord struct {
	Status    wire.JobState `cbor:"s"`
	TaskCount int           `cbor:"n"`
	DoneCount int           `cbor:"d"`
	EndedAtMs int64         `cbor:"t"`
}

// Resources is what tasks take.
type Resources struct {
	CPUs     float64 `cbor:"c"`
	GPUs     float64 `cbor:"g"`
	MemoryGB float64 `cbor:"m,omitempty"`
}

const resourceTolerance = 1e-6 // amounts are decimal; their sums are not exact

// AddTimes adds n times b.
func (a Resources) AddTimes(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// FitsIn tells whether a fits into b.
func (a Resources) FitsIn(b Resources) bool {
	return a.CPUs <= b.CPUs+resourceTolerance && a.GPUs <= b.GPUs+resourceTolerance && a.MemoryGB <= b.MemoryGB+resourceTolerance
}

// TaskResources is what one task of a job takes.
func TaskResources(s *wire.JobSpec) Resources { return Resources{s.CPUs, s.GPUs, s.MemoryGB} }

// TaskPreemptible tells whether a task of a job may be stopped alone for another's sake:
// a service's user would notice, and a gang stops as a whole or not at all.
func TaskPreemptible(s *wire.JobSpec) bool {
	return s.Kind == wire.KindArray || s.Kind == wire.KindGang && s.TaskCount == 1
}

// Capacity of a machine type.
func Capacity(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// FixedChunkCount is the number of records a job's tasks take.
func FixedChunkCount(tasks int) int { return (tasks + tuning.ChunkTasks - 1) / tuning.ChunkTasks }
