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

// homeTransfer returns a job as home's state machine sees it.
func homeTransfer(job *clusterstate.Job) federation.HomeTransfer {
	transfer := federation.HomeTransfer{Cancelled: job.Cancelled()}
	if away := job.OffloadedTo; away != nil {
		transfer.State, transfer.Number, transfer.Recalled = federation.HomeOffloaded, away.Number, away.Recalled
	}
	return transfer
}

// offloadedJobs returns the jobs that are offloaded to a cell, by the number of the transfer. Callers hold the
// lock of the cluster state.
func (o *Offloader) offloadedJobs(cell string) map[uint64]*clusterstate.Job {
	jobs := map[uint64]*clusterstate.Job{}
	for _, job := range o.clusterState.Jobs {
		if job.HasRecord && job.OffloadedTo != nil && job.OffloadedTo.Cell == cell {
			jobs[job.OffloadedTo.Number] = job
		}
	}
	return jobs
}

// exchange sends requests about the jobs that are offloaded to a cell, and applies the answer.
func (o *Offloader) exchange(ctx context.Context, cell config.Cell) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CellExchangeTimeout)
	defer cancel()
	message := o.newRequestMessage(cell.Name)
	answer, err := o.transport.Exchange(ctx, cell, message)
	if err == nil && answer.Cell != cell.Name {
		err = &WrongCellError{Answering: answer.Cell}
	}
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", cell.Name, err)
	}
	return o.applyAnswer(ctx, cell.Name, &message, &answer)
}

// newRequestMessage returns the next message to a cell. While its inventory is missing there are no requests.
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

// nextRequests returns the transfers that the next message asks about, in order: first the lowest of those not
// known to be held, as the receiver refuses numbers below the highest that it received, then the others in turn.
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

// applyAnswer applies the answer to a message. The statuses come before the cell's own record, so that a record
// that says that inventories are exchanged rests on durable ones.
func (o *Offloader) applyAnswer(ctx context.Context, cell string, message, answer *Message) error {
	epochs := federation.EpochPair{Own: message.FromEpoch, Peer: message.ToEpoch}
	epochs, counts := epochs.Accept(answer.envelope())
	o.clusterState.RLock()
	counts = counts && answer.FromEpoch > o.cellRecord(cell).FencedEpoch
	o.clusterState.RUnlock()
	o.noteAnswer(cell, message, answer, counts)
	evidence := standingEvidence{peerEpoch: epochs.Peer}
	if counts {
		applied, err := o.applyReports(ctx, cell, answer)
		if err != nil {
			return err
		}
		evidence.inventory = applied
	}
	return o.updateStanding(ctx, cell, evidence)
}

// noteAnswer remembers what an answer says of its cell. The transfers that the message acknowledged need no
// further acknowledgement; the digest is kept only if the answer counts.
func (o *Offloader) noteAnswer(cell string, message, answer *Message, counts bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	peer := o.peers[cell]
	peer.lastContact, peer.epoch, peer.draining = now, answer.FromEpoch, answer.Draining
	peer.endedTransfers = slices.DeleteFunc(peer.endedTransfers, func(number uint64) bool {
		return slices.Contains(message.EndedTransfers, number)
	})
	if counts && answer.Digest != nil {
		peer.digest = *answer.Digest
		peer.digest.ReceivedAt = now
	}
}

// applyReports applies the statuses and the inventory of an answer that counts. It returns the inventory if all
// of it is durable, and nil otherwise.
func (o *Offloader) applyReports(ctx context.Context, cell string, answer *Message) (*Inventory, error) {
	for _, status := range answer.Statuses {
		if status.hostStatus() == federation.HostHolds {
			o.noteHeld(cell, status.Number)
		}
		if err := o.applyStatus(ctx, cell, status); err != nil {
			return nil, err
		}
	}
	if answer.Inventory == nil {
		return nil, nil
	}
	complete, err := o.applyInventory(ctx, cell, answer.Inventory)
	if err != nil || !complete {
		return nil, err
	}
	return answer.Inventory, nil
}

func (o *Offloader) noteHeld(cell string, number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers[cell].heldTransfers[number] = true
}
