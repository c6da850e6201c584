package offload

import (
	"context"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// heldJobAction is what becomes of the record of a job that another cell's inventory names.
type heldJobAction int

const (
	keepRecord  heldJobAction = iota // it says already that the job is offloaded there
	awaitTasks                       // tasks are bound here, or it is offloaded to yet another cell: later
	writeRecord                      // it is written
)

// applyInventory records as offloaded what another cell holds of this cell's jobs. complete tells whether all of
// it is durable.
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
		case awaitTasks:
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

// planHeldJob decides what becomes of the record of a job that another cell holds.
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
	away := job.OffloadedTo
	switch {
	case away != nil && away.Number == held.Number && away.Cell == cell:
		return recordChange{}, keepRecord, nil
	case job.BoundCount > 0, away != nil && away.Cell != cell:
		// Its tasks end first: their machines are gone, as this cell's epoch says.
		return recordChange{}, awaitTasks, nil
	}
	change.addJobRewrite(job, func(stored *record.Job) { stored.OffloadedTo = transfer })
	return change, writeRecord, nil
}

// addLostJob adds the record of a job that was accepted here in writes that are lost. Callers hold the lock of
// the cluster state.
func (o *Offloader) addLostJob(change *recordChange, held Request, transfer *record.Transfer) {
	lost := record.Job{Spec: held.Spec, SubmittedAtMs: held.SubmittedAtMs, OffloadedTo: transfer}
	if err := o.chooseLayout(&lost); err != nil {
		o.logger.Error("inventory job exceeds record size", "job_id", held.Spec.ID, "err", err)
	}
	jobKey := record.JobKey(held.Spec.ID)
	change.conditions = append(change.conditions,
		wire.Condition{Key: jobKey}, wire.Condition{Key: record.FinalKey(held.Spec.ID)})
	change.ops = append(change.ops, kvstore.PutOp(jobKey, lost))
}
