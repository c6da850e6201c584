package offload

import (
	"cmp"
	"context"
	"slices"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// hostView is this cell's records of the jobs that another cell has offloaded to it.
type hostView struct {
	transfers federation.HostTransfers
	jobs      map[uint64]*clusterstate.Job            // jobs that have not ended, by transfer number
	outcomes  map[uint64]clusterstate.TransferOutcome // of jobs that have ended, by transfer number
}

// hostViewOf returns the records of the jobs from a cell. Callers hold the lock of the cluster state.
func (o *Offloader) hostViewOf(cell string) hostView {
	view := hostView{
		transfers: federation.HostTransfers{HighestNumber: o.cellRecord(cell).LastReceivedTransfer},
		jobs:      map[uint64]*clusterstate.Job{},
	}
	for _, job := range o.clusterState.Jobs {
		if job.HasRecord && job.OffloadedFrom != nil && job.OffloadedFrom.Cell == cell {
			view.jobs[job.OffloadedFrom.Number] = job
			view.transfers.Transfers = append(view.transfers.Transfers, hostTransfer(job))
		}
	}
	if known := o.clusterState.Cells[cell]; known != nil {
		view.outcomes = known.TransferOutcomes
		for number := range known.TransferOutcomes {
			ended := federation.HostTransfer{Number: number, Status: federation.HostEnded}
			view.transfers.Transfers = append(view.transfers.Transfers, ended)
		}
	}
	slices.SortFunc(view.transfers.Transfers, func(a, b federation.HostTransfer) int {
		return cmp.Compare(a.Number, b.Number)
	})
	return view
}

// hostTransfer converts a job from another cell to the host's state machine.
func hostTransfer(job *clusterstate.Job) federation.HostTransfer {
	return federation.HostTransfer{
		Number:    job.OffloadedFrom.Number,
		Epoch:     job.OffloadedFrom.Epoch,
		Status:    federation.HostHeld,
		Cancelled: job.Cancelled(),
		Recalled:  job.OffloadedFrom.Recalled,
	}
}

// status returns the status of a transfer by the records.
func (v *hostView) status(number uint64) Status {
	status := Status{Number: number, Status: int(v.transfers.Status(number).Status)}
	if job := v.jobs[number]; job != nil {
		status.DoneCount = job.DoneCount
	}
	if outcome, ended := v.outcomes[number]; ended {
		status.FinalState, status.DoneCount = outcome.Status, outcome.DoneCount
	}
	return status
}

// inventory returns the inventory of the other cell's jobs, held and ended.
func (v *hostView) inventory() *Inventory {
	inventory := &Inventory{HighestNumber: v.transfers.HighestNumber}
	for _, transfer := range v.transfers.Transfers {
		job := v.jobs[transfer.Number]
		if job == nil {
			inventory.Ended = append(inventory.Ended, v.status(transfer.Number))
			continue
		}
		inventory.Held = append(inventory.Held, Request{
			Number:        transfer.Number,
			SubmittedAtMs: job.SubmittedAtMs,
			Spec:          job.Spec,
		})
	}
	return inventory
}

// HandleMessage applies a message from another cell's leader and returns the response. Everything that the response
// reports is durable. If HandleMessage returns an error no response may be sent. The error is an *UnknownCellError,
// ErrNotLeader, an *EarlierEpochError, the error of a commit, or ctx.Err().
func (o *Offloader) HandleMessage(ctx context.Context, message Message) (Message, error) {
	named := func(cell config.Cell) bool { return cell.Name == message.Cell }
	if !slices.ContainsFunc(o.operator.Cells, named) {
		return Message{}, &UnknownCellError{Cell: message.Cell}
	}
	select {
	case o.responseSlot <- struct{}{}:
		defer func() { <-o.responseSlot }()
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
	response, valid, err := o.acceptEpoch(ctx, &message)
	if err != nil || !valid {
		return response, err
	}
	if err := o.dropEarlierEpochs(ctx, message.Cell); err != nil {
		return Message{}, err
	}
	if err := o.applyRequests(ctx, &message); err != nil {
		return Message{}, err
	}
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	if !o.isLeader() {
		return Message{}, ErrNotLeader
	}
	o.fillResponse(&response, &message)
	return response, nil
}

// acceptEpoch records the sender's epoch as named by a message. It returns a response that names the epochs of both
// cells, and reports whether the message may be applied.
func (o *Offloader) acceptEpoch(ctx context.Context, message *Message) (response Message, valid bool, err error) {
	o.clusterState.RLock()
	stored := o.cellRecord(message.Cell)
	change, isLeader := o.newChange(message.Cell)
	enabled := o.recordsEnabled()
	o.clusterState.RUnlock()
	if !isLeader || !enabled {
		return Message{}, false, ErrNotLeader
	}
	epochs := federation.EpochPair{Own: o.operator.CellEpoch, Peer: stored.PeerEpoch}
	epochs, valid = epochs.Accept(message.envelope())
	if epochs.Peer != stored.PeerEpoch {
		// This must be durable before the response: a delayed message of an earlier epoch must not be applied
		// afterwards.
		next := o.underOwnEpoch(stored)
		next.PeerEpoch = epochs.Peer
		change.ops = append(change.ops, kvstore.PutOp(record.CellKey(message.Cell), next))
		if err := o.commit(ctx, change); err != nil {
			return Message{}, false, err
		}
	}
	response = Message{
		Cell:      o.operator.CellName,
		FromEpoch: epochs.Own,
		ToEpoch:   epochs.Peer,
		Draining:  o.operator.CellDraining,
	}
	return response, valid && message.FromEpoch > stored.FencedEpoch, nil
}

// dropEarlierEpochs deletes the jobs from a cell that were accepted under an earlier epoch of this cell, as many as
// fit in one transaction. Operators delete all machines of a cell before they increase its epoch, so no task of
// these jobs runs any more. A job is deleted only after its record has no bound tasks. dropEarlierEpochs returns an
// *EarlierEpochError while some jobs are left.
func (o *Offloader) dropEarlierEpochs(ctx context.Context, cell string) error {
	o.clusterState.RLock()
	view := o.hostViewOf(cell)
	change, _ := o.newChange(cell)
	kept := view.transfers.DropEarlierEpochs(o.operator.CellEpoch)
	for number, job := range view.jobs {
		dropped := kept.Status(number).Status == federation.HostAbsent
		if dropped && job.BoundCount == 0 && len(change.ops) < o.committer.MaxTransactionOps() {
			change.add(jobCondition(job), kvstore.DeleteOp(record.JobKey(job.Spec.ID)))
		}
	}
	remaining := len(view.transfers.Transfers) - len(kept.Transfers) - len(change.ops)
	o.clusterState.RUnlock()
	if len(change.ops) > 0 {
		if err := o.commit(ctx, change); err != nil {
			return err
		}
	}
	if remaining > 0 {
		return &EarlierEpochError{Remaining: remaining}
	}
	return nil
}

// fillResponse adds the statuses of the requested transfers and of ended ones, this cell's digest and, if requested,
// the inventory to a response. Callers hold the lock of the cluster state.
func (o *Offloader) fillResponse(response, message *Message) {
	view := o.hostViewOf(message.Cell)
	reported := map[uint64]bool{}
	for _, request := range message.Requests {
		// A number above the highest one has no status yet: the transaction was full before this request, or the
		// cluster state does not contain its result yet.
		if request.Number <= view.transfers.HighestNumber {
			response.Statuses = append(response.Statuses, view.status(request.Number))
			reported[request.Number] = true
		}
	}
	for _, transfer := range view.transfers.Transfers {
		ended := transfer.Status == federation.HostEnded
		if ended && !reported[transfer.Number] && len(response.Statuses) < 2*tuning.CellTransfersPerMessage {
			response.Statuses = append(response.Statuses, view.status(transfer.Number))
		}
	}
	if message.WantsInventory {
		response.Inventory = view.inventory()
	}
	response.Digest = o.digest()
}
