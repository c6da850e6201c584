package federation

import (
	"cmp"
	"slices"
)

// HostStatus is the status of a transfer at its host, the cell that runs the job.
type HostStatus int

// Statuses of a transfer at the host, as they are sent in messages. A transfer that was refused or returned
// needs no record, since HostTransfers.HighestNumber keeps a delayed copy of its request from being accepted.
const (
	HostAbsent HostStatus = iota // no task of the job is bound and none will be
	HostHeld                     // the host may start the job's tasks
	HostEnded                    // the job has ended and has no bound tasks; kept until home has the result
)

var hostStatusNames = [...]string{HostAbsent: "absent", HostHeld: "held", HostEnded: "ended"}

// String returns the name of the status.
func (s HostStatus) String() string { return enumName(hostStatusNames[:], int(s)) }

// HostTransfer is one transfer as recorded at the host. Each transfer has a record of its own.
type HostTransfer struct {
	Number    uint64
	Epoch     uint64 // the host's own epoch when it accepted the transfer
	Status    HostStatus
	Cancelled bool
	Recalled  bool
	Result    Result
}

// canStart reports whether the host may bind tasks of the transfer, if epoch is the host's present epoch.
func (t HostTransfer) canStart(epoch uint64) bool {
	return t.Status == HostHeld && t.Epoch == epoch && !t.Cancelled && !t.Recalled
}

// TransferRequest is home's request about one transfer.
type TransferRequest struct {
	Number    uint64
	Cancelled bool
	Recalled  bool
}

// TransferStatus is the host's response to a TransferRequest: the status of the transfer by the host's records.
type TransferStatus struct {
	Number uint64
	Status HostStatus
	Result Result
}

// HostTransfers holds a host's records of the transfers from one home. Its methods return changed copies and
// never modify the receiver's slice. The transitions of a transfer are:
//
//	absent  -> held    by ApplyRequest, if the number is new and there is capacity
//	held    -> ended   by Complete, if no task is bound
//	held    -> absent  by Release, if no task is bound
//	ended   -> absent  by Forget, after home has received the result
type HostTransfers struct {
	HighestNumber uint64         // highest number received; never decreases; written together with Transfers
	Transfers     []HostTransfer // ordered by number
}

func (h *HostTransfers) find(number uint64) (index int, found bool) {
	return slices.BinarySearchFunc(h.Transfers, number, func(transfer HostTransfer, wanted uint64) int {
		return cmp.Compare(transfer.Number, wanted)
	})
}

// ApplyRequest applies a request. It returns the status to respond with, which may be sent only after the change
// is durable. A transfer with a new number is accepted if hasCapacity is set and it is neither cancelled nor
// recalled. An unknown number that is not above HighestNumber belongs to a delayed copy of a request whose
// transfer was refused, returned or forgotten. Accepting it could start the job twice.
func (h HostTransfers) ApplyRequest(
	request TransferRequest, epoch uint64, hasCapacity bool,
) (HostTransfers, TransferStatus) {
	i, known := h.find(request.Number)
	switch {
	case known:
		h.Transfers = slices.Clone(h.Transfers)
		transfer := &h.Transfers[i]
		transfer.Cancelled = transfer.Cancelled || request.Cancelled
		transfer.Recalled = transfer.Recalled || request.Recalled
	case request.Number > h.HighestNumber:
		h.HighestNumber = request.Number
		if hasCapacity && !request.Cancelled && !request.Recalled {
			accepted := HostTransfer{Number: request.Number, Epoch: epoch, Status: HostHeld}
			h.Transfers = slices.Insert(slices.Clone(h.Transfers), i, accepted)
		}
	}
	return h, h.Status(request.Number)
}

// Status returns the status of a transfer by the records. It is HostAbsent if there is no record.
func (h HostTransfers) Status(number uint64) TransferStatus {
	if i, ok := h.find(number); ok {
		return TransferStatus{Number: number, Status: h.Transfers[i].Status, Result: h.Transfers[i].Result}
	}
	return TransferStatus{Number: number}
}

// CanStart reports whether tasks of a transfer may be bound: it must be held, accepted under the given epoch, and
// neither cancelled nor recalled. The caller must bind tasks on condition that the transfer's record has not
// changed.
func (h HostTransfers) CanStart(number, epoch uint64) bool {
	i, ok := h.find(number)
	return ok && h.Transfers[i].canStart(epoch)
}

// Complete records how a job ended. boundTasks is the number of the job's tasks that are bound according to the
// records. ok is false if the transfer is not held or has bound tasks: a job ends only after all its tasks have
// left their machines.
func (h HostTransfers) Complete(number uint64, result Result, boundTasks int) (out HostTransfers, ok bool) {
	i, ok := h.findReleasable(number, boundTasks)
	if !ok {
		return h, false
	}
	h.Transfers = slices.Clone(h.Transfers)
	h.Transfers[i].Status, h.Transfers[i].Result = HostEnded, result
	return h, true
}

// Release returns a job that has not ended to its home, by deleting its record. None of its tasks will be bound
// here afterwards. ok is false if the transfer is not held or has bound tasks.
func (h HostTransfers) Release(number uint64, boundTasks int) (out HostTransfers, ok bool) {
	i, ok := h.findReleasable(number, boundTasks)
	if !ok {
		return h, false
	}
	h.Transfers = slices.Delete(slices.Clone(h.Transfers), i, i+1)
	return h, true
}

// findReleasable finds a transfer by its number. ok is false unless it is held and has no bound tasks.
func (h HostTransfers) findReleasable(number uint64, boundTasks int) (index int, ok bool) {
	i, found := h.find(number)
	return i, found && h.Transfers[i].Status == HostHeld && boundTasks <= 0
}

// Forget deletes a transfer that has ended. It may be called only after home has received the result.
func (h HostTransfers) Forget(number uint64) HostTransfers {
	if i, ok := h.find(number); ok && h.Transfers[i].Status == HostEnded {
		h.Transfers = slices.Delete(slices.Clone(h.Transfers), i, i+1)
	}
	return h
}

// DropEarlierEpochs deletes the held transfers that a host accepted under earlier epochs, that is, before it lost
// writes. It may be called only when no task that the host ever started under them can still run.
func (h HostTransfers) DropEarlierEpochs(epoch uint64) HostTransfers {
	h.Transfers = slices.DeleteFunc(slices.Clone(h.Transfers), func(transfer HostTransfer) bool {
		return transfer.Status == HostHeld && transfer.Epoch < epoch
	})
	return h
}
