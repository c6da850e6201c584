package record

import "sableusher/internal/wire"

// Job is the record of a live job and contains its first chunk of tasks. Tasks that were never bound are omitted.
type Job struct {
	Spec          wire.JobSpec `cbor:"s"`
	SubmittedAtMs int64        `cbor:"t"`
	CancelledAtMs int64        `cbor:"x,omitempty"` // 0: not cancelled
	// PreemptedAttempt is the attempt of a gang that has to save its state and stop as a whole; 0 if none has.
	PreemptedAttempt uint64 `cbor:"y,omitempty"`
	Tasks            []Task `cbor:"k,omitempty"` // of a fixed chunk

	// Since schema version 1. ChunkWidth is the number of tasks in each grouped chunk, whose tasks are in Groups. If
	// it is 0, the job has fixed chunks of tuning.FixedChunkTasks tasks, which are in Tasks. During the migration
	// from fixed to grouped chunks, FirstFixedChunk is the number of the first fixed chunk that is left, counted as
	// if all chunks were fixed; 0 if none is left.
	ChunkWidth      int         `cbor:"w,omitempty"`
	FirstFixedChunk int         `cbor:"v,omitempty"`
	Groups          []TaskGroup `cbor:"g,omitempty"` // of a grouped chunk

	// Since schema version 2. CancelAfterRelease means that a cancellation is reported only once no task is bound.
	// If it is false, the cancellation may have been reported immediately.
	CancelAfterRelease bool `cbor:"c,omitempty"`

	// Since schema version 3. Failures lists pairs of a task's index and its number of failures, for the tasks of
	// this chunk; it is not a map because the store's JSON form has no maps with numeric keys. Failed marks a
	// cancelled job that was ended because one of its tasks had no retry left.
	Failures []int `cbor:"f,omitempty"`
	Failed   bool  `cbor:"e,omitempty"`

	// Since schema version 4. OffloadedTo is set while another cell has the right to start the job; OffloadedAtMs is
	// when the job was offloaded. OffloadedFrom is set if the job was offloaded from another cell; only that cell
	// answers the user.
	OffloadedTo   *Transfer `cbor:"a,omitempty"`
	OffloadedAtMs int64     `cbor:"am,omitempty"`
	OffloadedFrom *Transfer `cbor:"h,omitempty"`

	// CancelRequestedAtMs is when the user asked to cancel the job while one of its tasks could be bound and a schema
	// version below 2 was active; 0 if there is no such request. No task of the job starts after that and bound tasks
	// are stopped, but no node may report the job as cancelled before all tasks are released. Nodes that do not honor
	// the request (Node.HonorsCancelRequests) drop it when they rewrite the record. The cancellation was not confirmed
	// to the user, who then has to request it again.
	CancelRequestedAtMs int64 `cbor:"r,omitempty"`
}

// MarkCancelled marks the job as cancelled and removes a pending request to cancel it. If afterRelease is true, no node
// may report the cancellation while a task is bound.
func (j *Job) MarkCancelled(atMs int64, afterRelease bool) {
	j.CancelledAtMs, j.CancelAfterRelease = max(atMs, 1), afterRelease
	j.CancelRequestedAtMs = 0
}

// RequestCancel records the request to cancel the job once none of its tasks is bound.
func (j *Job) RequestCancel(atMs int64) { j.CancelRequestedAtMs = max(atMs, 1) }

// Transfer describes the transfer of a job between two cells. Both cells store it in their record of the job.
type Transfer struct {
	Cell     string `cbor:"c"` // the other cell
	Number   uint64 `cbor:"n"` // assigned by the home cell, unique between the two cells
	Epoch    uint64 `cbor:"e"` // epoch of the cell that wrote the record, at the time of writing
	Recalled bool   `cbor:"r,omitempty"`
}

// Final is the record of a finished job. It replaces the live record.
type Final struct {
	Status    wire.JobState `cbor:"s"` // wire.JobDone, wire.JobCancelled or wire.JobFailed
	TaskCount int           `cbor:"n"`
	DoneCount int           `cbor:"d"`
	EndedAtMs int64         `cbor:"t"`
}
