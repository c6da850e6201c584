package offload

import (
	"context"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/federation"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// applyStatus applies another cell's status report of one transfer to the record of the job.
func (o *Offloader) applyStatus(ctx context.Context, cell string, status Status) error {
	o.clusterState.RLock()
	change, isLeader := o.newChange(cell)
	stored := o.cellRecord(cell)
	job := o.offloadedJobs(cell)[status.Number]
	if job == nil {
		o.clusterState.RUnlock()
		o.acknowledgeEnd(cell, stored, status)
		return nil
	}
	jobID := job.Spec.ID
	after := homeTransfer(job).ApplyStatus(status.transferStatus())
	switch after.State {
	case federation.HomeOwned:
		change.addReturn(job)
	case federation.HomeEnded:
		o.addFinal(&change, job, status)
	}
	o.clusterState.RUnlock()
	if len(change.ops) == 0 || !isLeader {
		return nil
	}
	if err := o.commit(ctx, change); err != nil {
		return err
	}
	if after.State == federation.HomeOwned {
		o.logger.Info("offloaded job returned", "job_id", jobID, "cell", cell, "transfer", status.Number)
	} else {
		o.logger.Info("offloaded job ended", "job_id", jobID, "cell", cell, "transfer", status.Number,
			"state", status.FinalState)
	}
	return nil
}

// acknowledgeEnd schedules the acknowledgement of the result of a transfer in the next messages. Callers have checked
// that no job is offloaded under its number, so the job has ended or is owned again. That is not certain before this
// cell has received the other cell's inventory, and until then nothing is acknowledged.
func (o *Offloader) acknowledgeEnd(cell string, stored record.Cell, status Status) {
	if status.hostStatus() != federation.HostEnded || !o.inventoryReceived(stored) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[cell]
	if !slices.Contains(peer.endedTransfers, status.Number) &&
		len(peer.endedTransfers) < tuning.CellTransfersPerMessage {
		peer.endedTransfers = append(peer.endedTransfers, status.Number)
	}
}

// addFinal adds the end of a job as its host reports it. Callers hold the lock of the cluster state.
func (o *Offloader) addFinal(change *recordChange, job *clusterstate.Job, status Status) {
	finalState := status.FinalState
	if finalState == "" {
		finalState = job.CancelledStatus() // the host refused or returned it after its user had cancelled it
	}
	change.conditions = append(change.conditions, jobCondition(job))
	change.ops = job.FinalizeOps(finalState, status.DoneCount, time.Now().UnixMilli())
	limit := o.committer.MaxTransactionOps() - len(change.ops)
	change.ops = append(change.ops, job.DeleteFurtherChunkOps(limit)...)
}
