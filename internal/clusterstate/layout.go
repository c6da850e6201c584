package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// A job's tasks stand in its own record and in further ones. Before
// LevelPipelines each held ChunkTasks tasks, one array a task. From then on a job
// has a Width of its own, and tasks alike but for their numbers stand as one
// Group, so that records stay within a small value limit. A job accepted before
// is moved chunk by chunk; Wide is the first chunk still to be moved.

// expandGroups gives the tasks of groups; a record with more than any may hold, or
// with numbers that are none, is unreadable.
func (w *State) expandGroups(key string, groups []record.TaskGroup) ([]record.Task, bool) {
	tasks, err := record.ExpandGroups(groups)
	if err != nil {
		w.log.Error("unreadable record", "key", key, "err", err)
	}
	return tasks, err == nil
}

// startedTasks lists the tasks of a record that were ever bound, with changes.
func (j *Job) startedTasks(lo, hi int, change map[int]record.Task) []record.Task {
	var out []record.Task
	for i := lo; i < hi; i++ {
		t, ok := change[i]
		if !ok {
			t = j.Task(i)
		}
		if t.State != record.TaskPending || t.Attempt != 0 {
			out = append(out, t)
		}
	}
	return out
}

// EncodeChunk gives the record of the chunk that holds task i, with changes.
func (j *Job) EncodeChunk(k int, change map[int]record.Task) wire.Op {
	lo, hi := j.TaskRange(k)
	return j.EncodeTasks(k, j.startedTasks(lo, hi, change))
}

// ChunkConditions are the conditions under which an encoded chunk may be written:
// neither it nor the job's record has changed.
func (j *Job) ChunkConditions(k int) []wire.Condition {
	g := []wire.Condition{{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}}
	if k > 0 {
		g = append(g, wire.Condition{Key: j.ChunkKey(k), ModRevision: j.chunkModRevision(k)})
	}
	return g
}

func (j *Job) chunkModRevision(k int) uint64 {
	if k < len(j.Chunks) {
		return j.Chunks[k].ModRevision
	}
	return 0
}

// FinalizeOps gives the changes that turn the job's records into its final one, but for its further
// records (DropFurther).
func (j *Job) FinalizeOps(status wire.JobState, done int, atMs int64) []wire.Op {
	id := j.Spec.ID
	return []wire.Op{
		{PutKey: record.FinalKey(id), Value: wire.MustEncode(record.Final{Status: status, TaskCount: j.Spec.TaskCount, DoneCount: done, EndedAtMs: atMs})},
		{DeleteKey: record.JobKey(id)},
	}
}

// DeleteFurtherChunks removes as many of the job's further records as there is room for; what stays is
// swept later.
func (j *Job) DeleteFurtherChunks(room int) []wire.Op {
	var ops []wire.Op
	for _, key := range j.FurtherChunkKeys() {
		if len(ops) < room {
			ops = append(ops, wire.Op{DeleteKey: key})
		}
	}
	return ops
}

// FurtherChunkKeys lists the keys of the job's further records that exist.
func (j *Job) FurtherChunkKeys() []string {
	var out []string
	for k := 1; k < len(j.Chunks); k++ {
		if j.Chunks[k].ModRevision != 0 {
			out = append(out, j.ChunkKey(k))
		}
	}
	for key := range j.orphanChunks {
		out = append(out, key)
	}
	return out
}

// MaxChunkSize is what record k takes with changes, as JSON and rather too much.
func (j *Job) MaxChunkSize(k int, change map[int]record.Task) int {
	lo, hi := j.TaskRange(k)
	size := 8
	if j.Spec.MaxRetries != nil {
		size += len(`,"f":[]`)
	}
	if k == 0 {
		size = j.EncodedBaseSize
	}
	tasks := j.startedTasks(lo, hi, change)
	for _, t := range tasks {
		if t.Failures > 0 {
			size += 4 + decimalDigits(t.Index) + decimalDigits(t.Failures)
		}
	}
	if j.ChunkWidth == 0 || k >= j.GroupedChunkCount() {
		for _, t := range tasks {
			size += 11 + decimalDigits(t.Index) + decimalDigits(int(t.Attempt)) + len(t.Machine) + decimalDigits(int(t.Session)) + decimalDigits(t.ChargedShard)
		}
		return size
	}
	for _, g := range record.GroupTasks(tasks) {
		size += 14 + decimalDigits(int(g.Attempt)) + len(g.Machine) + decimalDigits(int(g.Session)) + decimalDigits(g.ChargedShard)
		for _, n := range g.IndexRuns {
			size += 1 + decimalDigits(n)
		}
	}
	return size
}

func decimalDigits(n int) int {
	d := 1
	for ; n >= 10; n /= 10 {
		d++
	}
	return d
}

// LongestMachineName is the length of the longest machine's name so far. Callers hold the lock.
func (w *State) LongestMachineName() int { return w.longestMachineName }

// SizeLimits gives it for the machines' names that were seen. Callers hold the lock.
func (w *State) SizeLimits(room int) record.SizeLimits {
	return record.SizeLimits{MaxBytes: room, BoundTaskBytes: tuning.TaskBytes + max(0, w.longestMachineName-tuning.TaskName)}
}

// NeedsMigration tells whether an old record of the job may come to take more than it
// should, so that it has to be moved before it is written again.
func (j *Job) NeedsMigration(f record.SizeLimits) bool {
	if j.ChunkWidth > 0 {
		return j.FirstFixedChunk > 0
	}
	// One whose description alone is too long stays as it is.
	return !f.FixedChunksFit(&j.Spec, j.EncodedBaseSize) && f.ChunkWidth(&j.Spec, j.EncodedBaseSize) > 0
}

// MigrateChunk gives the change that brings an old chunk of the job into records that
// stay within bounds: its first one with the job's own record, later ones one at a
// time. Every write of a job's tasks is guarded by the job's own record, which
// each step rewrites: a writer that still has the old layout in mind fails, and
// readers see one layout or the other. steps bounds the absent chunks that are
// passed over at once.
func (j *Job) MigrateChunk(f record.SizeLimits, steps int) ([]wire.Condition, []wire.Op, bool) {
	next := *j
	guards := []wire.Condition{{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}}
	chunk := j.FirstFixedChunk
	if j.ChunkWidth == 0 {
		next.ChunkWidth = f.ChunkWidth(&j.Spec, j.EncodedBaseSize)
		if next.ChunkWidth == 0 {
			return nil, nil, false
		}
		if j.Spec.Spread {
			// Each record keeps to its half of a zone: its run of tasks must stay.
			next.ChunkWidth = tuning.ChunkTasks
		}
	}
	next.FirstFixedChunk = chunk + 1
	var ops []wire.Op
	if chunk > 0 {
		k := j.ChunkOf(chunk * tuning.ChunkTasks)
		guards = append(guards, wire.Condition{Key: j.ChunkKey(k), ModRevision: j.chunkModRevision(k)})
		if j.chunkModRevision(k) != 0 {
			ops = append(ops, wire.Op{DeleteKey: j.ChunkKey(k)})
		}
	}
	for ; steps > 0 && next.FirstFixedChunk < record.FixedChunkCount(j.Spec.TaskCount); steps-- {
		k := j.ChunkOf(next.FirstFixedChunk * tuning.ChunkTasks)
		if j.chunkModRevision(k) != 0 {
			break
		}
		guards = append(guards, wire.Condition{Key: j.ChunkKey(k)})
		next.FirstFixedChunk++
	}
	if next.FirstFixedChunk >= record.FixedChunkCount(j.Spec.TaskCount) {
		next.FirstFixedChunk = 0
	}
	ops = append(ops, next.EncodeTasks(0, j.startedTasks(0, min(next.ChunkWidth, j.Spec.TaskCount), nil)))
	end := min((chunk+1)*tuning.ChunkTasks, j.Spec.TaskCount)
	for lo := max(next.ChunkWidth, chunk*tuning.ChunkTasks); lo < end; lo += next.ChunkWidth {
		if tasks := j.startedTasks(lo, min(lo+next.ChunkWidth, end), nil); len(tasks) > 0 {
			ops = append(ops, next.EncodeTasks(lo/next.ChunkWidth, tasks))
		}
	}
	return guards, ops, true
}
