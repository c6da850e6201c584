package scheduler

import (
	"slices"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
)

// taskBinder binds tasks of a job to picked machines in one cycle.
type taskBinder struct {
	*cycle
	queued     *queuedJob
	charged    int
	examinable int // number of pending tasks that may still be examined
}

// bindSpread binds pending tasks of a spread job to the picked machines, in each chunk within the chunk's limits on
// zones. If the chunks have no limits of their own, it binds tasks of one chunk only.
func (b *taskBinder) bindSpread(picks []*binpack.MachineInfo) {
	job := b.queued.job
	spread := b.spreadOf(job)
	spread.chunks = slices.DeleteFunc(spread.chunks, func(chunk spreadChunk) bool { return !b.hasSpace(chunk.number) })
	if b.narrowings.requested(job.Spec.ID) {
		return // a binding in another chunk would delay it
	}
	if spread.limitsOfJobOnly {
		b.bindWithinJobLimit(spread, picks)
		return
	}
	picksByChunk := spread.distribute(picks)
	for i := range spread.chunks {
		chunk := spread.chunks[i].number
		if _, ok := b.bindChunk(chunk, picksByChunk[chunk]); !ok {
			return
		}
	}
}

// bindWithinJobLimit binds pending tasks of one chunk of a spread job to the picked machines, which are within the
// job's limit on zones. The change excludes all other changes that bind tasks of the job.
func (b *taskBinder) bindWithinJobLimit(spread *jobSpread, picks []*binpack.MachineInfo) {
	job := b.queued.job
	if len(spread.chunks) == 0 || b.changes.inFlight(job.ChunkKey(0)) {
		return
	}
	key := chunkKey{job: job, chunk: spread.chunks[0].number}
	b.bindChunk(key.chunk, picks)
	if edit := b.chunkEdits[key]; edit != nil && len(edit.bindings) > 0 {
		edit.excludesOthers = true
	}
}

// hasSpace reports whether a further task of a chunk can be bound now.
func (b *taskBinder) hasSpace(chunk int) bool {
	job := b.queued.job
	if !b.chunkBindable(job, chunk) {
		return false
	}
	if b.chunkFull(job, chunk, 1) {
		b.narrowOrWait(job, chunk)
		return false
	}
	return true
}

// bindChunk binds pending tasks of a chunk to picked machines, one task each, and returns the machines that are left.
// It returns false if no more tasks of the job can be bound in this cycle.
func (b *taskBinder) bindChunk(
	chunk int, picks []*binpack.MachineInfo,
) (rest []*binpack.MachineInfo, ok bool) {
	job := b.queued.job
	if !b.chunkBindable(job, chunk) {
		return picks, true
	}
	first, end := job.TaskRange(chunk)
	for taskIndex := first; taskIndex < end && len(picks) > 0; taskIndex++ {
		task := b.taskState(job, taskIndex)
		if task.State != record.TaskPending || b.inRetryBackoff(job, taskIndex) {
			continue
		}
		if b.examinable == 0 {
			return picks, false
		}
		if b.chunkFull(job, chunk, 1) {
			narrowing := b.narrowOrWait(job, chunk)
			return picks, !narrowing // a binding in another chunk would delay the narrowing
		}
		b.examinable--
		if !b.bindTask(b.queued, newTaskStart(task, job.Spec.ID, task.Attempt+1, picks[0], b.charged)) {
			return picks, false
		}
		picks = picks[1:]
	}
	return picks, true
}
