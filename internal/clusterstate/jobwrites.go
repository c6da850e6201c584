package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// startedTasks lists the tasks from first up to end that were ever bound, with changes, by index, applied.
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

// chunkTasks lists the tasks of a chunk that were ever bound, with changes applied.
func (j *Job) chunkTasks(chunk int, changes map[int]record.Task) []record.Task {
	first, end := j.TaskRange(chunk)
	return j.startedTasks(first, end, changes)
}

// EncodeChunk returns the operation that writes a chunk with changes, by task index, applied.
func (j *Job) EncodeChunk(chunk int, changes map[int]record.Task) wire.Op {
	return j.EncodeTasks(chunk, j.chunkTasks(chunk, changes))
}

// MaxChunkSize returns an upper bound of what a chunk takes with changes applied, in bytes of its JSON form.
func (j *Job) MaxChunkSize(chunk int, changes map[int]record.Task) int {
	return j.Job.MaxChunkSize(chunk, j.EncodedBaseSize, j.chunkTasks(chunk, changes))
}

// ChunkConditions returns the conditions under which an encoded chunk may be written: neither it nor the job's
// own record has changed.
func (j *Job) ChunkConditions(chunk int) []wire.Condition {
	conditions := []wire.Condition{{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}}
	if chunk > 0 {
		conditions = append(conditions, j.chunkCondition(chunk))
	}
	return conditions
}

// chunkCondition is the condition that a further chunk has not changed.
func (j *Job) chunkCondition(chunk int) wire.Condition {
	return wire.Condition{Key: j.ChunkKey(chunk), ModRevision: j.chunkModRevision(chunk)}
}

// chunkModRevision is the mod revision of a chunk's record, 0 if there is none.
func (j *Job) chunkModRevision(chunk int) uint64 {
	if chunk < len(j.Chunks) {
		return j.Chunks[chunk].ModRevision
	}
	return 0
}

// FinalizeOps returns the operations that replace the job's own record by its final one. Its further chunks
// are left to DeleteFurtherChunks.
func (j *Job) FinalizeOps(status wire.JobState, doneCount int, endedAtMs int64) []wire.Op {
	id := j.Spec.ID
	final := record.Final{Status: status, TaskCount: j.Spec.TaskCount, DoneCount: doneCount, EndedAtMs: endedAtMs}
	return []wire.Op{
		{PutKey: record.FinalKey(id), Value: wire.MustEncode(final)},
		{DeleteKey: record.JobKey(id)},
	}
}

// DeleteFurtherChunks returns at most limit operations that delete further chunks of the job; the remaining
// ones are collected later.
func (j *Job) DeleteFurtherChunks(limit int) []wire.Op {
	var ops []wire.Op
	for _, key := range j.FurtherChunkKeys() {
		if len(ops) < limit {
			ops = append(ops, wire.Op{DeleteKey: key})
		}
	}
	return ops
}

// FurtherChunkKeys lists the keys of the job's further chunks that have a record, orphans included.
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
