package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// NeedsMigration reports whether a fixed chunk of the job may come to exceed the limits, so that it has to be
// migrated before it is written again.
func (j *Job) NeedsMigration(limits record.SizeLimits) bool {
	if j.ChunkWidth > 0 {
		return j.FirstFixedChunk > 0
	}
	// A job whose description alone is too long stays as it is.
	return !limits.FixedChunksFit(&j.Spec, j.EncodedBaseSize) && limits.ChunkWidth(&j.Spec, j.EncodedBaseSize) > 0
}

// Migration is a step that migrates a fixed chunk of a job to grouped ones: operations to be applied in one
// transaction if all conditions hold.
type Migration struct {
	Conditions []wire.Condition
	Ops        []wire.Op
}

// MigrateChunk returns the next step of a job's migration: its first chunk together with the job's own record,
// later ones one at a time. Every write of a job's tasks is conditional on the job's own record, which each step
// rewrites: a writer that still assumes the old layout fails, and readers see one layout or the other. maxAbsent
// bounds the chunks without a record that are passed over at once. It returns false if no layout fits the
// limits.
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

// migratedChunkWidth is the chunk width that a job with fixed chunks is migrated to, 0 if none fits.
func (j *Job) migratedChunkWidth(limits record.SizeLimits) int {
	width := limits.ChunkWidth(&j.Spec, j.EncodedBaseSize)
	if width > 0 && j.Spec.Spread {
		// Each chunk of a spread job keeps to its half of a zone: its run of tasks must stay.
		return tuning.FixedChunkTasks
	}
	return width
}

// deleteFixedChunk adds the deletion of the fixed chunk that is migrated.
func (m *Migration) deleteFixedChunk(job *Job, fixedChunk int) {
	chunk := job.ChunkOf(fixedChunk * tuning.FixedChunkTasks)
	m.Conditions = append(m.Conditions, job.chunkCondition(chunk))
	if job.chunkModRevision(chunk) != 0 {
		m.Ops = append(m.Ops, wire.Op{DeleteKey: job.ChunkKey(chunk)})
	}
}

// skipAbsentChunks returns how many fixed chunks from first on need no step of their own, as they have no record,
// and adds the condition that they still have none.
func (m *Migration) skipAbsentChunks(job *Job, first, limit int) int {
	skipped := 0
	for skipped < limit && first+skipped < record.FixedChunkCount(job.Spec.TaskCount) {
		chunk := job.ChunkOf((first + skipped) * tuning.FixedChunkTasks)
		if job.chunkModRevision(chunk) != 0 {
			break
		}
		m.Conditions = append(m.Conditions, job.chunkCondition(chunk))
		skipped++
	}
	return skipped
}

// putGroupedChunks adds the writes of the job's own record and of the grouped chunks, in the layout of next, that
// hold the tasks of a fixed chunk of job.
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
