package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// chunkKey names one chunk of a job: one of the records that its tasks are spread over. Chunk 0 is the job's own
// record.
type chunkKey struct {
	job   *clusterstate.Job
	chunk int
}

// chunkEdit gathers what a cycle changes in one chunk of a job.
type chunkEdit struct {
	chunkKey
	tasks       map[int]record.Task // as they will be, by index
	shards      map[int]bool        // whose ownership the edit rests on
	bindings    []pendingBinding
	encodedSize int  // of the chunk with the edit, as JSON; 0: not measured yet
	failsJob    bool // a task of it has no retry left
}

// editChunk opens the chunk that holds a task. It returns nil if the chunk can't be changed in this cycle: a change of
// it is in flight or was rejected lately, or the job's records have to be migrated first.
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

// chunkIsFree reports whether a chunk may be changed now. Where all tasks must be in one zone, the job's own record
// must be free too, as the choice of the zone is written there.
func (c *cycle) chunkIsFree(key chunkKey) bool {
	recordKey := key.job.ChunkKey(key.chunk)
	if c.changes.rejected(recordKey) || c.changes.inFlight(recordKey) {
		return false
	}
	return key.chunk == 0 || !key.job.Spec.SameZone || !c.changes.inFlight(key.job.ChunkKey(0))
}

// taskState returns a task as it will be after this cycle's edits.
func (c *cycle) taskState(job *clusterstate.Job, taskIndex int) record.Task {
	if edit := c.chunkEdits[chunkKey{job: job, chunk: job.ChunkOf(taskIndex)}]; edit != nil {
		if task, ok := edit.tasks[taskIndex]; ok {
			return task
		}
	}
	return job.Task(taskIndex)
}

// chunkFull reports whether a chunk can't take so many more bound tasks. Without the check a key-value store with
// a small value limit would reject the chunk over and over.
func (c *cycle) chunkFull(job *clusterstate.Job, chunk, added int, machine string) bool {
	limit := c.committer.MaxRecordBytes()
	if c.cluster.SizeLimits(limit).FixedChunksFit(&job.Spec, job.EncodedBaseSize) {
		return false
	}
	edit := c.chunkEdits[chunkKey{job: job, chunk: chunk}]
	if edit == nil {
		edit = &chunkEdit{} // nothing of it has changed in this cycle
	}
	if edit.encodedSize == 0 {
		edit.encodedSize = job.MaxChunkSize(chunk, edit.tasks)
	}
	return edit.encodedSize+added*maxBindingBytes(machine) > limit
}

// maxBindingBytes is the most that binding a task to a machine adds to its chunk, as JSON.
func maxBindingBytes(machine string) int { return len(machine) + tuning.BoundTaskMaxBytes/2 }
