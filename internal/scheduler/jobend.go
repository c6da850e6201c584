package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// finishJobs ends the jobs that have not been ended together with their last task, as when their tasks are recorded in
// several chunks: those whose tasks are all done, and those that are cancelled and have no bound task left. It also
// deletes the remaining chunks of ended jobs. Only the leader does this.
func (c *cycle) finishJobs() {
	if _, isLeader := c.membership.Ownership(record.LeaderShard); !isLeader {
		return
	}
	for id, job := range c.cluster.Jobs {
		key := record.JobKey(id)
		if c.changes.inFlight(key) {
			continue
		}
		if isPartlyDone(job) {
			c.completeGang(job)
			continue
		}
		if transaction := c.finishTransaction(job, key); len(transaction.Ops) > 0 {
			c.outgoing = append(c.outgoing, &recordChange{
				kind: changeOfJobEnd, subject: id, keys: []string{key}, transaction: transaction,
			})
		}
	}
}

// finishTransaction returns the transaction that ends a job, or that deletes remaining chunks of a job that has
// ended. key is the key of the job's record. The transaction has no operations if there is nothing to do.
func (c *cycle) finishTransaction(job *clusterstate.Job, key string) kvstore.Transaction {
	if !job.HasRecord {
		return kvstore.Transaction{Conditions: []wire.Condition{{Key: key}}, Ops: c.deleteFurtherOps(job, 0)}
	}
	conditions := []wire.Condition{{Key: key, ModRevision: job.ModRevision}}
	switch {
	case job.Complete():
		return kvstore.Transaction{Conditions: conditions, Ops: c.finalOps(job, wire.JobDone, job.DoneCount)}
	case !job.Stopping() || !job.FullyReleased() || !c.cluster.HasAppliedRevision(job.ModRevision):
		return kvstore.Transaction{}
	case !job.Cancelled():
		support, ownersUnchanged := c.cluster.CancelRequestSupport()
		if support != clusterstate.CancelRequestsHonored {
			return kvstore.Transaction{} // the owner of a shard might still bind a task
		}
		conditions = append(conditions, ownersUnchanged...)
	}
	// No task can be bound after the cancellation, and the cluster state includes all bindings before it.
	return kvstore.Transaction{Conditions: conditions, Ops: c.finalOps(job, job.CancelledStatus(), job.DoneCount)}
}

// finalOps returns the operations that replace a job's records by its final record. For a job accepted from another
// cell, its home cell, they replace the records by the job's outcome: only the home cell answers the user, and the
// outcome is kept until that cell has acknowledged it.
func (c *cycle) finalOps(job *clusterstate.Job, status wire.JobState, done int) []wire.Op {
	var ops []wire.Op
	if transfer := job.OffloadedFrom; transfer != nil {
		outcome := record.TransferOutcome{JobID: job.Spec.ID, Status: status, DoneCount: done}
		ops = []wire.Op{
			kvstore.PutOp(record.TransferOutcomeKey(transfer.Cell, transfer.Number), outcome),
			kvstore.DeleteOp(record.JobKey(job.Spec.ID)),
		}
	} else {
		ops = job.FinalizeOps(status, done, c.now.UnixMilli())
	}
	return append(ops, c.deleteFurtherOps(job, len(ops))...)
}

// deleteFurtherOps returns operations that delete a job's further chunks, as many as fit into a transaction with
// otherOps other operations. The remaining chunks are deleted later.
func (c *cycle) deleteFurtherOps(job *clusterstate.Job, otherOps int) []wire.Op {
	return job.DeleteFurtherChunkOps(c.committer.MaxTransactionOps() - otherOps)
}
