package offload

import (
	"context"
	"time"

	"sableusher/internal/admission"
	"sableusher/internal/clusterstate"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// requestBatch is the change of records that the requests of one message lead to.
type requestBatch struct {
	*Offloader
	message   *Message
	view      hostView // its transfers follow the requests that were applied
	change    recordChange
	stored    record.Cell // of the sender, with the highest number received
	maxOps    int         // operations besides that on the cell's record
	freeTasks int         // tasks that may still be accepted
	accepted  []*Request
	released  []*Request
}

// applyRequests applies the requests of another cell: it accepts offers in their order, records cancellations
// and recalls, releases jobs that are to return, and deletes the outcomes that the other cell has.
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

// planRequests puts the change of a message together and tells whether there is any.
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

func (b *requestBatch) isFull() bool { return len(b.change.ops) >= b.maxOps }

// apply applies one request.
func (b *requestBatch) apply(request *Request) {
	job := b.view.jobs[request.Number]
	fits := job == nil && b.freeTasks >= request.Spec.TaskCount && b.mayAccept(&request.Spec)
	before := b.view.transfers.Status(request.Number)
	transfers, after := b.view.transfers.ApplyRequest(request.transferRequest(), b.operator.CellEpoch, fits)
	b.view.transfers = transfers
	b.stored.LastReceivedTransfer = max(b.stored.LastReceivedTransfer, transfers.HighestNumber)
	switch {
	case job == nil:
		if before.Status == federation.HostAbsent && after.Status == federation.HostHolds {
			b.accept(request)
		}
	case b.mayRelease(request, job):
		b.release(request, job)
	case request.Cancelled && !job.Cancelled():
		b.change.addJobRewrite(job, cancelNow)
	case request.Recalled && !job.OffloadedFrom.Recalled:
		b.change.addJobRewrite(job, recall)
	}
}

// accept adds the record of a job that was offered. A job that can't be recorded is refused: the number received
// fences it.
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

// mayRelease tells whether a job is to return to its home now: it is recalled or this cell drains, and no task
// of it has started.
func (b *requestBatch) mayRelease(request *Request, job *clusterstate.Job) bool {
	return (request.Recalled || b.operator.CellDraining) && !job.Cancelled() && job.BoundCount == 0 &&
		job.DoneCount == 0
}

// release adds that the records of a job are deleted, which returns it to its home.
func (b *requestBatch) release(request *Request, job *clusterstate.Job) {
	if _, ok := b.view.transfers.Release(request.Number, job.BoundCount); !ok {
		return
	}
	jobKey := record.JobKey(request.Spec.ID)
	b.change.add(wire.Condition{Key: jobKey, ModRevision: job.ModRevision}, kvstore.DeleteOp(jobKey))
	b.change.ops = append(b.change.ops, job.DeleteFurtherChunks(b.maxOps-len(b.change.ops))...)
	b.released = append(b.released, request)
}

// cancelNow records that home's user has cancelled a job.
func cancelNow(stored *record.Job) {
	stored.MarkCancelled(time.Now().UnixMilli(), true)
}

// recall records that home wants a job back. The transfer is copied, as the cluster state keeps the former one.
func recall(stored *record.Job) {
	recalled := *stored.OffloadedFrom
	recalled.Recalled = true
	stored.OffloadedFrom = &recalled
}

// deleteOutcomes adds that the outcomes that the other cell has are deleted.
func (b *requestBatch) deleteOutcomes() {
	for _, number := range b.message.EndedTransfers {
		outcome, ok := b.view.outcomes[number]
		if !ok || b.isFull() {
			continue
		}
		key := record.GuestOutcomeKey(b.message.Cell, number)
		b.change.add(wire.Condition{Key: key, ModRevision: outcome.ModRevision}, kvstore.DeleteOp(key))
	}
}

// mayAccept tells whether a job of another cell may run here at all. Jobs of teams with a limit may not, as the
// limit is kept in their home. Callers hold the lock of the cluster state.
func (o *Offloader) mayAccept(spec *wire.JobSpec) bool {
	team := o.teamsByName[spec.Team]
	if team.GPUsMax != 0 || team.CPUsMax != 0 || spec.Kind == wire.KindService || len(spec.Dependencies) > 0 {
		return false
	}
	return admission.Validate(spec, o.teamsByName, o.clusterState.Catalog.Types) == nil &&
		o.clusterState.Jobs[spec.ID] == nil
}

// remainingTasks is how many more tasks of other cells may be accepted. Callers hold the lock of the cluster
// state.
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
