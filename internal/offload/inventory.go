package offload

import (
	"context"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// heldJobAction is the action on this cell's record of a job that another cell's inventory lists as held.
type heldJobAction int

const (
	keepRecord  heldJobAction = iota // the record already says that the job is offloaded to the other cell
	retryLater                       // tasks are bound here, or the job is offloaded to a third cell
	writeRecord                      // write that the job is offloaded to the other cell
)

// applyInventory records the jobs that another cell's inventory lists as held as offloaded to that cell. complete
// reports whether all of them are durably recorded.
func (o *Offloader) applyInventory(
	ctx context.Context, cell string, inventory *Inventory,
) (complete bool, err error) {
	complete = true
	for _, held := range inventory.Held {
		change, action, err := o.planHeldJob(cell, held)
		if err != nil {
			return false, err
		}
		switch action {
		case retryLater:
			complete = false
		case writeRecord:
			o.logger.Info("offloaded job restored from inventory",
				"job_id", held.Spec.ID, "cell", cell, "transfer", held.Number)
			if err := o.commit(ctx, change); err != nil {
				return false, err
			}
		}
	}
	return complete, nil
}

// planHeldJob returns the action for a job that another cell holds, and the change if the record is to be written.
func (o *Offloader) planHeldJob(cell string, held Request) (recordChange, heldJobAction, error) {
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	change, isLeader := o.newChange(cell)
	if !isLeader {
		return recordChange{}, keepRecord, ErrNotLeader
	}
	transfer := &record.Transfer{Cell: cell, Number: held.Number, Epoch: o.operator.CellEpoch}
	job := o.clusterState.Jobs[held.Spec.ID]
	if job == nil || !job.HasRecord {
		o.addLostJob(&change, held, transfer)
		return change, writeRecord, nil
	}
	offloadedTo := job.OffloadedTo
	switch {
	case offloadedTo != nil && offloadedTo.Number == held.Number && offloadedTo.Cell == cell:
		return recordChange{}, keepRecord, nil
	case job.BoundCount > 0, offloadedTo != nil && offloadedTo.Cell != cell:
		// Tasks bound here must be released first. Their machines were deleted before this cell got its new epoch.
		return recordChange{}, retryLater, nil
	}
	change.addJobRewrite(job, func(stored *record.Job) { stored.OffloadedTo = transfer })
	return change, writeRecord, nil
}

// addLostJob adds the creation of the record of a job that this cell accepted in a write that it has lost since.
// Callers hold the lock of the cluster state.
func (o *Offloader) addLostJob(change *recordChange, held Request, transfer *record.Transfer) {
	lost := record.Job{Spec: held.Spec, SubmittedAtMs: held.SubmittedAtMs, OffloadedTo: transfer}
	if err := o.chooseLayout(&lost); err != nil {
		o.logger.Error("job from inventory exceeds record size limit", "job_id", held.Spec.ID, "err", err)
	}
	jobKey := record.JobKey(held.Spec.ID)
	change.conditions = append(change.conditions,
		wire.Condition{Key: jobKey}, wire.Condition{Key: record.FinalKey(held.Spec.ID)})
	change.ops = append(change.ops, kvstore.PutOp(jobKey, lost))
}
