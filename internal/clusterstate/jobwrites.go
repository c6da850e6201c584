package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// startedTasks returns the tasks in [first, end) that were ever bound. A task in changes, which is keyed by task index,
// replaces the stored one.
func (j *Job) startedTasks(first, end int, changes map[int]record.Task) []record.Task {
	var tasks []record.Task
	for index := first; index < end; index++ {
		task, ok := changes[index]
		if !ok {
			task = j.Task(index)
		}
		if task.Started() {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// chunkTasks returns the tasks of a chunk that were ever bound, with changes applied as in startedTasks.
func (j *Job) chunkTasks(chunk int, changes map[int]record.Task) []record.Task {
	first, end := j.TaskRange(chunk)
	return j.startedTasks(first, end, changes)
}

// EncodeChunk returns the operation that writes a chunk with changes applied, which are keyed by task index.
func (j *Job) EncodeChunk(chunk int, changes map[int]record.Task) wire.Op {
	return j.EncodeTasks(chunk, j.chunkTasks(chunk, changes))
}

// MaxChunkSize returns an upper bound of the size of a chunk's record with changes applied, in bytes of its JSON form.
func (j *Job) MaxChunkSize(chunk int, changes map[int]record.Task) int {
	return j.Job.MaxChunkSize(chunk, j.EncodedBaseSize, j.chunkTasks(chunk, changes))
}

// ChunkConditions returns the conditions for writing an encoded chunk: neither the chunk nor the job's own record has
// changed.
func (j *Job) ChunkConditions(chunk int) []wire.Condition {
	conditions := []wire.Condition{{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}}
	if chunk > 0 {
		conditions = append(conditions, j.chunkCondition(chunk))
	}
	return conditions
}

// FurtherChunkConditions returns the conditions that no record of a further chunk has changed. While they hold, no task
// is bound that the cluster state does not show.
func (j *Job) FurtherChunkConditions() []wire.Condition {
	var conditions []wire.Condition
	for chunk := 1; chunk < j.ChunkCount(); chunk++ {
		conditions = append(conditions, j.chunkCondition(chunk))
	}
	return conditions
}

// chunkCondition returns the condition that the record of a further chunk has not changed.
func (j *Job) chunkCondition(chunk int) wire.Condition {
	return wire.Condition{Key: j.ChunkKey(chunk), ModRevision: j.ChunkModRevision(chunk)}
}

// ChunkModRevision returns the mod revision of a chunk's record, or 0 if there is none.
func (j *Job) ChunkModRevision(chunk int) uint64 {
	if chunk < len(j.Chunks) {
		return j.Chunks[chunk].ModRevision
	}
	return 0
}

// FinalizeOps returns the operations that replace the job's own record by its final record. The records of its further
// chunks remain; DeleteFurtherChunkOps returns the operations that delete them.
func (j *Job) FinalizeOps(status wire.JobState, doneCount int, endedAtMs int64) []wire.Op {
	id := j.Spec.ID
	final := record.Final{Status: status, TaskCount: j.Spec.TaskCount, DoneCount: doneCount, EndedAtMs: endedAtMs}
	return []wire.Op{
		{PutKey: record.FinalKey(id), Value: wire.MustEncode(final)},
		{DeleteKey: record.JobKey(id)},
	}
}

// DeleteFurtherChunkOps returns at most limit operations that delete records of further chunks of the job. Records
// beyond the limit are left for a later call.
func (j *Job) DeleteFurtherChunkOps(limit int) []wire.Op {
	var ops []wire.Op
	for _, key := range j.FurtherChunkKeys() {
		if len(ops) < limit {
			ops = append(ops, wire.Op{DeleteKey: key})
		}
	}
	return ops
}

// FurtherChunkKeys returns the keys of all records of the job's further chunks, including orphans.
func (j *Job) FurtherChunkKeys() []string {
	var keys []string
	for chunk := 1; chunk < len(j.Chunks); chunk++ {
		if j.Chunks[chunk].ModRevision != 0 {
			keys = append(keys, j.ChunkKey(chunk))
		}
	}
	for key := range j.orphanChunks {
		keys = append(keys, key)
	}
	return keys
}
