package world

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
	Root       = "s/"
	jobKeys    = "s/j/"
	chunkKeys  = "s/t/"
	machKeys   = "s/m/"
	partKeys   = "s/p/"
	nodeKeys   = "s/n/"
	quotaKeys  = "s/q/"
	rentKeys   = "s/r/"
	fineKeys   = "s/u/"
	cellKeys   = "s/x/"
	overKeys   = "s/y/"
	CatalogKey = "s/catalog"
	typeKeys   = "s/catalog/"
	LevelKey   = "s/level"
	finalKeys  = "f/"
	learnKeys  = "l/"
)

// Keys by record.
func JobKey(id string) string          { return jobKeys + id }
func ChunkKey(id string, k int) string { return fmt.Sprintf("%s%s/%04d", chunkKeys, id, k) }
func FineKey(id string, k int) string  { return fmt.Sprintf("%s%s/%05d", fineKeys, id, k) }
func TypeKey(name string) string       { return typeKeys + name }
func MachineKey(name string) string    { return machKeys + name }
func PartKey(p int) string             { return partKeys + strconv.Itoa(p) }
func NodeKey(name string) string       { return nodeKeys + name }
func QuotaKey(team string) string      { return quotaKeys + team }
func RentalKey(name string) string     { return rentKeys + name }
func LearnKey(node string) string      { return learnKeys + node }
func LearnPieceKey(node string, i int) string {
	return fmt.Sprintf("%s%s/%d", learnKeys, node, i)
}
func FinalKey(id string) string  { return finalKeys + id }
func CellKey(cell string) string { return cellKeys + cell }
func OverKey(cell string, number uint64) string {
	return fmt.Sprintf("%s%s/%d", overKeys, cell, number)
}

// Leader is the pseudo part whose owner leads: it sizes the fleet.
const Leader = -1

// PartOf says which part a machine belongs to.
func PartOf(machine string, size int) int {
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
	Idle  = 0
	Bound = 1
	Done  = 2
)

// Task is the durable state of one task. Attempt is the last one used.
type Task struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	State   int
	Attempt uint64
	Machine string
	Session uint64
	// Charge is one more than the part whose grant the task uses, where that is
	// not its machine's.
	Charge int
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

// ParseRef reads a task's name.
func ParseRef(s string) (TaskRef, bool) {
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
	Spec     wire.JobSpec `cbor:"s"`
	AtMs     int64        `cbor:"t"`
	CancelMs int64        `cbor:"x,omitempty"`
	Yield    uint64       `cbor:"y,omitempty"` // a gang's attempt that is to save and stop as a whole
	Tasks    []Task       `cbor:"k,omitempty"`
	// From LevelPipelines on. Width is how many tasks each record holds, in Groups;
	// 0: ChunkTasks, in Tasks. While records are moved from one to the other, those
	// of the chunks from Wide on are still as before; 0: none is.
	Width  int     `cbor:"w,omitempty"`
	Wide   int     `cbor:"v,omitempty"`
	Groups []Group `cbor:"g,omitempty"`
	// From LevelCertain on: the cancellation is told once no task is bound. Without it
	// a cancelled job was, or may have been, told at once.
	Certain bool `cbor:"c,omitempty"`
	// From LevelRepeats on. Failures counts those of the record's tasks: a task's number,
	// its failures, and so on; the service's JSON has no maps by number. Failed marks a
	// cancelled job that ended itself: a task of it has no repeat left.
	Failures []int `cbor:"f,omitempty"`
	Failed   bool  `cbor:"e,omitempty"`
	// From LevelCells on. Away: the right to start it is with another cell. Guest: it was taken
	// from another cell, which alone answers its user.
	Away   *Transfer `cbor:"a,omitempty"`
	AwayMs int64     `cbor:"am,omitempty"` // since when it is
	Guest  *Transfer `cbor:"h,omitempty"`
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
	Own      uint64 `cbor:"o"`           // this cell's epoch when it was written
	Other    uint64 `cbor:"t,omitempty"` // the highest heard of the other
	Next     uint64 `cbor:"n,omitempty"` // the last number given to a transfer there
	High     uint64 `cbor:"h,omitempty"` // the highest taken from there
	Standing int    `cbor:"s,omitempty"` // cell.Standing
	SinceMs  int64  `cbor:"m,omitempty"` // of the standing
	Returns  int    `cbor:"r,omitempty"`
	Settled  bool   `cbor:"k,omitempty"` // its inventory under these epochs is in
	Fenced   uint64 `cbor:"f,omitempty"` // its epochs up to this one were forgotten
}

// OverRecord is how a guest ended, kept until home has it.
type OverRecord struct {
	Job    string `cbor:"j"`
	Status string `cbor:"s"`
	Done   int    `cbor:"d"`
}

// ChunkRecord is a further chunk of tasks.
type ChunkRecord struct {
	Tasks    []Task `cbor:"k"`
	Failures []int  `cbor:"f,omitempty"`
}

// FineRecord holds further tasks of a job with a Width.
type FineRecord struct {
	Groups   []Group `cbor:"g"`
	Failures []int   `cbor:"f,omitempty"`
}

// LevelRecord is written once all nodes read the records of a level, and only
// raised: from then on they are written too.
type LevelRecord struct {
	Level int `cbor:"l"`
}

// MachineRecord is a rented or adopted machine.
type MachineRecord struct {
	Type    string `cbor:"h"`
	Zone    string `cbor:"z"`
	Spot    bool   `cbor:"o"`
	Address string `cbor:"a,omitempty"`
	AtMs    int64  `cbor:"t"`
	Up      bool   `cbor:"u,omitempty"`
	Session uint64 `cbor:"s,omitempty"` // the worker's, where it is not the first
	Drain   bool   `cbor:"d,omitempty"` // no new tasks; to be returned once idle
	Gone    bool   `cbor:"g,omitempty"` // being deleted: nothing is placed or renewed
}

// PartRecord says who owns a part. Every change of owner raises the token.
type PartRecord struct {
	Owner string `cbor:"o"`
	Inc   uint64 `cbor:"i"`
	Token uint64 `cbor:"e"`
	Given bool   `cbor:"g,omitempty"` // its home gave it away for want of its workers
	Touch uint64 `cbor:"c,omitempty"` // counts rewrites that only fence older transactions
}

// NodeRecord marks a live session; it is attached to a hold.
type NodeRecord struct {
	Inc uint64 `cbor:"i"`
	// Level is the newest form of records that the process reads.
	Level int `cbor:"l,omitempty"`
}

// QuotaRecord grants shares of a team's limit to parts.
type QuotaRecord struct {
	Grants map[string]Amount `cbor:"g"`
}

// RentalRecord is a rental request, written before it is sent. Once answered it
// lists the machines, which need no records of their own until they are up.
type RentalRecord struct {
	Type     string   `cbor:"h"`
	Zone     string   `cbor:"z"`
	Spot     bool     `cbor:"o"`
	Count    int      `cbor:"n"`
	AtMs     int64    `cbor:"t"`
	Machines []string `cbor:"m,omitempty"`
}

// FinalRecord is what remains of a finished job.
type FinalRecord struct {
	Status string `cbor:"s"`
	Tasks  int    `cbor:"n"`
	Done   int    `cbor:"d"`
	AtMs   int64  `cbor:"t"`
}

// Amount is what tasks take.
type Amount struct {
	CPUs float64 `cbor:"c"`
	GPUs float64 `cbor:"g"`
	Mem  float64 `cbor:"m,omitempty"`
}

const slack = 1e-6 // amounts are decimal; their sums are not exact

// Plus adds n times b.
func (a Amount) Plus(b Amount, n float64) Amount {
	return Amount{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.Mem + n*b.Mem}
}

// Within tells whether a fits into b.
func (a Amount) Within(b Amount) bool {
	return a.CPUs <= b.CPUs+slack && a.GPUs <= b.GPUs+slack && a.Mem <= b.Mem+slack
}

// Need is what one task of a job takes.
func Need(s *wire.JobSpec) Amount { return Amount{s.CPUs, s.GPUs, s.MemoryGB} }

// Yields tells whether a task of a job may be stopped alone for another's sake:
// a service's user would notice, and a gang stops as a whole or not at all.
func Yields(s *wire.JobSpec) bool {
	return s.Kind == wire.KindArray || s.Kind == wire.KindGang && s.TaskCount == 1
}

// Capacity of a machine type.
func Capacity(t *wire.MachineType) Amount { return Amount{t.CPUs, t.GPUs, t.MemoryGB} }

// Chunks is the number of records a job's tasks take.
func Chunks(tasks int) int { return (tasks + tuning.ChunkTasks - 1) / tuning.ChunkTasks }
