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

// buildChanges turns the cycle's edits into changes: one for each chunk, and one for all chunks of a gang, whose tasks
// are bound together. A gang too long for a transaction is bound chunk by chunk, and withdrawn if it doesn't become
// whole.
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

// maxChunksPerTransaction is how many chunks of a job one transaction may write beside the job's own record.
func (c *cycle) maxChunksPerTransaction(job *clusterstate.Job) int {
	if job.ChunkWidth == 0 {
		return min(tuning.GangRecordsPerTxn, c.committer.MaxTransactionOps()-1)
	}
	return min(tuning.TxnMaxBytes/max(c.committer.MaxRecordBytes(), 1), c.committer.MaxTransactionOps()-1)
}

// taskChange is the change of some chunks of a job while it is put together.
type taskChange struct {
	*recordChange
	job            *clusterstate.Job
	modRevisions   map[string]uint64 // that the change rests on, by key
	involvedShards map[int]bool      // whose ownership the change rests on
	doneCount      int               // tasks of the job that are done once the change is applied
	boundCount     int               // tasks of the job that are bound then
	writesOwn      bool              // the change writes the job's own record
}

// changeTasks adds the change that makes some edits of a job's chunks. It ends the job where that is its last change.
func (c *cycle) changeTasks(job *clusterstate.Job, edits []*chunkEdit) {
	failsJob := slices.ContainsFunc(edits, func(edit *chunkEdit) bool { return edit.failsJob })
	if failsJob {
		job = c.markedFailed(job)
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

// markedFailed returns a copy of a job that is marked as failed. It is marked as cancelled too, so that all that holds
// for such jobs holds: nothing starts any more, what runs is stopped, its dependents are cancelled.
func (c *cycle) markedFailed(job *clusterstate.Job) *clusterstate.Job {
	failed := *job
	failed.MarkCancelled(c.now.UnixMilli(), true)
	failed.Failed = true
	return &failed
}

// include adds an edit of a chunk.
func (t *taskChange) include(edit *chunkEdit) {
	for taskIndex, task := range edit.tasks {
		t.count(t.job.Task(taskIndex), -1)
		t.count(task, 1)
	}
	maps.Copy(t.involvedShards, edit.shards)
	for _, condition := range t.job.ChunkConditions(edit.chunk) {
		t.modRevisions[condition.Key] = condition.ModRevision
	}
	t.bindings = append(t.bindings, edit.bindings...)
	t.write(t.job.EncodeChunk(edit.chunk, edit.tasks))
	t.writesOwn = t.writesOwn || edit.chunk == 0
}

// count adds a task to the job's counts, or takes it off them.
func (t *taskChange) count(task record.Task, sign int) {
	switch task.State {
	case record.TaskBound:
		t.boundCount += sign
	case record.TaskDone:
		t.doneCount += sign
	}
}

// write adds the writing of a record.
func (t *taskChange) write(op wire.Op) {
	t.transaction.Ops = append(t.transaction.Ops, op)
	t.keys = append(t.keys, op.PutKey)
}

// endOrMarkJob has a change end its job if all of the job is in one record and nothing is left to do. Else it writes
// the job's own record where the change rests on what is there: the mark that the job has failed stands in it, and
// bindings in different chunks must not choose different zones at once.
func (c *cycle) endOrMarkJob(change *taskChange, failsJob bool) {
	job := change.job
	inOneRecord := len(job.FurtherChunkKeys()) == 0 && job.ChunkCount() == 1
	choosesZone := !inOneRecord && job.Spec.SameZone && len(change.bindings) > 0
	switch {
	case inOneRecord && change.doneCount == job.Spec.TaskCount:
		change.transaction.Ops = c.finalOps(job, wire.JobDone, change.doneCount)
	case inOneRecord && job.Stopping() && change.boundCount == 0:
		change.transaction.Ops = c.finalOps(job, job.CancelledStatus(), change.doneCount)
	case !change.writesOwn && (failsJob || choosesZone):
		change.write(job.EncodeChunk(0, nil))
	}
}

// addConditions guards a change by the records that it rests on and by the ownership of its shards. A gang's machine
// may be in another node's shard: there the change holds while that node owns it.
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

// ownershipCondition holds while a shard of this node has the owner and the fencing token that it has in this cycle.
func (c *cycle) ownershipCondition(shard int) wire.Condition {
	return wire.Condition{Key: record.ShardKey(shard), ModRevision: c.shards.revisions[shard]}
}

// transactionPriority is the place of a job's changes in the committer's queue.
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
