package offload

import (
	"context"
	"fmt"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
)

// memberOf converts a cell's record to the state machine of package federation.
func memberOf(cell string, stored record.Cell) federation.Member {
	return federation.Member{
		Name:              cell,
		Epoch:             stored.PeerEpoch,
		Standing:          federation.Standing(stored.Standing),
		Since:             time.UnixMilli(stored.StandingSinceMs),
		Returns:           stored.ReturnCount,
		InventoryReceived: stored.InventoryReceived,
		FencedEpoch:       stored.FencedEpoch,
	}
}

// standingEvidence is the information about a cell from one exchange. It is the zero value for a failed exchange.
type standingEvidence struct {
	peerEpoch uint64     // the highest epoch received from the cell
	inventory *Inventory // its inventory if one was received and all of it is durable; else nil
}

// updateStanding updates the record of another cell by the current time and the evidence of an exchange. It returns
// ErrNotLeader if this node is not the leader.
func (o *Offloader) updateStanding(ctx context.Context, cell string, evidence standingEvidence) error {
	observed := o.observe(cell)
	observed.InventoryReceived = evidence.inventory != nil
	o.clusterState.RLock()
	stored := o.cellRecord(cell)
	change, isLeader := o.newChange(cell)
	o.clusterState.RUnlock()
	if !isLeader {
		return ErrNotLeader
	}
	next := o.underOwnEpoch(stored)
	member := memberOf(cell, next).Step(time.Now(), observed)
	previous := federation.Standing(stored.Standing)
	if member.Standing != previous {
		o.logger.Info("cell standing changed", "cell", cell, "standing", member.Standing,
			"previous_standing", previous, "epoch", member.Epoch, "reason", member.WaitReason(time.Now()))
		next.StandingSinceMs = member.Since.UnixMilli()
		setStandingGauge(cell, member.Standing)
	}
	next.Standing, next.ReturnCount = int(member.Standing), member.Returns
	next.InventoryReceived = member.InventoryReceived
	next.PeerEpoch = max(next.PeerEpoch, member.Epoch, evidence.peerEpoch)
	if evidence.inventory != nil {
		next.LastSentTransfer = max(next.LastSentTransfer, evidence.inventory.HighestNumber)
	}
	if next == stored {
		return nil
	}
	change.ops = append(change.ops, kvstore.PutOp(record.CellKey(cell), next))
	return o.commit(ctx, change)
}

// observe returns this process's observation of a cell that the operators' settings name.
func (o *Offloader) observe(cell string) federation.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[cell]
	return federation.Observation{
		Configured:  true,
		LastContact: peer.lastContact,
		Epoch:       peer.epoch,
		Draining:    peer.draining,
	}
}

// returnedJob identifies a job of this cell that is owned by this cell again.
type returnedJob struct {
	id     string
	number uint64 // number of the transfer that ended
}

// forgetCell applies the operators' statement that a cell is permanently gone. The first call fences the cell's epoch
// in its record. Later calls return the jobs that were offloaded to the cell, as many as fit in one transaction.
func (o *Offloader) forgetCell(ctx context.Context, forgotten config.ForgottenCell) error {
	o.clusterState.RLock()
	stored := o.cellRecord(forgotten.Name)
	change, isLeader := o.newChange(forgotten.Name)
	var returned []returnedJob
	if stored.FencedEpoch < forgotten.Epoch {
		fenced, err := fenceCell(stored, forgotten)
		if err != nil {
			o.clusterState.RUnlock()
			return err
		}
		change.ops = append(change.ops, kvstore.PutOp(record.CellKey(forgotten.Name), fenced))
	} else if stored.PeerEpoch <= stored.FencedEpoch {
		returned = o.addReturns(&change, forgotten.Name)
	}
	o.clusterState.RUnlock()
	if len(change.ops) == 0 || !isLeader {
		return nil
	}
	if err := o.commit(ctx, change); err != nil {
		return err
	}
	o.logger.Info("cell forgotten", "cell", forgotten.Name, "epoch", forgotten.Epoch, "count", len(returned))
	for _, job := range returned {
		o.logger.Info("offloaded job returned", "job_id", job.id, "cell", forgotten.Name, "transfer", job.number)
	}
	return nil
}

// fenceCell returns the record of a cell after it is forgotten, with its epoch fenced.
func fenceCell(stored record.Cell, forgotten config.ForgottenCell) (record.Cell, error) {
	member, err := memberOf(forgotten.Name, stored).Forget(forgotten.Epoch, time.Now())
	if err != nil {
		return stored, fmt.Errorf("fence epoch: %w", err)
	}
	stored.FencedEpoch, stored.Standing = member.FencedEpoch, int(member.Standing)
	stored.StandingSinceMs, stored.InventoryReceived = member.Since.UnixMilli(), member.InventoryReceived
	return stored, nil
}

// addReturns adds writes that return jobs offloaded to a cell, as many as fit in a transaction. It returns these jobs.
// Callers hold the lock of the cluster state.
func (o *Offloader) addReturns(change *recordChange, cell string) []returnedJob {
	var returned []returnedJob
	for number, job := range o.offloadedJobs(cell) {
		if len(change.ops) < o.committer.MaxTransactionOps() {
			change.addReturn(job)
			returned = append(returned, returnedJob{id: job.Spec.ID, number: number})
		}
	}
	return returned
}
