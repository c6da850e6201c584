package world

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

// Group is a number of tasks that are alike but for their numbers.
type Group struct {
	_       struct{} `cbor:",toarray"`
	State   int
	Attempt uint64
	Machine string
	Session uint64
	Charge  int
	Spans   []int // numbers: the first, how many more follow it, and so on
}

// group puts tasks that are alike together, in the order of their numbers.
func group(tasks []Task) []Group {
	var out []Group
	at := map[Task]int{}
	for _, t := range tasks {
		like := t
		like.Index, like.Failures = 0, 0
		g, ok := at[like]
		if !ok {
			g = len(out)
			at[like] = g
			out = append(out, Group{State: t.State, Attempt: t.Attempt, Machine: t.Machine, Session: t.Session, Charge: t.Charge})
		}
		s := out[g].Spans
		if n := len(s); n > 0 && s[n-2]+s[n-1]+1 == t.Index {
			s[n-1]++
			continue
		}
		out[g].Spans = append(s, t.Index, 0)
	}
	return out
}

// ungroup gives the tasks of groups; a record with more than any may hold, or
// with numbers that are none, is unreadable.
func (w *World) ungroup(key string, groups []Group) ([]Task, bool) {
	tasks, err := ungroup(groups)
	if err != nil {
		w.log.Error("unreadable record", "key", key, "err", err)
	}
	return tasks, err == nil
}

func ungroup(groups []Group) ([]Task, error) {
	var out []Task
	for _, g := range groups {
		if len(g.Spans)%2 != 0 {
			return nil, fmt.Errorf("odd spans")
		}
		for s := 0; s < len(g.Spans); s += 2 {
			from, more := g.Spans[s], g.Spans[s+1]
			if from < 0 || from >= tuning.MaxTasks || more < 0 || len(out)+more >= tuning.ChunkTasks {
				return nil, fmt.Errorf("spans out of range")
			}
			for i := range more + 1 {
				out = append(out, Task{Index: from + i, State: g.State, Attempt: g.Attempt, Machine: g.Machine, Session: g.Session, Charge: g.Charge})
			}
		}
	}
	return out, nil
}

// laid tells whether a record's layout is one that can be.
func (r *JobRecord) laid() bool {
	return r.Width == 0 && r.Wide == 0 ||
		r.Width >= 1 && r.Width <= tuning.ChunkTasks && tuning.ChunkTasks%r.Width == 0 && r.Wide >= 0 && r.Wide < Chunks(r.Spec.TaskCount)
}

// fine is the number of records with the job's own width.
func (r *JobRecord) fine() int {
	switch {
	case r.Width == 0:
		return 0
	case r.Wide > 0:
		return r.Wide * (tuning.ChunkTasks / r.Width)
	}
	return (r.Spec.TaskCount + r.Width - 1) / r.Width
}

// Records is the number of records that the job's tasks may take.
func (r *JobRecord) Records() int {
	if r.Width > 0 && r.Wide == 0 {
		return r.fine()
	}
	return r.fine() + Chunks(r.Spec.TaskCount) - r.Wide
}

// RecordOf is the record that holds a task.
func (r *JobRecord) RecordOf(task int) int {
	switch {
	case r.Width == 0:
		return task / tuning.ChunkTasks
	case r.Wide == 0 || task < r.Wide*tuning.ChunkTasks:
		return task / r.Width
	}
	return r.fine() + task/tuning.ChunkTasks - r.Wide
}

// Span is the run of tasks that a record holds: from the first up to, not
// including, the second.
func (r *JobRecord) Span(k int) (int, int) {
	lo, n := k*r.Width, r.Width
	if f := r.fine(); k >= f {
		lo, n = (k-f+r.Wide)*tuning.ChunkTasks, tuning.ChunkTasks
	}
	return lo, min(lo+n, r.Spec.TaskCount)
}

// Key is a record's key.
func (r *JobRecord) Key(k int) string {
	switch f := r.fine(); {
	case k == 0:
		return JobKey(r.Spec.ID)
	case k < f:
		return FineKey(r.Spec.ID, k)
	default:
		return ChunkKey(r.Spec.ID, k-f+r.Wide)
	}
}

// place finds which record of the job a key is, if its layout has it.
func (r *JobRecord) place(key string) (int, bool) {
	_, n, ok := parseRecord(key)
	k := n
	if strings.HasPrefix(key, chunkKeys) {
		k = n - r.Wide + r.fine()
	}
	return k, ok && k > 0 && k < r.Records() && r.Key(k) == key
}

// parseRecord reads the key of a further record of tasks.
func parseRecord(key string) (string, int, bool) {
	ref, ok := ParseRef(key[len(chunkKeys):])
	return ref.Job, ref.Index, ok && ref.Index > 0 && ref.Index < tuning.MaxTasks
}

// encode gives record k with these tasks.
func (r *JobRecord) encode(k int, tasks []Task) wire.Op {
	fine := r.Width > 0 && k < r.fine()
	var v any
	failures := countFailures(tasks)
	switch {
	case k == 0:
		rec := *r
		rec.Tasks, rec.Groups, rec.Failures = tasks, nil, failures
		if fine {
			rec.Tasks, rec.Groups = nil, group(tasks)
		}
		v = rec
	case fine:
		v = FineRecord{group(tasks), failures}
	default:
		v = ChunkRecord{tasks, failures}
	}
	return wire.Op{PutKey: r.Key(k), Value: wire.MustEncode(v)}
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

// withFailures gives tasks the failures that stand beside them in their record.
func withFailures(tasks []Task, failures []int) []Task {
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

// tasks lists the tasks of a record that were ever bound, with changes.
func (j *Job) tasks(lo, hi int, change map[int]Task) []Task {
	var out []Task
	for i := lo; i < hi; i++ {
		t, ok := change[i]
		if !ok {
			t = j.Task(i)
		}
		if t.State != Idle || t.Attempt != 0 {
			out = append(out, t)
		}
	}
	return out
}

// Encode gives the record of the chunk that holds task i, with changes.
func (j *Job) Encode(k int, change map[int]Task) wire.Op {
	lo, hi := j.Span(k)
	return j.encode(k, j.tasks(lo, hi, change))
}

// ChunkGuards are the conditions under which an encoded chunk may be written:
// neither it nor the job's record has changed.
func (j *Job) ChunkGuards(k int) []wire.Condition {
	g := []wire.Condition{{Key: JobKey(j.Spec.ID), ModRevision: j.Stamp}}
	if k > 0 {
		g = append(g, wire.Condition{Key: j.Key(k), ModRevision: j.stamp(k)})
	}
	return g
}

func (j *Job) stamp(k int) uint64 {
	if k < len(j.Chunks) {
		return j.Chunks[k].Stamp
	}
	return 0
}

// Final gives the changes that turn the job's records into its final one, but for its further
// records (DropFurther).
func (j *Job) Final(status string, done int, atMs int64) []wire.Op {
	id := j.Spec.ID
	return []wire.Op{
		{PutKey: FinalKey(id), Value: wire.MustEncode(FinalRecord{Status: status, Tasks: j.Spec.TaskCount, Done: done, AtMs: atMs})},
		{DeleteKey: JobKey(id)},
	}
}

// DropFurther removes as many of the job's further records as there is room for; what stays is
// swept later.
func (j *Job) DropFurther(room int) []wire.Op {
	var ops []wire.Op
	for _, key := range j.Further() {
		if len(ops) < room {
			ops = append(ops, wire.Op{DeleteKey: key})
		}
	}
	return ops
}

// Further lists the keys of the job's further records that exist.
func (j *Job) Further() []string {
	var out []string
	for k := 1; k < len(j.Chunks); k++ {
		if j.Chunks[k].Stamp != 0 {
			out = append(out, j.Key(k))
		}
	}
	for key := range j.strays {
		out = append(out, key)
	}
	return out
}

// BareSize is the most that a job's own record takes without tasks, as JSON.
func BareSize(rec JobRecord) int {
	// What is not there yet may come.
	rec.CancelMs, rec.Yield, rec.Width, rec.Wide, rec.Tasks, rec.Groups = max(rec.AtMs, 1), tuning.MaxTasks, tuning.ChunkTasks, tuning.MaxTasks, nil, nil
	rec.Certain, rec.Failures = true, nil
	if rec.Spec.MaxRetries != nil {
		rec.Failed, rec.Failures = true, []int{0, 1}
	}
	return wire.JSONSize(wire.MustEncode(rec))
}

// Size is what record k takes with changes, as JSON and rather too much.
func (j *Job) Size(k int, change map[int]Task) int {
	lo, hi := j.Span(k)
	size := 8
	if j.Spec.MaxRetries != nil {
		size += len(`,"f":[]`)
	}
	if k == 0 {
		size = j.Bare
	}
	tasks := j.tasks(lo, hi, change)
	for _, t := range tasks {
		if t.Failures > 0 {
			size += 4 + digits(t.Index) + digits(t.Failures)
		}
	}
	if j.Width == 0 || k >= j.fine() {
		for _, t := range tasks {
			size += 11 + digits(t.Index) + digits(int(t.Attempt)) + len(t.Machine) + digits(int(t.Session)) + digits(t.Charge)
		}
		return size
	}
	for _, g := range group(tasks) {
		size += 14 + digits(int(g.Attempt)) + len(g.Machine) + digits(int(g.Session)) + digits(g.Charge)
		for _, n := range g.Spans {
			size += 1 + digits(n)
		}
	}
	return size
}

func digits(n int) int {
	d := 1
	for ; n >= 10; n /= 10 {
		d++
	}
	return d
}

// Fit is what one record may take, and what a bound task may take of it, in bytes
// of their JSON form.
type Fit struct{ Room, Task int }

// LongestName is the length of the longest machine's name so far. Callers hold the lock.
func (w *World) LongestName() int { return w.longest }

// Fit gives it for the machines' names that were seen. Callers hold the lock.
func (w *World) Fit(room int) Fit {
	return Fit{room, tuning.TaskBytes + max(0, w.longest-tuning.TaskName)}
}

// Width is how many tasks a record of a job should hold if its own record without
// tasks takes so much; 0 if none can. A gang's tasks are bound together and may
// each have a machine to themselves; an array whose tasks are on so many finds some
// of them waiting.
func (f Fit) Width(s *wire.JobSpec, bare int) int {
	each := tuning.LikelyTaskBytes
	if s.Kind == wire.KindGang {
		each = f.Task
	}
	each += failureBytes(s)
	for w := tuning.ChunkTasks; w >= tuning.LeastWidth; w /= 2 {
		if bare+min(w, s.TaskCount)*each <= f.Room {
			return w
		}
	}
	return 0
}

// Lay chooses the layout of a new job's records; it says why if the job's
// description is more than one record may hold, now or under the limits that are
// known to come.
func (r *JobRecord) Lay(level int, fit Fit) string {
	bare := BareSize(*r)
	width := fit.Width(&r.Spec, bare)
	if width == 0 {
		return "its description, awaits included, takes more than the state service holds in one record"
	}
	if level >= tuning.LevelPipelines && !fit.Holds(&r.Spec, bare) {
		r.Width = width
	}
	return ""
}

// Holds tells whether old records of a job stay within it whatever becomes of
// its tasks.
func (f Fit) Holds(s *wire.JobSpec, bare int) bool {
	return bare+min(s.TaskCount, tuning.ChunkTasks)*(f.Task+failureBytes(s)) <= f.Room
}

// failureBytes is what a task of a job may take in its record beside its own state.
func failureBytes(s *wire.JobSpec) int {
	if s.MaxRetries == nil {
		return 0
	}
	return tuning.FailureBytes
}

// Outgrows tells whether an old record of the job may come to take more than it
// should, so that it has to be moved before it is written again.
func (j *Job) Outgrows(f Fit) bool {
	if j.Width > 0 {
		return j.Wide > 0
	}
	// One whose description alone is too long stays as it is.
	return !f.Holds(&j.Spec, j.Bare) && f.Width(&j.Spec, j.Bare) > 0
}

// Move gives the change that brings an old chunk of the job into records that
// stay within bounds: its first one with the job's own record, later ones one at a
// time. Every write of a job's tasks is guarded by the job's own record, which
// each step rewrites: a writer that still has the old layout in mind fails, and
// readers see one layout or the other. steps bounds the absent chunks that are
// passed over at once.
func (j *Job) Move(f Fit, steps int) ([]wire.Condition, []wire.Op, bool) {
	next := *j
	guards := []wire.Condition{{Key: JobKey(j.Spec.ID), ModRevision: j.Stamp}}
	chunk := j.Wide
	if j.Width == 0 {
		next.Width = f.Width(&j.Spec, j.Bare)
		if next.Width == 0 {
			return nil, nil, false
		}
		if j.Spec.Spread {
			// Each record keeps to its half of a zone: its run of tasks must stay.
			next.Width = tuning.ChunkTasks
		}
	}
	next.Wide = chunk + 1
	var ops []wire.Op
	if chunk > 0 {
		k := j.RecordOf(chunk * tuning.ChunkTasks)
		guards = append(guards, wire.Condition{Key: j.Key(k), ModRevision: j.stamp(k)})
		if j.stamp(k) != 0 {
			ops = append(ops, wire.Op{DeleteKey: j.Key(k)})
		}
	}
	for ; steps > 0 && next.Wide < Chunks(j.Spec.TaskCount); steps-- {
		k := j.RecordOf(next.Wide * tuning.ChunkTasks)
		if j.stamp(k) != 0 {
			break
		}
		guards = append(guards, wire.Condition{Key: j.Key(k)})
		next.Wide++
	}
	if next.Wide >= Chunks(j.Spec.TaskCount) {
		next.Wide = 0
	}
	ops = append(ops, next.encode(0, j.tasks(0, min(next.Width, j.Spec.TaskCount), nil)))
	end := min((chunk+1)*tuning.ChunkTasks, j.Spec.TaskCount)
	for lo := max(next.Width, chunk*tuning.ChunkTasks); lo < end; lo += next.Width {
		if tasks := j.tasks(lo, min(lo+next.Width, end), nil); len(tasks) > 0 {
			ops = append(ops, next.encode(lo/next.Width, tasks))
		}
	}
	return guards, ops, true
}
