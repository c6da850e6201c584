package offload

import (
	"context"
	"time"

	"sableusher/internal/admission"
	"sableusher/internal/clusterstate"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// requestBatch is the change of records that results from the requests of one message.
type requestBatch struct {
	*Offloader
	message   *Message
	view      hostView // its transfers reflect the requests applied so far
	change    recordChange
	stored    record.Cell // the sender's record, updated by the highest transfer number received
	maxOps    int         // limit on operations other than the one on the sender's record
	freeTasks int         // number of tasks that may still be accepted
	accepted  []*Request
	released  []*Request
}

// applyRequests applies the requests of another cell's message: it accepts offers in their order, records
// cancellations and recalls, and releases jobs that are to be returned. It also deletes the outcomes that the other
// cell has acknowledged.
func (o *Offloader) applyRequests(ctx context.Context, message *Message) error {
	batch, changed := o.planRequests(message)
	if !changed {
		return nil
	}
	if err := o.commit(ctx, batch.change); err != nil {
		return err
	}
	for _, request := range batch.accepted {
		o.logger.Info("offloaded job accepted",
			"job_id", request.Spec.ID, "cell", message.Cell, "transfer", request.Number)
	}
	for _, request := range batch.released {
		o.logger.Info("offloaded job released",
			"job_id", request.Spec.ID, "cell", message.Cell, "transfer", request.Number)
	}
	return nil
}

// planRequests returns the change that results from a message. changed reports whether there is anything to write.
func (o *Offloader) planRequests(message *Message) (batch *requestBatch, changed bool) {
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	before := o.cellRecord(message.Cell)
	batch = &requestBatch{
		Offloader: o,
		message:   message,
		view:      o.hostViewOf(message.Cell),
		stored:    before,
		maxOps:    o.committer.MaxTransactionOps() - 1,
		freeTasks: o.remainingTasks(),
	}
	batch.change, _ = o.newChange(message.Cell)
	for i := range message.Requests {
		if batch.isFull() {
			break
		}
		batch.apply(&message.Requests[i])
	}
	batch.deleteOutcomes()
	if batch.stored != before {
		batch.change.ops = append(batch.change.ops, kvstore.PutOp(record.CellKey(message.Cell), batch.stored))
	}
	return batch, len(batch.change.ops) > 0
}

// isFull reports whether the transaction has reached its limit of operations.
func (b *requestBatch) isFull() bool { return len(b.change.ops) >= b.maxOps }

// apply applies one request to the view of the transfers and adds the resulting operations to the change.
func (b *requestBatch) apply(request *Request) {
	job := b.view.jobs[request.Number]
	fits := job == nil && b.freeTasks >= request.Spec.TaskCount && b.mayAccept(&request.Spec)
	before := b.view.transfers.Status(request.Number)
	transfers, after := b.view.transfers.ApplyRequest(request.transferRequest(), b.operator.CellEpoch, fits)
	b.view.transfers = transfers
	b.stored.LastReceivedTransfer = max(b.stored.LastReceivedTransfer, transfers.HighestNumber)
	switch {
	case job == nil:
		if before.Status == federation.HostAbsent && after.Status == federation.HostHeld {
			b.accept(request)
		}
	case b.mayRelease(request, job):
		b.release(request, job)
	case request.Cancelled && !job.Cancelled():
		b.change.addJobRewrite(job, markCancelled)
	case request.Recalled && !job.OffloadedFrom.Recalled:
		b.change.addJobRewrite(job, markRecalled)
	}
}

// accept adds the creation of the record of an offered job. A job that can't be recorded is refused; the highest
// transfer number received, which is recorded, keeps a delayed copy of the request from being accepted.
func (b *requestBatch) accept(request *Request) {
	accepted := record.Job{
		Spec:          request.Spec,
		SubmittedAtMs: request.SubmittedAtMs,
		OffloadedFrom: &record.Transfer{
			Cell: b.message.Cell, Number: request.Number, Epoch: b.operator.CellEpoch,
		},
	}
	if b.chooseLayout(&accepted) != nil {
		b.view.transfers, _ = b.view.transfers.Release(request.Number, 0)
		return
	}
	b.freeTasks -= request.Spec.TaskCount
	jobKey := record.JobKey(request.Spec.ID)
	b.change.add(wire.Condition{Key: jobKey}, kvstore.PutOp(jobKey, accepted))
	b.accepted = append(b.accepted, request)
}

// mayRelease reports whether a job is to be returned to its home: home recalls it or this cell is draining, and the
// job is not cancelled and has no bound or done tasks.
func (b *requestBatch) mayRelease(request *Request, job *clusterstate.Job) bool {
	return (request.Recalled || b.operator.CellDraining) && !job.Cancelled() && job.BoundCount == 0 &&
		job.DoneCount == 0
}

// release adds the deletion of a job's records, which returns the job to its home. The conditions include all records
// of the job, as a task may have been bound in a further one since. A job with too many records for that is kept.
func (b *requestBatch) release(request *Request, job *clusterstate.Job) {
	unchanged := job.FurtherChunkConditions()
	maxConditions := b.committer.MaxTransactionOps() * tuning.TxnConditionsPerOp
	if len(b.change.conditions)+len(unchanged) >= maxConditions {
		return
	}
	if _, ok := b.view.transfers.Release(request.Number, job.BoundCount); !ok {
		return
	}
	b.change.conditions = append(b.change.conditions, unchanged...)
	jobKey := record.JobKey(request.Spec.ID)
	b.change.add(wire.Condition{Key: jobKey, ModRevision: job.ModRevision}, kvstore.DeleteOp(jobKey))
	b.change.ops = append(b.change.ops, job.DeleteFurtherChunkOps(b.maxOps-len(b.change.ops))...)
	b.released = append(b.released, request)
}

// markCancelled marks a job as cancelled by its user at the current time.
func markCancelled(stored *record.Job) {
	stored.MarkCancelled(time.Now().UnixMilli(), true)
}

// markRecalled marks a job as recalled by its home. It copies the transfer, as the cluster state shares the previous
// one.
func markRecalled(stored *record.Job) {
	recalled := *stored.OffloadedFrom
	recalled.Recalled = true
	stored.OffloadedFrom = &recalled
}

// deleteOutcomes adds the deletion of the outcomes that the other cell has acknowledged.
func (b *requestBatch) deleteOutcomes() {
	for _, number := range b.message.EndedTransfers {
		outcome, ok := b.view.outcomes[number]
		if !ok || b.isFull() {
			continue
		}
		key := record.TransferOutcomeKey(b.message.Cell, number)
		b.change.add(wire.Condition{Key: key, ModRevision: outcome.ModRevision}, kvstore.DeleteOp(key))
	}
}

// mayAccept reports whether a job from another cell may run in this cell, regardless of capacity. Jobs of teams with
// a limit may not, as only their home enforces the limit. Callers hold the lock of the cluster state.
func (o *Offloader) mayAccept(spec *wire.JobSpec) bool {
	team := o.teamsByName[spec.Team]
	if team.GPUsMax != 0 || team.CPUsMax != 0 || spec.Kind == wire.KindService || len(spec.Dependencies) > 0 {
		return false
	}
	return admission.Validate(spec, o.teamsByName, o.clusterState.Catalog.Types) == nil &&
		o.clusterState.Jobs[spec.ID] == nil
}

// remainingTasks returns the number of further tasks from other cells that this cell may accept. Callers hold the
// lock of the cluster state.
func (o *Offloader) remainingTasks() int {
	if o.operator.CellDraining {
		return 0
	}
	held := 0
	for _, job := range o.clusterState.Jobs {
		if job.HasRecord && job.OffloadedFrom != nil {
			held += job.Spec.TaskCount - job.DoneCount
		}
	}
	return max(o.operator.MaxOffloadedTasks-held, 0)
}
