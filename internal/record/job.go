package record

import (
	"sableusher/internal/wire"
)

// Job is a live job with its first chunk of tasks. Tasks that were never
// bound are left out.
type Job struct {
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

// Final is what remains of a finished job.
type Final struct {
	Status    wire.JobState `cbor:"s"`
	TaskCount int           `cbor:"n"`
	DoneCount int           `cbor:"d"`
	EndedAtMs int64         `cbor:"t"`
}
