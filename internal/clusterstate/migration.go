package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// NeedsMigration reports whether the job has fixed chunks that have to be migrated before they are written again: one
// of them may grow beyond the limits, or a migration has begun and is not complete.
func (j *Job) NeedsMigration(limits record.SizeLimits) bool {
	if j.ChunkWidth > 0 {
		return j.FirstFixedChunk > 0
	}
	// A job whose description alone is too long for any chunk width is not migrated.
	return !limits.FixedChunksFit(&j.Spec, j.EncodedBaseSize) && limits.ChunkWidth(&j.Spec, j.EncodedBaseSize) > 0
}

// Migration is one step of a job's migration, which replaces a fixed chunk by grouped ones. All of its operations have
// to be applied in one transaction under its conditions.
type Migration struct {
	Conditions []wire.Condition
	Ops        []wire.Op
}

// MigrateChunk returns the next step of a job's migration, or false if no layout fits the limits. The first step
// migrates the chunk in the job's own record; each later step migrates one further chunk. Every step rewrites the job's
// own record, and every write of the job's tasks is conditional on that record: a writer that still uses the old layout
// fails, and readers see either the old or the new layout. A step also skips up to maxAbsent chunks that have no
// record.
func (j *Job) MigrateChunk(limits record.SizeLimits, maxAbsent int) (Migration, bool) {
	migrating := j.FirstFixedChunk
	next := *j
	if j.ChunkWidth == 0 {
		next.ChunkWidth = j.migratedChunkWidth(limits)
		if next.ChunkWidth == 0 {
			return Migration{}, false
		}
	}
	next.FirstFixedChunk = migrating + 1

	step := Migration{Conditions: []wire.Condition{{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}}}
	if migrating > 0 {
		step.deleteFixedChunk(j, migrating)
	}
	next.FirstFixedChunk += step.skipAbsentChunks(j, next.FirstFixedChunk, maxAbsent)
	if next.FirstFixedChunk >= record.FixedChunkCount(j.Spec.TaskCount) {
		next.FirstFixedChunk = 0
	}
	step.putGroupedChunks(j, &next, migrating)
	return step, true
}

// migratedChunkWidth returns the chunk width that a job with fixed chunks is migrated to, or 0 if none fits.
func (j *Job) migratedChunkWidth(limits record.SizeLimits) int {
	width := limits.MigratedChunkWidth(&j.Spec, j.EncodedBaseSize)
	if width > 0 && j.Spec.Spread {
		// Each chunk of a spread job is placed in its own half of a zone, so its range of tasks must not change.
		return tuning.FixedChunkTasks
	}
	return width
}

// deleteFixedChunk adds the deletion of the fixed chunk that is being migrated, and the condition that it has not
// changed.
func (m *Migration) deleteFixedChunk(job *Job, fixedChunk int) {
	chunk := job.ChunkOf(fixedChunk * tuning.FixedChunkTasks)
	m.Conditions = append(m.Conditions, job.chunkCondition(chunk))
	if job.ChunkModRevision(chunk) != 0 {
		m.Ops = append(m.Ops, wire.Op{DeleteKey: job.ChunkKey(chunk)})
	}
}

// skipAbsentChunks returns how many consecutive fixed chunks from first on, at most limit, have no record and so need
// no step of their own. It adds the conditions that they still have none.
func (m *Migration) skipAbsentChunks(job *Job, first, limit int) int {
	skipped := 0
	for skipped < limit && first+skipped < record.FixedChunkCount(job.Spec.TaskCount) {
		chunk := job.ChunkOf((first + skipped) * tuning.FixedChunkTasks)
		if job.ChunkModRevision(chunk) != 0 {
			break
		}
		m.Conditions = append(m.Conditions, job.chunkCondition(chunk))
		skipped++
	}
	return skipped
}

// putGroupedChunks adds the writes of the job's own record and of the grouped chunks that hold the tasks of the given
// fixed chunk. The tasks are read from job and written in the layout of next.
func (m *Migration) putGroupedChunks(job, next *Job, fixedChunk int) {
	firstTasks := job.startedTasks(0, min(next.ChunkWidth, job.Spec.TaskCount), nil)
	m.Ops = append(m.Ops, next.EncodeTasks(0, firstTasks))
	end := min((fixedChunk+1)*tuning.FixedChunkTasks, job.Spec.TaskCount)
	for first := max(next.ChunkWidth, fixedChunk*tuning.FixedChunkTasks); first < end; first += next.ChunkWidth {
		if tasks := job.startedTasks(first, min(first+next.ChunkWidth, end), nil); len(tasks) > 0 {
			m.Ops = append(m.Ops, next.EncodeTasks(first/next.ChunkWidth, tasks))
		}
	}
}
