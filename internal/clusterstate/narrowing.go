package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// TransactionLimits are the limits that the key-value store sets to one transaction.
type TransactionLimits struct {
	Ops, Conditions int
	Bytes           int // of all written values, encoded in CBOR
}

// allow reports whether a transaction stays within the limits.
func (l TransactionLimits) allow(step Migration) bool {
	bytes := 0
	for _, op := range step.Ops {
		bytes += len(op.Value)
	}
	return len(step.Ops) <= l.Ops && len(step.Conditions) <= l.Conditions && bytes <= l.Bytes
}

// NarrowChunks returns the migration of the job to grouped chunks of fewer tasks, for a job one of whose chunks has no
// space for a further binding. It chooses the widest chunks in which all of the job's tasks can be bound, or else the
// narrowest chunks that one transaction can write. It returns false if the job has no grouped chunks that one
// transaction can replace.
//
// The chunks of a spread job have limits on zones that the bound tasks of narrower chunks may exceed. A binding is then
// conditional on all records of the job, so their number is limited too. A gang is bound in changes of several chunks,
// which can't all have these conditions; its chunks are narrowed only while no task is bound.
//
// The chunks keep their keys, under which they hold other tasks afterwards. All records of the job are therefore
// conditions, including those that do not exist, and all nodes must be able to tell the chunks of the two layouts apart
// (State.NarrowingConditions). Every write of the job's tasks is conditional on the job's own record, so that a writer
// that still uses the old layout fails.
func (j *Job) NarrowChunks(sizes record.SizeLimits, limits TransactionLimits) (narrowest Migration, ok bool) {
	isSpreadGang := j.Spec.Spread && j.Spec.Kind == wire.KindGang
	if j.FirstFixedChunk > 0 || len(j.orphanChunks) > 0 || isSpreadGang && j.BoundCount > 0 {
		return Migration{}, false
	}
	for width := j.ChunkWidth / 2; width >= 1; width /= 2 {
		next := *j
		next.ChunkWidth = width
		step := j.replaceChunks(&next)
		if !limits.allow(step) || j.Spec.Spread && next.ChunkCount() > limits.Conditions {
			break
		}
		narrowest, ok = step, true
		if j.allTasksFit(&next, sizes) {
			break
		}
	}
	return narrowest, ok
}

// replaceChunks returns the migration from the job's grouped chunks to those of next.
func (j *Job) replaceChunks(next *Job) Migration {
	step := Migration{Conditions: append(
		[]wire.Condition{{Key: record.JobKey(j.Spec.ID), ModRevision: j.ModRevision}}, j.FurtherChunkConditions()...,
	)}
	for chunk := range next.ChunkCount() {
		first, end := next.TaskRange(chunk)
		tasks := j.startedTasks(first, end, nil)
		switch {
		case chunk == 0 || len(tasks) > 0:
			step.Ops = append(step.Ops, next.EncodeTasks(chunk, tasks))
		case j.ChunkModRevision(chunk) != 0:
			step.Ops = append(step.Ops, wire.Op{DeleteKey: next.ChunkKey(chunk)})
		}
	}
	return step
}

// allTasksFit reports whether the chunks of next stay within the limits if all pending tasks of the job are bound, each
// to a different machine.
func (j *Job) allTasksFit(next *Job, sizes record.SizeLimits) bool {
	for chunk := range next.ChunkCount() {
		first, end := next.TaskRange(chunk)
		pending := 0
		for index := first; index < end; index++ {
			if j.Task(index).State == record.TaskPending {
				pending++
			}
		}
		size := next.Job.MaxChunkSize(chunk, j.EncodedBaseSize, j.startedTasks(first, end, nil))
		if size+sizes.GroupedTasksSize(&j.Spec, pending) > sizes.MaxBytes {
			return false
		}
	}
	return true
}

// NarrowingConditions returns the conditions under which the chunks of a job may be narrowed, and whether that is
// possible now: every node that has a session can tell the chunks of two layouts apart. The conditions require that no
// session of the named nodes, which are all nodes of the deployment, begins or ends. The caller must hold the lock.
func (s *State) NarrowingConditions(nodeNames []string) (conditions []wire.Condition, possible bool) {
	for _, name := range nodeNames {
		node, live := s.Nodes[name]
		if live && !node.ReadsNarrowedChunks {
			return nil, false
		}
		conditions = append(conditions, wire.Condition{Key: record.NodeKey(name), ModRevision: node.ModRevision})
	}
	return conditions, true
}
