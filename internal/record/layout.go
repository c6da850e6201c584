package record

import (
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// ValidLayout tells whether a record's layout is one that can be.
func (r *Job) ValidLayout() bool {
	return r.ChunkWidth == 0 && r.FirstFixedChunk == 0 ||
		r.ChunkWidth >= 1 && r.ChunkWidth <= tuning.ChunkTasks && tuning.ChunkTasks%r.ChunkWidth == 0 && r.FirstFixedChunk >= 0 && r.FirstFixedChunk < FixedChunkCount(r.Spec.TaskCount)
}

// GroupedChunkCount is the number of records with the job's own width.
func (r *Job) GroupedChunkCount() int {
	switch {
	case r.ChunkWidth == 0:
		return 0
	case r.FirstFixedChunk > 0:
		return r.FirstFixedChunk * (tuning.ChunkTasks / r.ChunkWidth)
	}
	return (r.Spec.TaskCount + r.ChunkWidth - 1) / r.ChunkWidth
}

// ChunkCount is the number of records that the job's tasks may take.
func (r *Job) ChunkCount() int {
	if r.ChunkWidth > 0 && r.FirstFixedChunk == 0 {
		return r.GroupedChunkCount()
	}
	return r.GroupedChunkCount() + FixedChunkCount(r.Spec.TaskCount) - r.FirstFixedChunk
}

// ChunkOf is the record that holds a task.
func (r *Job) ChunkOf(task int) int {
	switch {
	case r.ChunkWidth == 0:
		return task / tuning.ChunkTasks
	case r.FirstFixedChunk == 0 || task < r.FirstFixedChunk*tuning.ChunkTasks:
		return task / r.ChunkWidth
	}
	return r.GroupedChunkCount() + task/tuning.ChunkTasks - r.FirstFixedChunk
}

// TaskRange is the run of tasks that a record holds: from the first up to, not
// including, the second.
func (r *Job) TaskRange(k int) (int, int) {
	lo, n := k*r.ChunkWidth, r.ChunkWidth
	if f := r.GroupedChunkCount(); k >= f {
		lo, n = (k-f+r.FirstFixedChunk)*tuning.ChunkTasks, tuning.ChunkTasks
	}
	return lo, min(lo+n, r.Spec.TaskCount)
}

// ChunkKey is a record's key.
func (r *Job) ChunkKey(k int) string {
	switch f := r.GroupedChunkCount(); {
	case k == 0:
		return JobKey(r.Spec.ID)
	case k < f:
		return GroupedChunkKey(r.Spec.ID, k)
	default:
		return FixedChunkKey(r.Spec.ID, k-f+r.FirstFixedChunk)
	}
}

// ChunkIndexOf finds which record of the job a key is, if its layout has it.
func (r *Job) ChunkIndexOf(key string) (int, bool) {
	_, n, ok := ParseChunkKey(key)
	k := n
	if strings.HasPrefix(key, FixedChunkPrefix) {
		k = n - r.FirstFixedChunk + r.GroupedChunkCount()
	}
	return k, ok && k > 0 && k < r.ChunkCount() && r.ChunkKey(k) == key
}

// EncodeTasks gives record k with these tasks.
func (r *Job) EncodeTasks(k int, tasks []Task) wire.Op {
	fine := r.ChunkWidth > 0 && k < r.GroupedChunkCount()
	var v any
	failures := countFailures(tasks)
	switch {
	case k == 0:
		rec := *r
		rec.Tasks, rec.Groups, rec.Failures = tasks, nil, failures
		if fine {
			rec.Tasks, rec.Groups = nil, GroupTasks(tasks)
		}
		v = rec
	case fine:
		v = GroupedChunk{GroupTasks(tasks), failures}
	default:
		v = FixedChunk{tasks, failures}
	}
	return wire.Op{PutKey: r.ChunkKey(k), Value: wire.MustEncode(v)}
}

// EncodedBaseSize is the most that a job's own record takes without tasks, as JSON.
func EncodedBaseSize(rec Job) int {
	// What is not there yet may come.
	rec.CancelledAtMs, rec.PreemptedAttempt, rec.ChunkWidth, rec.FirstFixedChunk, rec.Tasks, rec.Groups = max(rec.SubmittedAtMs, 1), tuning.MaxTasks, tuning.ChunkTasks, tuning.MaxTasks, nil, nil
	rec.CancelAfterRelease, rec.Failures = true, nil
	if rec.Spec.MaxRetries != nil {
		rec.Failed, rec.Failures = true, []int{0, 1}
	}
	return wire.JSONSize(wire.MustEncode(rec))
}

// SizeLimits is what one record may take, and what a bound task may take of it, in bytes
// of their JSON form.
type SizeLimits struct{ MaxBytes, BoundTaskBytes int }

// ChunkWidth is how many tasks a record of a job should hold if its own record without
// tasks takes so much; 0 if none can. A gang's tasks are bound together and may
// each have a machine to themselves; an array whose tasks are on so many finds some
// of them waiting.
func (f SizeLimits) ChunkWidth(s *wire.JobSpec, bare int) int {
	each := tuning.LikelyTaskBytes
	if s.Kind == wire.KindGang {
		each = f.BoundTaskBytes
	}
	each += failureBytesPerTask(s)
	for w := tuning.ChunkTasks; w >= tuning.LeastWidth; w /= 2 {
		if bare+min(w, s.TaskCount)*each <= f.MaxBytes {
			return w
		}
	}
	return 0
}

// ChooseLayout chooses the layout of a new job's records; it says why if the job's
// description is more than one record may hold, now or under the limits that are
// known to come.
func (r *Job) ChooseLayout(level int, fit SizeLimits) string {
	bare := EncodedBaseSize(*r)
	width := fit.ChunkWidth(&r.Spec, bare)
	if width == 0 {
		return "its description, awaits included, takes more than the state service holds in one record"
	}
	if level >= tuning.LevelPipelines && !fit.FixedChunksFit(&r.Spec, bare) {
		r.ChunkWidth = width
	}
	return ""
}

// FixedChunksFit tells whether old records of a job stay within it whatever becomes of
// its tasks.
func (f SizeLimits) FixedChunksFit(s *wire.JobSpec, bare int) bool {
	return bare+min(s.TaskCount, tuning.ChunkTasks)*(f.BoundTaskBytes+failureBytesPerTask(s)) <= f.MaxBytes
}

// failureBytesPerTask is what a task of a job may take in its record beside its own state.
func failureBytesPerTask(s *wire.JobSpec) int {
	if s.MaxRetries == nil {
		return 0
	}
	return tuning.FailureBytes
}
