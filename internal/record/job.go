package record

import "sableusher/internal/wire"

// Job is the record of a live job, with its first chunk of tasks. Tasks that were never bound are left out.
type Job struct {
	Spec          wire.JobSpec `cbor:"s"`
	SubmittedAtMs int64        `cbor:"t"`
	CancelledAtMs int64        `cbor:"x,omitempty"` // 0: not cancelled
	// PreemptedAttempt is the attempt of a gang that is to save its state and stop as a whole.
	PreemptedAttempt uint64 `cbor:"y,omitempty"`
	Tasks            []Task `cbor:"k,omitempty"` // of a fixed chunk

	// Since schema version 1. ChunkWidth is how many tasks each chunk holds, in Groups; 0: tuning.FixedChunkTasks,
	// in Tasks. While a job is migrated from one to the other, its chunks from FirstFixedChunk on are still
	// fixed ones; 0: none is.
	ChunkWidth      int         `cbor:"w,omitempty"`
	FirstFixedChunk int         `cbor:"v,omitempty"`
	Groups          []TaskGroup `cbor:"g,omitempty"` // of a grouped chunk

	// Since schema version 2. CancelAfterRelease: the cancellation is reported once no task is bound. Without it
	// a cancellation was, or may have been, reported at once.
	CancelAfterRelease bool `cbor:"c,omitempty"`

	// Since schema version 3. Failures lists pairs of a task's index and its failures, for the tasks of this
	// chunk: the store's JSON has no maps by number. Failed marks a cancelled job that ended itself because
	// a task of it had no retry left.
	Failures []int `cbor:"f,omitempty"`
	Failed   bool  `cbor:"e,omitempty"`

	// Since schema version 4. OffloadedTo: another cell holds the right to start the job. OffloadedFrom: the
	// job is a guest, taken from another cell, which alone answers its user.
	OffloadedTo   *Transfer `cbor:"a,omitempty"`
	OffloadedAtMs int64     `cbor:"am,omitempty"`
	OffloadedFrom *Transfer `cbor:"h,omitempty"`

	// CancelRequestedAtMs: before schema version 2 its user asked to cancel it while a task could be bound; 0: no
	// such request. Nothing of the job starts any more and what is bound is stopped, but no node may call it
	// cancelled before all of that is released. Nodes that do not honor it (Node.HonorsCancelRequests) drop it when
	// they rewrite the record; the user, to whom nothing was confirmed, asks again.
	CancelRequestedAtMs int64 `cbor:"r,omitempty"`
}

// MarkCancelled marks the job as cancelled at a time, which replaces a request to cancel it. afterRelease: no node may
// report the cancellation before no task is bound.
func (j *Job) MarkCancelled(atMs int64, afterRelease bool) {
	j.CancelledAtMs, j.CancelAfterRelease = max(atMs, 1), afterRelease
	j.CancelRequestedAtMs = 0
}

// RequestCancel notes that the job is to be cancelled once no task of it is bound.
func (j *Job) RequestCancel(atMs int64) { j.CancelRequestedAtMs = max(atMs, 1) }

// Transfer is a job's passage between two cells, as either of them keeps it in the job's record.
type Transfer struct {
	Cell     string `cbor:"c"` // the other cell
	Number   uint64 `cbor:"n"` // given by the home cell, never used twice between the two
	Epoch    uint64 `cbor:"e"` // of the cell that wrote this, at that time
	Recalled bool   `cbor:"r,omitempty"`
}

// Final is what remains of a finished job.
type Final struct {
	Status    wire.JobState `cbor:"s"` // wire.JobDone, wire.JobCancelled or wire.JobFailed
	TaskCount int           `cbor:"n"`
	DoneCount int           `cbor:"d"`
	EndedAtMs int64         `cbor:"t"`
}
