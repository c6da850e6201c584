package clusterstate

import (
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Job is a live job, as far as its records have been received.
type Job struct {
	record.Job             // without its tasks, which are in Chunks
	ModRevision     uint64 // of the job's own record
	HasRecord       bool   // the job's own record was received, not only chunks
	EncodedBaseSize int    // see record.EncodedBaseSize
	Chunks          []Chunk
	orphanChunks    map[string]orphanChunk // by key

	BoundCount   int
	DoneCount    int
	BoundByShard []int // number of bound tasks by the shard of their machine; nil until a task is bound

	// PendingRetries holds, by index, the pending tasks that have failures of their own and wait for a retry.
	PendingRetries map[int]PendingRetry

	metDependencies       map[string]int64 // end time of each dependency that is done, in Unix milliseconds, by job ID
	DependenciesMetAtMs   int64            // when the last of them was done; 0 if none is
	DependencyCancelled   bool             // a dependency is cancelled, so this job never runs
	DependencyCancelledAt time.Time        // when this node observed that

	cancellationFinal bool // see State.IsCancellationFinal; known only of jobs that others depend on
}

// Chunk is the range of a job's tasks that is stored in one record.
type Chunk struct {
	ModRevision  uint64        // 0 if there is no record
	Tasks        []record.Task // by position in the chunk; empty until the first of them is bound
	pendingCount int
}

// orphanChunk is a chunk that is not, or not yet, part of the layout in the job's own record.
type orphanChunk struct {
	tasks       []record.Task
	modRevision uint64
}

// PendingRetry describes a task that waits for a retry after a failure of its own.
type PendingRetry struct {
	Failures int
	SeenAt   time.Time // when this node observed the last failure, or first read the record
}

// PendingCount returns the number of tasks that are neither bound nor done.
func (j *Job) PendingCount() int { return j.Spec.TaskCount - j.BoundCount - j.DoneCount }

// Cancelled reports whether the job was cancelled.
func (j *Job) Cancelled() bool { return j.CancelledAtMs != 0 }

// CancelRequested reports whether the cancellation of the job was requested but is not effective yet: the job is
// cancelled once none of its tasks is bound.
func (j *Job) CancelRequested() bool { return j.CancelRequestedAtMs != 0 && !j.Cancelled() }

// Stopping reports whether the job was cancelled or its cancellation was requested. No task of such a job may start,
// and its bound tasks have to be stopped.
func (j *Job) Stopping() bool { return j.Cancelled() || j.CancelRequested() }

// StoppingSince returns when a stopping job was cancelled or, if it was not, when its cancellation was requested.
func (j *Job) StoppingSince() time.Time {
	if j.Cancelled() {
		return time.UnixMilli(j.CancelledAtMs)
	}
	return time.UnixMilli(j.CancelRequestedAtMs)
}

// Complete reports whether all tasks of the job are done. A complete job is done even if its own record marks it as
// cancelled: the last task of a job with several records may complete in a transaction that does not conflict with a
// concurrent cancellation, and by then users may have been informed that the job is done.
func (j *Job) Complete() bool { return j.HasRecord && j.DoneCount == j.Spec.TaskCount }

// CancelledStatus returns the final status of a cancelled job: failed if the job was ended because a task had no retry
// left, and cancelled otherwise.
func (j *Job) CancelledStatus() wire.JobState {
	if j.Failed {
		return wire.JobFailed
	}
	return wire.JobCancelled
}

// CanStart reports whether the job's records allow its tasks to start. Tasks of an offloaded job must not start here,
// because another cell may start them.
func (j *Job) CanStart() bool {
	recalled := j.OffloadedFrom != nil && j.OffloadedFrom.Recalled
	return j.HasRecord && !j.Stopping() && !j.HasUnmetDependencies() && j.OffloadedTo == nil && !recalled
}

// FullyReleased reports whether no task of the job is bound to a machine of this cell and the job is not offloaded to
// another cell.
func (j *Job) FullyReleased() bool { return j.BoundCount == 0 && j.OffloadedTo == nil }

// Task returns the durable state of the task with the given index.
func (j *Job) Task(index int) record.Task {
	if chunk := j.ChunkOf(index); chunk < len(j.Chunks) {
		if tasks := j.Chunks[chunk].Tasks; len(tasks) > 0 {
			first, _ := j.TaskRange(chunk)
			return tasks[index-first]
		}
	}
	return record.Task{Index: index}
}

// ChunkFullyAssigned reports whether the chunk has a record and none of its tasks is pending.
func (j *Job) ChunkFullyAssigned(chunk int) bool {
	return chunk < len(j.Chunks) && len(j.Chunks[chunk].Tasks) > 0 && j.Chunks[chunk].pendingCount == 0
}

// ChunkPendingCount returns the number of pending tasks of a chunk that has a record.
func (j *Job) ChunkPendingCount(chunk int) int {
	if chunk >= len(j.Chunks) || len(j.Chunks[chunk].Tasks) == 0 {
		return 0
	}
	return j.Chunks[chunk].pendingCount
}

// HasStarted reports whether any task of the job was ever bound.
func (j *Job) HasStarted() bool {
	return slices.ContainsFunc(j.Chunks, func(chunk Chunk) bool {
		return slices.ContainsFunc(chunk.Tasks, record.Task.Started)
	})
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

// trackRetry updates the task's entry in PendingRetries.
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
