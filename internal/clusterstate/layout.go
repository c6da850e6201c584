package clusterstate

import (
	"fmt"
	"slices"
	"strings"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// A job's tasks stand in its own record and in further ones. Before
// LevelPipelines each held ChunkTasks tasks, one array a task. From then on a job
// has a Width of its own, and tasks alike but for their numbers stand as one
// Group, so that records stay within a small value limit. A job accepted before
// is moved chunk by chunk; Wide is the first chunk still to be moved.

// TaskGroup is a number of tasks that are alike but for their numbers.
type TaskGroup struct {
	_            struct{} `cbor:",toarray"`
	State        int
	Attempt      uint64
	Machine      string
	Session      uint64
	ChargedShard int
	IndexRuns    []int // numbers: the first, how many more follow it, and so on
}

// groupTasks puts tasks that are alike together, in the order of their numbers.
func groupTasks(tasks []Task) []TaskGroup {
	var out []TaskGroup
	at := map[Task]int{}
	for _, t := range tasks {
		like := t
		like.Index, like.Failures = 0, 0
		g, ok := at[like]
		if !ok {
			g = len(out)
			at[like] = g
			out = append(out, TaskGroup{State: t.State, Attempt: t.Attempt, Machine: t.Machine, Session: t.Session, ChargedShard: t.ChargedShard})
		}
		s := out[g].IndexRuns
		if n := len(s); n > 0 && s[n-2]+s[n-1]+1 == t.Index {
			s[n-1]++
			continue
		}
		out[g].IndexRuns = append(s, t.Index, 0)
	}
	return out
}

// expandGroups gives the tasks of groups; a record with more than any may hold, or
// with numbers that are none, is unreadable.
func (w *State) expandGroups(key string, groups []TaskGroup) ([]Task, bool) {
	tasks, err := expandGroups(groups)
	if err != nil {
		w.log.Error("unreadable record", "key", key, "err", err)
	}
	return tasks, err == nil
}

func expandGroups(groups []TaskGroup) ([]Task, error) {
	var out []Task
	for _, g := range groups {
		if len(g.IndexRuns)%2 != 0 {
			return nil, fmt.Errorf("odd spans")
		}
		for s := 0; s < len(g.IndexRuns); s += 2 {
			from, more := g.IndexRuns[s], g.IndexRuns[s+1]
			if from < 0 || from >= tuning.MaxTasks || more < 0 || len(out)+more >= tuning.ChunkTasks {
				return nil, fmt.Errorf("spans out of range")
			}
			for i := range more + 1 {
				out = append(out, Task{Index: from + i, State: g.State, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, ChargedShard: g.ChargedShard})
			}
		}
	}
	return out, nil
}

// validLayout tells whether a record's layout is one that can be.
func (r *JobRecord) validLayout() bool {
	return r.ChunkWidth == 0 && r.FirstFixedChunk == 0 ||
		r.ChunkWidth >= 1 && r.ChunkWidth <= tuning.ChunkTasks && tuning.ChunkTasks%r.ChunkWidth == 0 && r.FirstFixedChunk >= 0 && r.FirstFixedChunk < FixedChunkCount(r.Spec.TaskCount)
}

// groupedChunkCount is the number of records with the job's own width.
func (r *JobRecord) groupedChunkCount() int {
	switch {
	case r.ChunkWidth == 0:
		return 0
	case r.FirstFixedChunk > 0:
		return r.FirstFixedChunk * (tuning.ChunkTasks / r.ChunkWidth)
	}
	return (r.Spec.TaskCount + r.ChunkWidth - 1) / r.ChunkWidth
}

// ChunkCount is the number of records that the job's tasks may take.
func (r *JobRecord) ChunkCount() int {
	if r.ChunkWidth > 0 && r.FirstFixedChunk == 0 {
		return r.groupedChunkCount()
	}
	return r.groupedChunkCount() + FixedChunkCount(r.Spec.TaskCount) - r.FirstFixedChunk
}

// ChunkOf is the record that holds a task.
func (r *JobRecord) ChunkOf(task int) int {
	switch {
	case r.ChunkWidth == 0:
		return task / tuning.ChunkTasks
	case r.FirstFixedChunk == 0 || task < r.FirstFixedChunk*tuning.ChunkTasks:
		return task / r.ChunkWidth
	}
	return r.groupedChunkCount() + task/tuning.ChunkTasks - r.FirstFixedChunk
}

// TaskRange is the run of tasks that a record holds: from the first up to, not
// including, the second.
func (r *JobRecord) TaskRange(k int) (int, int) {
	lo, n := k*r.ChunkWidth, r.ChunkWidth
	if f := r.groupedChunkCount(); k >= f {
		lo, n = (k-f+r.FirstFixedChunk)*tuning.ChunkTasks, tuning.ChunkTasks
	}
	return lo, min(lo+n, r.Spec.TaskCount)
}

// ChunkKey is a record's key.
func (r *JobRecord) ChunkKey(k int) string {
	switch f := r.groupedChunkCount(); {
	case k == 0:
		return JobKey(r.Spec.ID)
	case k < f:
		return GroupedChunkKey(r.Spec.ID, k)
	default:
		return FixedChunkKey(r.Spec.ID, k-f+r.FirstFixedChunk)
	}
}

// chunkIndexOf finds which record of the job a key is, if its layout has it.
func (r *JobRecord) chunkIndexOf(key string) (int, bool) {
	_, n, ok := parseChunkKey(key)
	k := n
	if strings.HasPrefix(key, fixedChunkPrefix) {
		k = n - r.FirstFixedChunk + r.groupedChunkCount()
	}
	return k, ok && k > 0 && k < r.ChunkCount() && r.ChunkKey(k) == key
}

// parseChunkKey reads the key of a further record of tasks.
func parseChunkKey(key string) (string, int, bool) {
	ref, ok := ParseTaskRef(key[len(fixedChunkPrefix):])
	return ref.Job, ref.Index, ok && ref.Index > 0 && ref.Index < tuning.MaxTasks
}

// encodeChunk gives record k with these tasks.
func (r *JobRecord) encodeChunk(k int, tasks []Task) wire.Op {
	fine := r.ChunkWidth > 0 && k < r.groupedChunkCount()
	var v any
	failures := countFailures(tasks)
	switch {
	case k == 0:
		rec := *r
		rec.Tasks, rec.Groups, rec.Failures = tasks, nil, failures
		if fine {
			rec.Tasks, rec.Groups = nil, groupTasks(tasks)
		}
		v = rec
	case fine:
		v = GroupedChunkRecord{groupTasks(tasks), failures}
	default:
		v = FixedChunkRecord{tasks, failures}
	}
	return wire.Op{PutKey: r.ChunkKey(k), Value: wire.MustEncode(v)}
}

// countFailures gives the failures of tasks as their record holds them.
func countFailures(tasks []Task) []int {
	var out []int
	for _, t := range tasks {
		if t.Failures > 0 {
			out = append(out, t.Index, t.Failures)
		}
	}
	return out
}

// attachFailures gives tasks the failures that stand beside them in their record.
func attachFailures(tasks []Task, failures []int) []Task {
	if len(failures) == 0 {
		return tasks
	}
	count := map[int]int{}
	for pair := range slices.Chunk(failures, 2) {
		count[pair[0]] = pair[len(pair)-1]
	}
	for i := range tasks {
		tasks[i].Failures = count[tasks[i].Index]
	}
	return tasks
}

// startedTasks lists the tasks of a record that were ever bound, with changes.
func (j *Job) startedTasks(lo, hi int, change map[int]Task) []Task {
	var out []Task
	for i := lo; i < hi; i++ {
		t, ok := change[i]
		if !ok {
			t = j.Task(i)
		}
		if t.State != TaskPending || t.Attempt != 0 {
			out = append(out, t)
		}
	}
	return out
}

// EncodeChunk gives the record of the chunk that holds task i, with changes.
func (j *Job) EncodeChunk(k int, change map[int]Task) wire.Op {
	lo, hi := j.TaskRange(k)
	return j.encodeChunk(k, j.startedTasks(lo, hi, change))
}

// ChunkConditions are the conditions under which an encoded chunk may be written:
// neither it nor the job's record has changed.
func (j *Job) ChunkConditions(k int) []wire.Condition {
	g := []wire.Condition{{Key: JobKey(j.Spec.ID), ModRevision: j.ModRevision}}
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
		{PutKey: FinalKey(id), Value: wire.MustEncode(FinalRecord{Status: status, TaskCount: j.Spec.TaskCount, DoneCount: done, EndedAtMs: atMs})},
		{DeleteKey: JobKey(id)},
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

// EncodedBaseSize is the most that a job's own record takes without tasks, as JSON.
func EncodedBaseSize(rec JobRecord) int {
	// What is not there yet may come.
	rec.CancelledAtMs, rec.PreemptedAttempt, rec.ChunkWidth, rec.FirstFixedChunk, rec.Tasks, rec.Groups = max(rec.SubmittedAtMs, 1), tuning.MaxTasks, tuning.ChunkTasks, tuning.MaxTasks, nil, nil
	rec.CancelAfterRelease, rec.Failures = true, nil
	if rec.Spec.MaxRetries != nil {
		rec.Failed, rec.Failures = true, []int{0, 1}
	}
	return wire.JSONSize(wire.MustEncode(rec))
}

// MaxChunkSize is what record k takes with changes, as JSON and rather too much.
func (j *Job) MaxChunkSize(k int, change map[int]Task) int {
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
	if j.ChunkWidth == 0 || k >= j.groupedChunkCount() {
		for _, t := range tasks {
			size += 11 + decimalDigits(t.Index) + decimalDigits(int(t.Attempt)) + len(t.Machine) + decimalDigits(int(t.Session)) + decimalDigits(t.ChargedShard)
		}
		return size
	}
	for _, g := range groupTasks(tasks) {
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

// SizeLimits is what one record may take, and what a bound task may take of it, in bytes
// of their JSON form.
type SizeLimits struct{ MaxBytes, BoundTaskBytes int }

// LongestMachineName is the length of the longest machine's name so far. Callers hold the lock.
func (w *State) LongestMachineName() int { return w.longestMachineName }

// SizeLimits gives it for the machines' names that were seen. Callers hold the lock.
func (w *State) SizeLimits(room int) SizeLimits {
	return SizeLimits{room, tuning.TaskBytes + max(0, w.longestMachineName-tuning.TaskName)}
}

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
func (r *JobRecord) ChooseLayout(level int, fit SizeLimits) string {
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

// NeedsMigration tells whether an old record of the job may come to take more than it
// should, so that it has to be moved before it is written again.
func (j *Job) NeedsMigration(f SizeLimits) bool {
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
func (j *Job) MigrateChunk(f SizeLimits, steps int) ([]wire.Condition, []wire.Op, bool) {
	next := *j
	guards := []wire.Condition{{Key: JobKey(j.Spec.ID), ModRevision: j.ModRevision}}
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
	for ; steps > 0 && next.FirstFixedChunk < FixedChunkCount(j.Spec.TaskCount); steps-- {
		k := j.ChunkOf(next.FirstFixedChunk * tuning.ChunkTasks)
		if j.chunkModRevision(k) != 0 {
			break
		}
		guards = append(guards, wire.Condition{Key: j.ChunkKey(k)})
		next.FirstFixedChunk++
	}
	if next.FirstFixedChunk >= FixedChunkCount(j.Spec.TaskCount) {
		next.FirstFixedChunk = 0
	}
	ops = append(ops, next.encodeChunk(0, j.startedTasks(0, min(next.ChunkWidth, j.Spec.TaskCount), nil)))
	end := min((chunk+1)*tuning.ChunkTasks, j.Spec.TaskCount)
	for lo := max(next.ChunkWidth, chunk*tuning.ChunkTasks); lo < end; lo += next.ChunkWidth {
		if tasks := j.startedTasks(lo, min(lo+next.ChunkWidth, end), nil); len(tasks) > 0 {
			ops = append(ops, next.encodeChunk(lo/next.ChunkWidth, tasks))
		}
	}
	return guards, ops, true
}
