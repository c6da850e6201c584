package record

import (
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// A job's tasks are split into chunks, which are numbered from 0. Each chunk is stored in one record. Chunk 0 is part
// of the job's own record; the others are the job's further chunks. In the original layout all chunks are fixed chunks.
// Since schema version 1 a job may have a ChunkWidth, and then its chunks are grouped chunks. A job that was accepted
// earlier is migrated one fixed chunk at a time. During the migration its grouped chunks have the lowest numbers, and
// the fixed chunks that are left, from FirstFixedChunk on, follow them.

// FixedChunkCount returns the number of fixed chunks that hold the given number of tasks.
func FixedChunkCount(tasks int) int {
	return (tasks + tuning.FixedChunkTasks - 1) / tuning.FixedChunkTasks
}

// validLayout reports whether ChunkWidth and FirstFixedChunk describe a valid layout of the job's tasks.
func (j *Job) validLayout() bool {
	if j.ChunkWidth == 0 {
		return j.FirstFixedChunk == 0
	}
	return j.ChunkWidth >= 1 && j.ChunkWidth <= tuning.FixedChunkTasks && tuning.FixedChunkTasks%j.ChunkWidth == 0 &&
		j.FirstFixedChunk >= 0 && j.FirstFixedChunk < FixedChunkCount(j.Spec.TaskCount)
}

// groupedChunkCount returns the number of the job's grouped chunks.
func (j *Job) groupedChunkCount() int {
	switch {
	case j.ChunkWidth == 0:
		return 0
	case j.FirstFixedChunk > 0:
		return j.FirstFixedChunk * (tuning.FixedChunkTasks / j.ChunkWidth)
	}
	return (j.Spec.TaskCount + j.ChunkWidth - 1) / j.ChunkWidth
}

// isGrouped reports whether a chunk of the job is a grouped one.
func (j *Job) isGrouped(chunk int) bool { return j.ChunkWidth > 0 && chunk < j.groupedChunkCount() }

// ChunkCount returns the number of chunks of the job. A further chunk has a record only once a task of it was bound.
func (j *Job) ChunkCount() int {
	if j.ChunkWidth > 0 && j.FirstFixedChunk == 0 {
		return j.groupedChunkCount()
	}
	return j.groupedChunkCount() + FixedChunkCount(j.Spec.TaskCount) - j.FirstFixedChunk
}

// ChunkOf returns the number of the chunk that holds the task with the given index.
func (j *Job) ChunkOf(task int) int {
	switch {
	case j.ChunkWidth == 0:
		return task / tuning.FixedChunkTasks
	case j.FirstFixedChunk == 0 || task < j.FirstFixedChunk*tuning.FixedChunkTasks:
		return task / j.ChunkWidth
	}
	return j.groupedChunkCount() + task/tuning.FixedChunkTasks - j.FirstFixedChunk
}

// TaskRange returns the indexes of a chunk's tasks as the half-open range [first, end).
func (j *Job) TaskRange(chunk int) (first, end int) {
	first, width := chunk*j.ChunkWidth, j.ChunkWidth
	if grouped := j.groupedChunkCount(); chunk >= grouped {
		first, width = (chunk-grouped+j.FirstFixedChunk)*tuning.FixedChunkTasks, tuning.FixedChunkTasks
	}
	return first, min(first+width, j.Spec.TaskCount)
}

// ChunkKey returns the key of a chunk's record.
func (j *Job) ChunkKey(chunk int) string {
	switch grouped := j.groupedChunkCount(); {
	case chunk == 0:
		return JobKey(j.Spec.ID)
	case chunk < grouped:
		return GroupedChunkKey(j.Spec.ID, chunk)
	default:
		return FixedChunkKey(j.Spec.ID, chunk-grouped+j.FirstFixedChunk)
	}
}

// ChunkIndexOf returns the number of the job's chunk that has the given FixedChunk or GroupedChunk key. It returns
// false if the job's layout has no such chunk.
func (j *Job) ChunkIndexOf(key string) (int, bool) {
	_, index, ok := ParseChunkKey(key)
	chunk := index
	if strings.HasPrefix(key, FixedChunkPrefix) {
		chunk = index - j.FirstFixedChunk + j.groupedChunkCount()
	}
	return chunk, ok && chunk > 0 && chunk < j.ChunkCount() && j.ChunkKey(chunk) == key
}

// ChooseLayout sets the layout of a new job's records under the given schema version. It returns
// ErrDescriptionTooLarge if the job's own record would exceed the limits even without tasks.
func (j *Job) ChooseLayout(schemaVersion int, limits SizeLimits) error {
	baseSize := EncodedBaseSize(*j)
	width := limits.ChunkWidth(&j.Spec, baseSize)
	if width == 0 {
		return ErrDescriptionTooLarge
	}
	if schemaVersion >= tuning.SchemaVersionDependencies && !limits.FixedChunksFit(&j.Spec, baseSize) {
		j.ChunkWidth = width
	}
	return nil
}

// EncodeTasks returns the operation that writes a chunk of the job with the given tasks.
func (j *Job) EncodeTasks(chunk int, tasks []Task) wire.Op {
	var value any
	failures := failurePairs(tasks)
	switch grouped := j.isGrouped(chunk); {
	case chunk == 0 && grouped:
		own := *j
		own.Tasks, own.Groups, own.Failures = nil, groupTasks(tasks), failures
		value = own
	case chunk == 0:
		own := *j
		own.Tasks, own.Groups, own.Failures = tasks, nil, failures
		value = own
	case grouped:
		value = GroupedChunk{Groups: groupTasks(tasks), Failures: failures}
	default:
		value = FixedChunk{Tasks: tasks, Failures: failures}
	}
	return wire.Op{PutKey: j.ChunkKey(chunk), Value: wire.MustEncode(value)}
}
