package federation

import (
	"cmp"
	"slices"
)

// HostStatus is the status of a transfer at its host, the cell that runs the job.
type HostStatus int

// Statuses of a transfer at the host, as they are sent in messages. A transfer that was refused or returned
// needs no record: the highest number received fences it.
const (
	HostAbsent HostStatus = iota // no task of it is bound and none will be
	HostHolds                    // the host may start it
	HostEnded                    // ended; no task of it is bound; kept until home has the result
)

var hostStatusNames = [...]string{HostAbsent: "absent", HostHolds: "held", HostEnded: "ended"}

// String returns the name of the status.
func (s HostStatus) String() string { return enumName(hostStatusNames[:], int(s)) }

// HostTransfer is what a host keeps of one transfer, in a record of its own.
type HostTransfer struct {
	Number    uint64
	Epoch     uint64 // the host's own when it accepted the transfer
	Status    HostStatus
	Cancelled bool
	Recalled  bool
	Result    Result
}

// canStart tells whether the host may bind tasks of the transfer under its present epoch.
func (t HostTransfer) canStart(epoch uint64) bool {
	return t.Status == HostHolds && t.Epoch == epoch && !t.Cancelled && !t.Recalled
}

// TransferRequest is home's message about one transfer.
type TransferRequest struct {
	Number    uint64
	Cancelled bool
	Recalled  bool
}

// TransferStatus is the host's answer: what its records say of one transfer.
type TransferStatus struct {
	Number uint64
	Status HostStatus
	Result Result
}

// HostTransfers is what a host keeps of the transfers of one home. Its methods never change the receiver's
// slice.
//
//	absent  ApplyRequest with a new number and capacity: held
//	held    Complete, once no task is bound: ended; Release, once no task is bound: absent
//	ended   Forget, once home has the result: absent
type HostTransfers struct {
	HighestNumber uint64         // of all received; written in the same change as a transfer, never falls
	Transfers     []HostTransfer // ordered by number
}

func (h *HostTransfers) find(number uint64) (index int, found bool) {
	return slices.BinarySearchFunc(h.Transfers, number, func(transfer HostTransfer, wanted uint64) int {
		return cmp.Compare(transfer.Number, wanted)
	})
}

// ApplyRequest applies a request and returns the status to answer with once the change is durable. A transfer
// with a new number is accepted if hasCapacity. A number at or below the highest of which there is no record
// is a late copy of a transfer that was refused, returned or forgotten: to accept it would start it twice.
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
			accepted := HostTransfer{Number: request.Number, Epoch: epoch, Status: HostHolds}
			h.Transfers = slices.Insert(slices.Clone(h.Transfers), i, accepted)
		}
	}
	return h, h.Status(request.Number)
}

// Status is what the records say of a transfer.
func (h HostTransfers) Status(number uint64) TransferStatus {
	if i, ok := h.find(number); ok {
		return TransferStatus{Number: number, Status: h.Transfers[i].Status, Result: h.Transfers[i].Result}
	}
	return TransferStatus{Number: number}
}

// CanStart tells whether tasks of a transfer may be bound: it was accepted under this epoch, and is neither
// cancelled nor recalled. The caller's binding is conditional on the transfer's record.
func (h HostTransfers) CanStart(number, epoch uint64) bool {
	i, ok := h.find(number)
	return ok && h.Transfers[i].canStart(epoch)
}

// Complete records how a job ended. boundTasks is how many of its tasks the records bind: nothing ends before
// all have left their machines. ok is false if the transfer can't end now.
func (h HostTransfers) Complete(number uint64, result Result, boundTasks int) (out HostTransfers, ok bool) {
	i, ok := h.findReleasable(number, boundTasks)
	if !ok {
		return h, false
	}
	h.Transfers = slices.Clone(h.Transfers)
	h.Transfers[i].Status, h.Transfers[i].Result = HostEnded, result
	return h, true
}

// Release returns a job that is not done to its home: none of its tasks is bound, and none will be. ok is false
// if the transfer can't be released now.
func (h HostTransfers) Release(number uint64, boundTasks int) (out HostTransfers, ok bool) {
	i, ok := h.findReleasable(number, boundTasks)
	if !ok {
		return h, false
	}
	h.Transfers = slices.Delete(slices.Clone(h.Transfers), i, i+1)
	return h, true
}

// findReleasable finds a transfer that is held and of which no task is bound.
func (h HostTransfers) findReleasable(number uint64, boundTasks int) (index int, ok bool) {
	i, found := h.find(number)
	return i, found && h.Transfers[i].Status == HostHolds && boundTasks <= 0
}

// Forget deletes a transfer that has ended, once home has its result.
func (h HostTransfers) Forget(number uint64) HostTransfers {
	if i, ok := h.find(number); ok && h.Transfers[i].Status == HostEnded {
		h.Transfers = slices.Delete(slices.Clone(h.Transfers), i, i+1)
	}
	return h
}

// DropEarlierEpochs deletes what a host that has lost writes held under earlier epochs. It may be called only
// once nothing that was ever started there can run any more.
func (h HostTransfers) DropEarlierEpochs(epoch uint64) HostTransfers {
	h.Transfers = slices.DeleteFunc(slices.Clone(h.Transfers), func(transfer HostTransfer) bool {
		return transfer.Status == HostHolds && transfer.Epoch < epoch
	})
	return h
}
