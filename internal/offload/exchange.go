package offload

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/tuning"
)

// homeTransfer converts a job to home's state machine.
func homeTransfer(job *clusterstate.Job) federation.HomeTransfer {
	transfer := federation.HomeTransfer{Cancelled: job.Cancelled()}
	if offloadedTo := job.OffloadedTo; offloadedTo != nil {
		transfer.State, transfer.Number, transfer.Recalled =
			federation.HomeOffloaded, offloadedTo.Number, offloadedTo.Recalled
	}
	return transfer
}

// offloadedJobs returns the jobs that are offloaded to a cell, by transfer number. Callers hold the lock of the
// cluster state.
func (o *Offloader) offloadedJobs(cell string) map[uint64]*clusterstate.Job {
	jobs := map[uint64]*clusterstate.Job{}
	for _, job := range o.clusterState.Jobs {
		if job.HasRecord && job.OffloadedTo != nil && job.OffloadedTo.Cell == cell {
			jobs[job.OffloadedTo.Number] = job
		}
	}
	return jobs
}

// exchange sends a message to a cell with requests about the jobs that are offloaded to it, and applies the response.
func (o *Offloader) exchange(ctx context.Context, cell config.Cell) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CellExchangeTimeout)
	defer cancel()
	message := o.newRequestMessage(cell.Name)
	response, err := o.transport.Exchange(ctx, cell, message)
	if err == nil && response.Cell != cell.Name {
		err = &WrongCellError{Responding: response.Cell}
	}
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", cell.Name, err)
	}
	return o.applyResponse(ctx, cell.Name, &message, &response)
}

// newRequestMessage returns the next message to a cell. It contains no requests until the cell's inventory has been
// received.
func (o *Offloader) newRequestMessage(cell string) Message {
	o.mu.Lock()
	peer := o.peers[cell]
	ended := slices.Clone(peer.endedTransfers)
	o.mu.Unlock()
	o.clusterState.RLock()
	defer o.clusterState.RUnlock()
	stored := o.cellRecord(cell)
	message := Message{
		Cell:           o.operator.CellName,
		FromEpoch:      o.operator.CellEpoch,
		ToEpoch:        stored.PeerEpoch,
		Draining:       o.operator.CellDraining,
		EndedTransfers: ended,
		WantsInventory: !o.inventoryReceived(stored),
	}
	if message.WantsInventory {
		return message
	}
	jobs := o.offloadedJobs(cell)
	for _, number := range o.nextRequests(peer, jobs) {
		job := jobs[number]
		message.Requests = append(message.Requests, Request{
			Number:        number,
			Cancelled:     job.Cancelled(),
			Recalled:      job.OffloadedTo.Recalled,
			SubmittedAtMs: job.SubmittedAtMs,
			Spec:          job.Spec,
		})
	}
	return message
}

// nextRequests returns the transfers for which the next message has requests, in ascending order. Transfers that the
// receiver is not known to hold take precedence, the lowest first, as the receiver refuses numbers below the
// highest that it has received. The other requests are about held transfers, in rotation over the messages.
func (o *Offloader) nextRequests(peer *peerState, jobs map[uint64]*clusterstate.Job) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(peer.heldTransfers, func(number uint64, _ bool) bool { return jobs[number] == nil })
	var next, held []uint64
	for _, number := range slices.Sorted(maps.Keys(jobs)) {
		if peer.heldTransfers[number] {
			held = append(held, number)
		} else if len(next) < tuning.CellTransfersPerMessage {
			next = append(next, number)
		}
	}
	for i := 0; i < len(held) && len(next) < tuning.CellTransfersPerMessage; i++ {
		next = append(next, held[(peer.nextHeldRequest+i)%len(held)])
	}
	peer.nextHeldRequest += tuning.CellTransfersPerMessage
	slices.Sort(next)
	return next
}

// applyResponse applies the response to a message. It applies statuses and the inventory before it updates the cell's
// record, so that the record says that the inventory was received only after the inventory is durable.
func (o *Offloader) applyResponse(ctx context.Context, cell string, message, response *Message) error {
	epochs := federation.EpochPair{Own: message.FromEpoch, Peer: message.ToEpoch}
	epochs, valid := epochs.Accept(response.envelope())
	o.clusterState.RLock()
	valid = valid && response.FromEpoch > o.cellRecord(cell).FencedEpoch
	o.clusterState.RUnlock()
	o.recordResponse(cell, message, response, valid)
	evidence := standingEvidence{peerEpoch: epochs.Peer}
	if valid {
		applied, err := o.applyReports(ctx, cell, response)
		if err != nil {
			return err
		}
		evidence.inventory = applied
	}
	return o.updateStanding(ctx, cell, evidence)
}

// recordResponse stores in memory what a response reports about its cell. It removes the transfers that the message
// acknowledged from those to acknowledge, and stores the digest only if the response is valid.
func (o *Offloader) recordResponse(cell string, message, response *Message, valid bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[cell]
	peer.lastContact, peer.epoch, peer.draining = now, response.FromEpoch, response.Draining
	peer.endedTransfers = slices.DeleteFunc(peer.endedTransfers, func(number uint64) bool {
		return slices.Contains(message.EndedTransfers, number)
	})
	if valid && response.Digest != nil {
		peer.digest = *response.Digest
		peer.digest.ReceivedAt = now
	}
}

// applyReports applies the statuses and the inventory of a valid response. It returns the inventory if all of it is
// durable, and nil otherwise.
func (o *Offloader) applyReports(ctx context.Context, cell string, response *Message) (*Inventory, error) {
	for _, status := range response.Statuses {
		if status.hostStatus() == federation.HostHeld {
			o.recordHeld(cell, status.Number)
		}
		if err := o.applyStatus(ctx, cell, status); err != nil {
			return nil, err
		}
	}
	if response.Inventory == nil {
		return nil, nil
	}
	complete, err := o.applyInventory(ctx, cell, response.Inventory)
	if err != nil || !complete {
		return nil, err
	}
	return response.Inventory, nil
}

// recordHeld stores in memory that a cell holds a transfer.
func (o *Offloader) recordHeld(cell string, number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers[cell].heldTransfers[number] = true
}
