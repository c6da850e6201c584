package clusterstate

import (
	"slices"

	"sableusher/internal/record"
)

// A transaction may change a job's own record and the records of its further chunks together, but the watch delivers
// these changes one after another. A chunk that is not part of the layout in the job's own record is therefore kept as
// an orphan until that record changes.

// jobEntry returns a job's entry and creates it if it does not exist.
func (s *State) jobEntry(id string) *Job {
	job := s.Jobs[id]
	if job == nil {
		job = &Job{}
		s.Jobs[id] = job
	}
	return job
}

// removeIfEmpty removes the entry of a job that has no record left.
func (s *State) removeIfEmpty(id string, job *Job) {
	if !job.HasRecord && len(job.orphanChunks) == 0 {
		delete(s.Jobs, id)
	}
}

func (s *State) putJob(change recordChange, stored record.Job) {
	id := stored.Spec.ID
	s.changes.markJob(id)
	job := s.jobEntry(id)
	if stored.CancelledAtMs != job.CancelledAtMs || stored.CancelRequestedAtMs != job.CancelRequestedAtMs ||
		stored.PreemptedAttempt != job.PreemptedAttempt {
		s.markMachinesOf(job)
	}
	isNew := !job.HasRecord
	layoutChanged := stored.ChunkWidth != job.ChunkWidth || stored.FirstFixedChunk != job.FirstFixedChunk
	if layoutChanged {
		s.detachChunks(job)
	}
	tasks := stored.Tasks
	stored.Tasks = nil
	if isNew {
		job.EncodedBaseSize = record.EncodedBaseSize(stored)
	}
	job.Job, job.ModRevision, job.HasRecord = stored, change.modRevision, true
	if isNew || layoutChanged {
		s.adoptChunks(job)
	}
	s.setChunk(job, 0, tasks, change.modRevision)
	if isNew {
		s.addDependencies(id, job)
	}
	s.updateDependents(id)
}

// markMachinesOf adds the machines of a job's bound tasks to the change feeds.
func (s *State) markMachinesOf(job *Job) {
	job.ForEachStartedTask(func(task record.Task) {
		if task.State == record.TaskBound {
			s.changes.markMachine(task.Machine)
		}
	})
}

func (s *State) deleteJob(change recordChange) {
	id := change.name
	job := s.Jobs[id]
	if job == nil {
		return
	}
	s.changes.markJob(id)
	if job.HasRecord {
		s.detachChunks(job)
		s.removeDependencies(id, job)
	}
	orphansOnly := &Job{orphanChunks: job.orphanChunks}
	s.Jobs[id] = orphansOnly
	s.removeIfEmpty(id, orphansOnly)
	s.updateDependents(id)
}

// putChunk applies a written record of a further chunk of a job.
func (s *State) putChunk(change recordChange, tasks []record.Task) {
	id, _, ok := record.ParseChunkKey(change.key)
	if !ok {
		return
	}
	s.changes.markJob(id)
	job := s.jobEntry(id)
	if chunk, ok := job.ChunkIndexOf(change.key); ok && job.HasRecord && job.chunkHolds(chunk, tasks) {
		delete(job.orphanChunks, change.key) // of a former layout
		s.setChunk(job, chunk, tasks, change.modRevision)
		s.updateDependents(id)
		return
	}
	job.addOrphan(change.key, orphanChunk{tasks: tasks, modRevision: change.modRevision})
}

func (s *State) deleteChunk(change recordChange) {
	id, _, ok := record.ParseChunkKey(change.key)
	if !ok {
		return
	}
	job := s.Jobs[id]
	if job == nil {
		return
	}
	s.changes.markJob(id)
	delete(job.orphanChunks, change.key)
	if chunk, ok := job.ChunkIndexOf(change.key); ok && job.HasRecord {
		s.setChunk(job, chunk, nil, 0)
	}
	s.removeIfEmpty(id, job)
}

// chunkHolds reports whether all tasks of a record are in the range of a chunk. They are not if the record was written
// in a layout that is not, or no longer, the one in the job's own record.
func (j *Job) chunkHolds(chunk int, tasks []record.Task) bool {
	first, end := j.TaskRange(chunk)
	return !slices.ContainsFunc(tasks, func(task record.Task) bool { return task.Index < first || task.Index >= end })
}

// addOrphan keeps an orphaned chunk, unless a newer one with the same key is kept.
func (j *Job) addOrphan(key string, orphan orphanChunk) {
	if j.orphanChunks == nil {
		j.orphanChunks = map[string]orphanChunk{}
	}
	if j.orphanChunks[key].modRevision <= orphan.modRevision {
		j.orphanChunks[key] = orphan
	}
}

// detachChunks removes all chunks of a job from the indexes and keeps the further chunks as orphans. It is called
// before the job's own record is deleted or changes the layout.
func (s *State) detachChunks(job *Job) {
	for chunk, old := range job.Chunks {
		for _, task := range old.Tasks {
			s.indexTask(job, task, taskRemoved)
		}
		if chunk != 0 && old.ModRevision != 0 {
			job.addOrphan(job.ChunkKey(chunk), orphanChunk{tasks: old.Tasks, modRevision: old.ModRevision})
		}
	}
	job.Chunks = nil
}

// adoptChunks applies the orphaned chunks that are part of the job's layout.
func (s *State) adoptChunks(job *Job) {
	for key, orphan := range job.orphanChunks {
		if chunk, ok := job.ChunkIndexOf(key); ok && job.chunkHolds(chunk, orphan.tasks) {
			delete(job.orphanChunks, key)
			s.setChunk(job, chunk, orphan.tasks, orphan.modRevision)
		}
	}
}

// setChunk replaces the tasks of a chunk and updates the indexes.
func (s *State) setChunk(job *Job, number int, tasks []record.Task, modRevision uint64) {
	for len(job.Chunks) <= number {
		job.Chunks = append(job.Chunks, Chunk{})
	}
	chunk := &job.Chunks[number]
	old := chunk.Tasks
	chunk.ModRevision, chunk.Tasks = modRevision, nil
	if len(tasks) == 0 {
		for _, task := range old {
			s.indexTask(job, task, taskRemoved)
		}
		return
	}
	chunk.Tasks = job.fillChunk(number, tasks)
	chunk.pendingCount = 0
	// Only tasks that differ are indexed again: a record holds many tasks and is rewritten for the change of each
	// of them.
	for i, task := range chunk.Tasks {
		if task.State == record.TaskPending {
			chunk.pendingCount++
		}
		if i < len(old) {
			if old[i] == task {
				continue
			}
			s.indexTask(job, old[i], taskRemoved)
		}
		job.trackRetry(task)
		s.indexTask(job, task, taskAdded)
	}
}

// fillChunk returns all tasks of a chunk by position. Tasks that the record omits were never bound.
func (j *Job) fillChunk(chunk int, tasks []record.Task) []record.Task {
	first, end := j.TaskRange(chunk)
	filled := make([]record.Task, end-first)
	for i := range filled {
		filled[i].Index = first + i
	}
	for _, task := range tasks {
		if i := task.Index - first; i >= 0 && i < len(filled) {
			filled[i] = task
		}
	}
	return filled
}
