package clusterstate

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Job is a live job.
type Job struct {
	record.Job             // without its tasks, which stand in Chunks
	ModRevision     uint64 // of the job's own record
	HasRecord       bool   // the job's own record was seen, not only chunks
	EncodedBaseSize int    // see record.EncodedBaseSize
	Chunks          []Chunk
	orphanChunks    map[string]orphanChunk // by key

	BoundCount   int
	DoneCount    int
	BoundByShard []int // counts the bound tasks by their machine's shard; empty until there was one

	// PendingRetries holds the tasks that failed by themselves and wait for another attempt, by index.
	PendingRetries map[int]PendingRetry

	metDependencies       map[string]int64 // jobs it depends on that are done, and when they were
	DependenciesMetAtMs   int64            // when the last of them was done
	DependencyCancelled   bool             // a job it depends on is cancelled: it never runs
	DependencyCancelledAt time.Time        // when this node learned of it
}

// Chunk is the run of a job's tasks that one record holds.
type Chunk struct {
	ModRevision  uint64        // 0: there is no record
	Tasks        []record.Task // by position in the chunk; empty until a task of it was bound
	pendingCount int
}

// orphanChunk is a chunk that the job's own record does not place, or does not place yet.
type orphanChunk struct {
	tasks       []record.Task
	modRevision uint64
}

// PendingRetry is a task that waits for another attempt after a failure of its own.
type PendingRetry struct {
	Failures int
	SeenAt   time.Time // when this node saw the last failure, or first read the record
}

// PendingCount is the number of tasks that are neither bound nor done.
func (j *Job) PendingCount() int { return j.Spec.TaskCount - j.BoundCount - j.DoneCount }

// Cancelled reports whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.CancelledAtMs != 0 }

// CancelRequested reports whether the job is to be cancelled once no task of it is bound, and is not yet.
func (j *Job) CancelRequested() bool { return j.CancelRequestedAtMs != 0 && !j.Cancelled() }

// Stopping reports whether nothing of the job may start any more and what is bound is to stop: it was cancelled, or
// that was requested.
func (j *Job) Stopping() bool { return j.Cancelled() || j.CancelRequested() }

// StoppingSince is when a stopping job was cancelled, or when that was requested.
func (j *Job) StoppingSince() time.Time {
	if j.Cancelled() {
		return time.UnixMilli(j.CancelledAtMs)
	}
	return time.UnixMilli(j.CancelRequestedAtMs)
}

// Complete reports whether all tasks of the job are done. That decides what became of the job whatever else its
// records say: the last task of a job with several records ends in a change that does not collide with a
// cancellation at that moment, and users may have been told of the end by then.
func (j *Job) Complete() bool { return j.HasRecord && j.DoneCount == j.Spec.TaskCount }

// CancelledStatus is the final status of a cancelled job: cancelled, or failed if it ended itself.
func (j *Job) CancelledStatus() wire.JobState {
	if j.Failed {
		return wire.JobFailed
	}
	return wire.JobCancelled
}

// CanStart reports whether tasks of the job may start, as far as its records go. A job that is offloaded may
// not: another cell may start it.
func (j *Job) CanStart() bool {
	recalled := j.OffloadedFrom != nil && j.OffloadedFrom.Recalled
	return j.HasRecord && !j.Stopping() && !j.HasUnmetDependencies() && j.OffloadedTo == nil && !recalled
}

// FullyReleased reports whether no task of the job is on a machine of this cell, and none can be in another.
func (j *Job) FullyReleased() bool { return j.BoundCount == 0 && j.OffloadedTo == nil }

// Task returns the durable state of a task.
func (j *Job) Task(index int) record.Task {
	if chunk := j.ChunkOf(index); chunk < len(j.Chunks) {
		if tasks := j.Chunks[chunk].Tasks; len(tasks) > 0 {
			first, _ := j.TaskRange(chunk)
			return tasks[index-first]
		}
	}
	return record.Task{Index: index}
}

// ChunkFullyAssigned reports whether no task of a chunk is pending.
func (j *Job) ChunkFullyAssigned(chunk int) bool {
	return chunk < len(j.Chunks) && len(j.Chunks[chunk].Tasks) > 0 && j.Chunks[chunk].pendingCount == 0
}

// ForEachStartedTask calls visit for every task that was ever bound.
func (j *Job) ForEachStartedTask(visit func(record.Task)) {
	for chunk := range j.Chunks {
		for _, task := range j.Chunks[chunk].Tasks {
			if task.Started() {
				visit(task)
			}
		}
	}
}

// trackRetry notes whether a task waits for another attempt.
func (j *Job) trackRetry(task record.Task) {
	if task.State != record.TaskPending || task.Failures == 0 {
		delete(j.PendingRetries, task.Index)
		return
	}
	if j.PendingRetries[task.Index].Failures == task.Failures {
		return
	}
	if j.PendingRetries == nil {
		j.PendingRetries = map[int]PendingRetry{}
	}
	j.PendingRetries[task.Index] = PendingRetry{Failures: task.Failures, SeenAt: time.Now()}
}
