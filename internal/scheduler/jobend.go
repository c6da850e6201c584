package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// finishJobs ends jobs whose tasks are all done, or that are cancelled and have left every machine, where no change of
// a single record could end them. Only the leader does so; it also deletes the chunks that long jobs have left.
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
		if transaction := c.finishTransaction(key, job); len(transaction.Ops) > 0 {
			change := &recordChange{kind: changeOfJobEnd, subject: id, keys: []string{key}, transaction: transaction}
			c.outgoing = append(c.outgoing, change)
		}
	}
}

// finishTransaction is what ends a job or deletes what it has left; it has no ops if there is nothing to do.
func (c *cycle) finishTransaction(key string, job *clusterstate.Job) kvstore.Transaction {
	condition := wire.Condition{Key: key, ModRevision: job.ModRevision}
	var ops []wire.Op
	switch {
	case !job.HasRecord:
		condition.ModRevision = 0
		ops = c.deleteFurtherOps(job, 0)
	case job.Complete():
		ops = c.finalOps(job, wire.JobDone, job.DoneCount)
	// No task can be bound after the cancellation, and the cluster state holds all before it.
	case job.Cancelled() && job.FullyReleased() && c.membership.HasReached(job.ModRevision):
		ops = c.finalOps(job, job.CancelledStatus(), job.DoneCount)
	}
	return kvstore.Transaction{Conditions: []wire.Condition{condition}, Ops: ops}
}

// finalOps returns the ops that turn a job's records into its final one. Of a job taken over from another cell they
// write its outcome instead: its home cell alone answers its user, and has the outcome sent until it has it.
func (c *cycle) finalOps(job *clusterstate.Job, status wire.JobState, done int) []wire.Op {
	var ops []wire.Op
	if guest := job.OffloadedFrom; guest != nil {
		outcome := record.GuestOutcome{JobID: job.Spec.ID, Status: status, DoneCount: done}
		ops = []wire.Op{
			kvstore.PutOp(record.GuestOutcomeKey(guest.Cell, guest.Number), outcome),
			kvstore.DeleteOp(record.JobKey(job.Spec.ID)),
		}
	} else {
		ops = job.FinalizeOps(status, done, c.now.UnixMilli())
	}
	return append(ops, c.deleteFurtherOps(job, len(ops))...)
}

// deleteFurtherOps returns the ops that delete as many of a job's further chunks as a transaction with so many other
// ops can take; what stays is deleted later.
func (c *cycle) deleteFurtherOps(job *clusterstate.Job, otherOps int) []wire.Op {
	return job.DeleteFurtherChunks(c.committer.MaxTransactionOps() - otherOps)
}
