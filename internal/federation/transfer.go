// Package federation hands jobs over between cells: deployments that each have controllers, state
// service, cloud and machines of their own.
//
// It owns three decisions, and so far nothing that acts on them (docs/cells-design.md): how a job
// is handed over (handover), what another cell is to this one (member), and where work that could
// leave is best offered (choose). All are pure: records, messages and the time go in, records and
// messages come out. A record is changed by its
// cell's leader under compare-and-set before anything that follows from it is told or done;
// a message is a hint to look at a record, and may be lost, doubled, late or out of order. It
// carries safety invariants 17 and 18: at any moment at most one cell holds the right to
// start a job's tasks, the right moves by the holder's durable word alone, and no word
// of a cell that has lost writes since counts.
package federation

import (
	"cmp"
	"slices"
)

// HomeState is where home stands with a job of its own.
type HomeState int

// States of a job at home.
const (
	HomeOwned     HomeState = iota // home may start it
	HomeOffloaded                  // the right has left; only the host's word brings it back
	HomeEnded                      // over, as the host said; home's user may be told
)

// Result is how a job ended.
type Result int

// Results.
const (
	ResultNone Result = iota
	ResultDone
	ResultCancelled
)

// HomeTransfer is what the cell that accepted a job keeps of its hand-over, in the job's record.
type HomeTransfer struct {
	State  HomeState
	Number uint64 // of the transfer, while away
	// Cancelled: the user has asked; durable before the host is told.
	Cancelled bool
	Recalled  bool // wanted back
	Result    Result
}

// Offload moves the right away under a number that was never used between the two cells. Only a
// job that is here, not cancelled and of which nothing is bound can leave; the caller's change
// of the record is guarded by that. ok is false if it can't.
func (h HomeTransfer) Offload(number uint64) (out HomeTransfer, ok bool) {
	if h.State != HomeOwned || h.Cancelled {
		return h, false
	}
	h.State, h.Number, h.Recalled = HomeOffloaded, number, false
	return h, true
}

// Request is what home tells the host of a job that is away, again and again until it is not: an
// offer at first.
func (h HomeTransfer) Request() (TransferRequest, bool) {
	return TransferRequest{h.Number, h.Cancelled, h.Recalled}, h.State == HomeOffloaded
}

// ApplyStatus takes the host's word. One of another transfer than that in force says nothing.
func (h HomeTransfer) ApplyStatus(w TransferStatus) HomeTransfer {
	if h.State != HomeOffloaded || w.Number != h.Number {
		return h
	}
	switch {
	case w.Status == HostEnded:
		h.State, h.Result = HomeEnded, w.Result
	case w.Status == HostAbsent && h.Cancelled:
		h.State, h.Result = HomeEnded, ResultCancelled
	case w.Status == HostAbsent:
		h.State = HomeOwned
	}
	return h
}

// ReleasesHost tells whether home needs the host's record of a transfer no more: it has taken the result
// in, or has long been further. A home that lost writes says so only once it is settled.
func (h HomeTransfer) ReleasesHost(w TransferStatus) bool {
	return h.State != HomeOffloaded || h.Number != w.Number
}

// HostStatus is where a host stands with a transfer.
type HostStatus int

// Statuses of a transfer at the host. What was refused and what was sent home needs no record:
// the highest number seen fences it.
const (
	HostAbsent HostStatus = iota // nothing of it is bound and nothing will be
	HostHolds                    // the host may start it
	HostEnded                    // ended; nothing of it is bound; kept until home has it
)

// HostTransfer is what a host keeps of one transfer, in a record of its own.
type HostTransfer struct {
	Number    uint64
	Epoch     uint64 // the host's own when it took it
	Status    HostStatus
	Cancelled bool
	Recalled  bool
	Result    Result
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

// HostTransfers is what a host keeps of one home. High is written in the same change as a guest's
// record; it never falls.
type HostTransfers struct {
	HighestNumber uint64
	Transfers     []HostTransfer // by number
}

func (g *HostTransfers) find(number uint64) (int, bool) {
	return slices.BinarySearchFunc(g.Transfers, number, func(x HostTransfer, n uint64) int { return cmp.Compare(x.Number, n) })
}

// ApplyRequest takes an ask in and gives the word to answer with once the change is durable. A transfer
// that is new is taken if there is room for it; one that is not, and of which there is no
// record, is a late copy of one that was refused, sent home or settled: taking it
// would start it twice.
func (g HostTransfers) ApplyRequest(a TransferRequest, epoch uint64, room bool) (HostTransfers, TransferStatus) {
	i, known := g.find(a.Number)
	if known {
		g.Transfers = slices.Clone(g.Transfers)
		x := &g.Transfers[i]
		x.Cancelled, x.Recalled = x.Cancelled || a.Cancelled, x.Recalled || a.Recalled
		return g, g.Status(a.Number)
	}
	if a.Number > g.HighestNumber {
		g.HighestNumber = a.Number
		if room && !a.Cancelled && !a.Recalled {
			g.Transfers = slices.Insert(slices.Clone(g.Transfers), i, HostTransfer{Number: a.Number, Epoch: epoch, Status: HostHolds})
		}
	}
	return g, g.Status(a.Number)
}

// Status is what the records say of a transfer.
func (g HostTransfers) Status(number uint64) TransferStatus {
	if i, ok := g.find(number); ok {
		return TransferStatus{number, g.Transfers[i].Status, g.Transfers[i].Result}
	}
	return TransferStatus{Number: number}
}

// CanStart tells whether tasks of a guest may be bound: it was taken under this epoch, and is
// neither cancelled nor wanted back. Callers guard the binding by the guest's record.
func (g HostTransfers) CanStart(number, epoch uint64) bool {
	i, ok := g.find(number)
	return ok && g.Transfers[i].Status == HostHolds && g.Transfers[i].Epoch == epoch && !g.Transfers[i].Cancelled && !g.Transfers[i].Recalled
}

// Complete records how a guest ended; bound is how many of its tasks the records bind. Nothing ends
// before all have left their machines. ok is false if it can't be ended.
func (g HostTransfers) Complete(number uint64, result Result, bound int) (out HostTransfers, ok bool) {
	i, known := g.find(number)
	if !known || g.Transfers[i].Status != HostHolds || bound > 0 {
		return g, false
	}
	g.Transfers = slices.Clone(g.Transfers)
	g.Transfers[i].Status, g.Transfers[i].Result = HostEnded, result
	return g, true
}

// Release sends a guest home that is not done: nothing of it is bound, and nothing will be.
func (g HostTransfers) Release(number uint64, bound int) (out HostTransfers, ok bool) {
	i, known := g.find(number)
	if !known || g.Transfers[i].Status != HostHolds || bound > 0 {
		return g, false
	}
	g.Transfers = slices.Delete(slices.Clone(g.Transfers), i, i+1)
	return g, true
}

// Forget forgets a guest that is over, once home has said that it has it.
func (g HostTransfers) Forget(number uint64) HostTransfers {
	if i, ok := g.find(number); ok && g.Transfers[i].Status == HostEnded {
		g.Transfers = slices.Delete(slices.Clone(g.Transfers), i, i+1)
	}
	return g
}

// DropEarlierEpochs forgets what a host that has lost writes held under earlier epochs. It may be called
// only once nothing that was ever started there can run any more.
func (g HostTransfers) DropEarlierEpochs(epoch uint64) HostTransfers {
	g.Transfers = slices.DeleteFunc(slices.Clone(g.Transfers), func(x HostTransfer) bool { return x.Status == HostHolds && x.Epoch < epoch })
	return g
}

// EpochPair is one cell's side of the line to another: its own epoch, and the highest that it has
// seen of the other; durable, as nothing may be taken twice.
type EpochPair struct {
	Own, Peer uint64
}

// Envelope names the epochs of both ends as the sender knows them.
type Envelope struct {
	From, To uint64
}

// Envelope is that of what is sent now.
func (l EpochPair) Envelope() Envelope { return Envelope{l.Own, l.Peer} }

// Accept tells whether a message counts: it is for this epoch, and from no earlier one than was
// seen. Either way its sender's epoch is learned, so that the next message names it.
func (l EpochPair) Accept(e Envelope) (EpochPair, bool) {
	ok := e.To == l.Own && e.From >= l.Peer
	l.Peer = max(l.Peer, e.From)
	return l, ok
}

// Reconcile brings what a home that has lost writes knows of a job in line with what a host holds
// of it, as its inventory says: what is held or over there is away. It may start what it knew
// before only once every cell that it was joined with has sent one.
func (h HomeTransfer) Reconcile(held []HostTransfer) HomeTransfer {
	for _, x := range held {
		if h.State != HomeEnded {
			h.State, h.Number = HomeOffloaded, x.Number
		}
	}
	return h
}
