package record

import (
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// A job's tasks are split into chunks, numbered from 0; each chunk is one record, the first one the job's own.
// In the first layout every chunk is fixed. Since schema version 1 a job may have a ChunkWidth, and its chunks
// are grouped ones. A job accepted before is migrated one fixed chunk at a time: its grouped chunks come first
// then, and the fixed ones from FirstFixedChunk on follow them.

// FixedChunkCount is the number of fixed chunks that so many tasks take.
func FixedChunkCount(tasks int) int {
	return (tasks + tuning.FixedChunkTasks - 1) / tuning.FixedChunkTasks
}

// validLayout reports whether the job's chunks can be laid out as its record says.
func (j *Job) validLayout() bool {
	if j.ChunkWidth == 0 {
		return j.FirstFixedChunk == 0
	}
	return j.ChunkWidth >= 1 && j.ChunkWidth <= tuning.FixedChunkTasks && tuning.FixedChunkTasks%j.ChunkWidth == 0 &&
		j.FirstFixedChunk >= 0 && j.FirstFixedChunk < FixedChunkCount(j.Spec.TaskCount)
}

// groupedChunkCount is the number of the job's grouped chunks.
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

// ChunkCount is the number of chunks, and so of records, that the job's tasks may take.
func (j *Job) ChunkCount() int {
	if j.ChunkWidth > 0 && j.FirstFixedChunk == 0 {
		return j.groupedChunkCount()
	}
	return j.groupedChunkCount() + FixedChunkCount(j.Spec.TaskCount) - j.FirstFixedChunk
}

// ChunkOf returns the chunk that holds a task.
func (j *Job) ChunkOf(task int) int {
	switch {
	case j.ChunkWidth == 0:
		return task / tuning.FixedChunkTasks
	case j.FirstFixedChunk == 0 || task < j.FirstFixedChunk*tuning.FixedChunkTasks:
		return task / j.ChunkWidth
	}
	return j.groupedChunkCount() + task/tuning.FixedChunkTasks - j.FirstFixedChunk
}

// TaskRange returns the indexes of a chunk's tasks, from first up to but not including end.
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

// ChunkIndexOf returns which chunk of the job a FixedChunk's or GroupedChunk's key names, if the job's layout
// has it.
func (j *Job) ChunkIndexOf(key string) (int, bool) {
	_, index, ok := ParseChunkKey(key)
	chunk := index
	if strings.HasPrefix(key, FixedChunkPrefix) {
		chunk = index - j.FirstFixedChunk + j.groupedChunkCount()
	}
	return chunk, ok && chunk > 0 && chunk < j.ChunkCount() && j.ChunkKey(chunk) == key
}

// ChooseLayout chooses the layout of a new job's records under a schema version. It returns
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

// EncodeTasks returns the operation that writes a chunk of the job with these tasks.
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
