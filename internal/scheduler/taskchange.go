package scheduler

import (
	"maps"
	"slices"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// buildChanges turns the cycle's edits into changes, one for each chunk. The chunks of a gang are changed together,
// because its tasks are bound together. A gang with too many chunks for one transaction is bound chunk by chunk, and
// its bindings are withdrawn if not all of its tasks become bound.
func (c *cycle) buildChanges() {
	editsByJob := map[string][]*chunkEdit{}
	for _, edit := range c.chunkEdits {
		if len(edit.tasks) > 0 {
			id := edit.job.Spec.ID
			editsByJob[id] = append(editsByJob[id], edit)
		}
	}
	for _, edits := range editsByJob {
		job := edits[0].job
		if job.Spec.Kind == wire.KindGang && len(edits) > 1 && len(edits) <= c.maxChunksPerTransaction(job) {
			c.changeTasks(job, edits)
			continue
		}
		for _, edit := range edits {
			c.changeTasks(job, []*chunkEdit{edit})
		}
	}
}

// maxChunksPerTransaction returns how many chunks of a job one transaction may write, not counting the job's own
// record.
func (c *cycle) maxChunksPerTransaction(job *clusterstate.Job) int {
	if job.ChunkWidth == 0 {
		return min(tuning.GangRecordsPerTxn, c.committer.MaxTransactionOps()-1)
	}
	return min(tuning.TxnMaxBytes/max(c.committer.MaxRecordBytes(), 1), c.committer.MaxTransactionOps()-1)
}

// taskChange is a change of chunks of a job while it is being built.
type taskChange struct {
	*recordChange
	job             *clusterstate.Job
	modRevisions    map[string]uint64 // expected modification revisions of records, by key
	involvedShards  map[int]bool      // shards whose ownership is a condition of the change
	doneCount       int               // done tasks of the job after the change
	boundCount      int               // bound tasks of the job after the change
	writesJobRecord bool              // the change writes the job's own record
	excludesOthers  bool              // see chunkEdit
}

// changeTasks adds the change that applies edits of a job's chunks. It ends the job if this is the job's last change.
func (c *cycle) changeTasks(job *clusterstate.Job, edits []*chunkEdit) {
	failsJob := slices.ContainsFunc(edits, func(edit *chunkEdit) bool { return edit.failsJob })
	if failsJob {
		job = c.failedCopy(job)
	}
	change := &taskChange{
		recordChange:   &recordChange{kind: changeOfTasks, subject: job.Spec.ID},
		job:            job,
		modRevisions:   map[string]uint64{},
		involvedShards: map[int]bool{},
		doneCount:      job.DoneCount,
		boundCount:     job.BoundCount,
	}
	for _, edit := range edits {
		change.include(edit)
	}
	c.endOrMarkJob(change, failsJob)
	c.addConditions(change)
	change.transaction.Priority = c.transactionPriority(job)
	c.outgoing = append(c.outgoing, change.recordChange)
}

// failedCopy returns a copy of a job that is marked as failed. The copy is marked as cancelled too, so that the rules
// for cancelled jobs apply: no task starts any more, running tasks are stopped, and the job's dependents are
// cancelled.
func (c *cycle) failedCopy(job *clusterstate.Job) *clusterstate.Job {
	failed := *job
	failed.MarkCancelled(c.now.UnixMilli(), true)
	failed.Failed = true
	return &failed
}

// include adds an edit of a chunk to the change.
func (t *taskChange) include(edit *chunkEdit) {
	for taskIndex, task := range edit.tasks {
		t.count(t.job.Task(taskIndex), -1)
		t.count(task, 1)
	}
	maps.Copy(t.involvedShards, edit.shards)
	for _, condition := range t.job.ChunkConditions(edit.chunk) {
		t.modRevisions[condition.Key] = condition.ModRevision
	}
	if edit.excludesOthers {
		t.excludesOthers = true
		for _, condition := range t.job.FurtherChunkConditions() {
			t.modRevisions[condition.Key] = condition.ModRevision
		}
	}
	t.bindings = append(t.bindings, edit.bindings...)
	t.write(t.job.EncodeChunk(edit.chunk, edit.tasks))
	t.writesJobRecord = t.writesJobRecord || edit.chunk == 0
}

// count adds sign to the job's count of tasks in the state of the given task.
func (t *taskChange) count(task record.Task, sign int) {
	switch task.State {
	case record.TaskBound:
		t.boundCount += sign
	case record.TaskDone:
		t.doneCount += sign
	}
}

// write adds an operation that writes a record.
func (t *taskChange) write(op wire.Op) {
	t.transaction.Ops = append(t.transaction.Ops, op)
	t.keys = append(t.keys, op.PutKey)
}

// endOrMarkJob makes a change end its job if the whole job is in one record and no task is left to run or release.
// Otherwise it adds a write of the job's own record in three cases. If the job fails, that record holds the mark. If
// all tasks must be in one zone, the write keeps concurrent bindings in different chunks from choosing different
// zones. If the change has to exclude others, these fail because of the write.
func (c *cycle) endOrMarkJob(change *taskChange, failsJob bool) {
	job := change.job
	inOneRecord := len(job.FurtherChunkKeys()) == 0 && job.ChunkCount() == 1
	choosesZone := !inOneRecord && job.Spec.SameZone && len(change.bindings) > 0
	switch {
	case inOneRecord && change.doneCount == job.Spec.TaskCount:
		change.transaction.Ops = c.finalOps(job, wire.JobDone, change.doneCount)
	case inOneRecord && job.Stopping() && change.boundCount == 0:
		change.transaction.Ops = c.finalOps(job, job.CancelledStatus(), change.doneCount)
	case !change.writesJobRecord && (failsJob || choosesZone || change.excludesOthers):
		change.write(job.EncodeChunk(0, nil))
	}
}

// addConditions adds the conditions of a change: the records that it is based on are unchanged, and so is the
// ownership of its shards. If the machine of a gang's task is in another node's shard, the condition is that the
// other node still owns the shard.
func (c *cycle) addConditions(change *taskChange) {
	for _, shard := range slices.Sorted(maps.Keys(change.involvedShards)) {
		modRevision, owned := c.shards.revisions[shard]
		if owned {
			change.shards = append(change.shards, shard)
		} else {
			modRevision = c.cluster.Shards[shard].ModRevision
		}
		change.modRevisions[record.ShardKey(shard)] = modRevision
	}
	for _, key := range slices.Sorted(maps.Keys(change.modRevisions)) {
		condition := wire.Condition{Key: key, ModRevision: change.modRevisions[key]}
		change.transaction.Conditions = append(change.transaction.Conditions, condition)
	}
}

// ownershipCondition returns the condition that a shard of this node still has the owner and the fencing token of
// this cycle.
func (c *cycle) ownershipCondition(shard int) wire.Condition {
	return wire.Condition{Key: record.ShardKey(shard), ModRevision: c.shards.revisions[shard]}
}

// transactionPriority returns the priority of a job's changes in the committer's queue.
func (c *cycle) transactionPriority(job *clusterstate.Job) kvstore.Priority {
	switch {
	case job.Spec.Priority == wire.PriorityProduction:
		return kvstore.PriorityUrgent
	case isHighPriority(c.effectiveRank(job)):
		return kvstore.PriorityHigh
	default:
		return kvstore.PriorityNormal
	}
}
