package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// chunkKey identifies a chunk of a job: one of the records that its tasks are distributed over. Chunk 0 is in the
// job's own record.
type chunkKey struct {
	job   *clusterstate.Job
	chunk int
}

// chunkEdit collects the changes that a cycle makes to one chunk of a job.
type chunkEdit struct {
	chunkKey
	tasks       map[int]record.Task // state after the edit, by task index
	shards      map[int]bool        // shards whose ownership is a condition of the edit
	bindings    []inFlightBinding
	encodedSize int  // upper bound of the size of the edited chunk as JSON, in bytes; 0 if not computed yet
	failsJob    bool // a task of the chunk has failed with no retry left
	// excludesOthers means that no other change of the job's tasks may be applied between the state that the edit is
	// based on and the edit, and that none based on that state may be applied after it.
	excludesOthers bool
}

// editChunk returns this cycle's edit of the chunk that holds a task, and creates it if there is none. It returns nil
// if the chunk can't be changed in this cycle: a change of it is in flight or was rejected recently, or the job's
// records have to be migrated first.
func (c *cycle) editChunk(job *clusterstate.Job, taskIndex int) *chunkEdit {
	key := chunkKey{job: job, chunk: job.ChunkOf(taskIndex)}
	if !c.chunkIsFree(key) || c.needsMigration(job) {
		return nil
	}
	edit := c.chunkEdits[key]
	if edit == nil {
		edit = &chunkEdit{chunkKey: key, tasks: map[int]record.Task{}, shards: map[int]bool{}}
		c.chunkEdits[key] = edit
	}
	return edit
}

// chunkIsFree reports whether a chunk may be changed now: no change of it is in flight or was rejected recently. If
// all tasks of the job must be in one zone, no change of the job's own record may be in flight either, because the
// chosen zone is written there.
func (c *cycle) chunkIsFree(key chunkKey) bool {
	recordKey := key.job.ChunkKey(key.chunk)
	if c.changes.rejected(recordKey) || c.changes.inFlight(recordKey) {
		return false
	}
	return key.chunk == 0 || !key.job.Spec.SameZone || !c.changes.inFlight(key.job.ChunkKey(0))
}

// taskState returns a task with this cycle's edits applied.
func (c *cycle) taskState(job *clusterstate.Job, taskIndex int) record.Task {
	if edit := c.chunkEdits[chunkKey{job: job, chunk: job.ChunkOf(taskIndex)}]; edit != nil {
		if task, ok := edit.tasks[taskIndex]; ok {
			return task
		}
	}
	return job.Task(taskIndex)
}

// chunkFull reports whether a chunk has no space for the given number of additional bound tasks. Without this check,
// a key-value store with a small value limit would reject the change of the chunk again and again.
func (c *cycle) chunkFull(job *clusterstate.Job, chunk, added int) bool {
	limits := c.cluster.SizeLimits(c.committer.MaxRecordBytes())
	if job.ChunkAlwaysFits(chunk, job.EncodedBaseSize, limits) {
		return false
	}
	edit := c.chunkEdits[chunkKey{job: job, chunk: chunk}]
	if edit == nil {
		edit = &chunkEdit{} // this cycle has not edited the chunk
	}
	addedBytes := added * limits.GroupedTaskBytes
	if edit.encodedSize > 0 && edit.encodedSize+addedBytes <= limits.MaxBytes {
		return false
	}
	edit.encodedSize = job.MaxChunkSize(chunk, edit.tasks)
	return edit.encodedSize+addedBytes > limits.MaxBytes
}

// addBinding adds the binding of a task to an edit. taskBytes is the most that the binding adds to the chunk.
func (e *chunkEdit) addBinding(task record.Task, binding inFlightBinding, taskBytes int) {
	e.tasks[task.Index] = task
	e.bindings = append(e.bindings, binding)
	if e.encodedSize > 0 {
		e.encodedSize += taskBytes
	}
}
