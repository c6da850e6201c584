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

// State is where home stands with a job of its own.
type State int

// States of a job at home.
const (
	Here  State = iota // home may start it
	Away               // the right has left; only the host's word brings it back
	Ended              // over, as the host said; home's user may be told
)

// Result is how a job ended.
type Result int

// Results.
const (
	None Result = iota
	Done
	Cancelled
)

// Home is what the cell that accepted a job keeps of its hand-over, in the job's record.
type Home struct {
	State  State
	Number uint64 // of the transfer, while away
	// Cancelled: the user has asked; durable before the host is told.
	Cancelled bool
	Recalled  bool // wanted back
	Result    Result
}

// Give moves the right away under a number that was never used between the two cells. Only a
// job that is here, not cancelled and of which nothing is bound can leave; the caller's change
// of the record is guarded by that. ok is false if it can't.
func (h Home) Give(number uint64) (out Home, ok bool) {
	if h.State != Here || h.Cancelled {
		return h, false
	}
	h.State, h.Number, h.Recalled = Away, number, false
	return h, true
}

// Ask is what home tells the host of a job that is away, again and again until it is not: an
// offer at first.
func (h Home) Ask() (Ask, bool) {
	return Ask{h.Number, h.Cancelled, h.Recalled}, h.State == Away
}

// Hear takes the host's word. One of another transfer than that in force says nothing.
func (h Home) Hear(w Word) Home {
	if h.State != Away || w.Number != h.Number {
		return h
	}
	switch {
	case w.Status == Over:
		h.State, h.Result = Ended, w.Result
	case w.Status == Absent && h.Cancelled:
		h.State, h.Result = Ended, Cancelled
	case w.Status == Absent:
		h.State = Here
	}
	return h
}

// Has tells whether home needs the host's record of a transfer no more: it has taken the result
// in, or has long been further. A home that lost writes says so only once it is settled.
func (h Home) Has(w Word) bool { return h.State != Away || h.Number != w.Number }

// Status is where a host stands with a transfer.
type Status int

// Statuses of a transfer at the host. What was refused and what was sent home needs no record:
// the highest number seen fences it.
const (
	Absent Status = iota // nothing of it is bound and nothing will be
	Held                 // the host may start it
	Over                 // ended; nothing of it is bound; kept until home has it
)

// Guest is what a host keeps of one transfer, in a record of its own.
type Guest struct {
	Number    uint64
	Epoch     uint64 // the host's own when it took it
	Status    Status
	Cancelled bool
	Recalled  bool
	Result    Result
}

// Ask is home's message about one transfer.
type Ask struct {
	Number    uint64
	Cancelled bool
	Recalled  bool
}

// Word is the host's answer: what its records say of one transfer.
type Word struct {
	Number uint64
	Status Status
	Result Result
}

// Guests is what a host keeps of one home. High is written in the same change as a guest's
// record; it never falls.
type Guests struct {
	High uint64
	List []Guest // by number
}

func (g *Guests) find(number uint64) (int, bool) {
	return slices.BinarySearchFunc(g.List, number, func(x Guest, n uint64) int { return cmp.Compare(x.Number, n) })
}

// Hear takes an ask in and gives the word to answer with once the change is durable. A transfer
// that is new is taken if there is room for it; one that is not, and of which there is no
// record, is a late copy of one that was refused, sent home or settled: taking it
// would start it twice.
func (g Guests) Hear(a Ask, epoch uint64, room bool) (Guests, Word) {
	i, known := g.find(a.Number)
	if known {
		g.List = slices.Clone(g.List)
		x := &g.List[i]
		x.Cancelled, x.Recalled = x.Cancelled || a.Cancelled, x.Recalled || a.Recalled
		return g, g.Word(a.Number)
	}
	if a.Number > g.High {
		g.High = a.Number
		if room && !a.Cancelled && !a.Recalled {
			g.List = slices.Insert(slices.Clone(g.List), i, Guest{Number: a.Number, Epoch: epoch, Status: Held})
		}
	}
	return g, g.Word(a.Number)
}

// Word is what the records say of a transfer.
func (g Guests) Word(number uint64) Word {
	if i, ok := g.find(number); ok {
		return Word{number, g.List[i].Status, g.List[i].Result}
	}
	return Word{Number: number}
}

// Startable tells whether tasks of a guest may be bound: it was taken under this epoch, and is
// neither cancelled nor wanted back. Callers guard the binding by the guest's record.
func (g Guests) Startable(number, epoch uint64) bool {
	i, ok := g.find(number)
	return ok && g.List[i].Status == Held && g.List[i].Epoch == epoch && !g.List[i].Cancelled && !g.List[i].Recalled
}

// End records how a guest ended; bound is how many of its tasks the records bind. Nothing ends
// before all have left their machines. ok is false if it can't be ended.
func (g Guests) End(number uint64, result Result, bound int) (out Guests, ok bool) {
	i, known := g.find(number)
	if !known || g.List[i].Status != Held || bound > 0 {
		return g, false
	}
	g.List = slices.Clone(g.List)
	g.List[i].Status, g.List[i].Result = Over, result
	return g, true
}

// Release sends a guest home that is not done: nothing of it is bound, and nothing will be.
func (g Guests) Release(number uint64, bound int) (out Guests, ok bool) {
	i, known := g.find(number)
	if !known || g.List[i].Status != Held || bound > 0 {
		return g, false
	}
	g.List = slices.Delete(slices.Clone(g.List), i, i+1)
	return g, true
}

// Drop forgets a guest that is over, once home has said that it has it.
func (g Guests) Drop(number uint64) Guests {
	if i, ok := g.find(number); ok && g.List[i].Status == Over {
		g.List = slices.Delete(slices.Clone(g.List), i, i+1)
	}
	return g
}

// Clean forgets what a host that has lost writes held under earlier epochs. It may be called
// only once nothing that was ever started there can run any more.
func (g Guests) Clean(epoch uint64) Guests {
	g.List = slices.DeleteFunc(slices.Clone(g.List), func(x Guest) bool { return x.Status == Held && x.Epoch < epoch })
	return g
}

// Line is one cell's side of the line to another: its own epoch, and the highest that it has
// seen of the other; durable, as nothing may be taken twice.
type Line struct {
	Own, Other uint64
}

// Envelope names the epochs of both ends as the sender knows them.
type Envelope struct {
	From, To uint64
}

// Envelope is that of what is sent now.
func (l Line) Envelope() Envelope { return Envelope{l.Own, l.Other} }

// Takes tells whether a message counts: it is for this epoch, and from no earlier one than was
// seen. Either way its sender's epoch is learned, so that the next message names it.
func (l Line) Takes(e Envelope) (Line, bool) {
	ok := e.To == l.Own && e.From >= l.Other
	l.Other = max(l.Other, e.From)
	return l, ok
}

// Settle brings what a home that has lost writes knows of a job in line with what a host holds
// of it, as its inventory says: what is held or over there is away. It may start what it knew
// before only once every cell that it was joined with has sent one.
func (h Home) Settle(held []Guest) Home {
	for _, x := range held {
		if h.State != Ended {
			h.State, h.Number = Away, x.Number
		}
	}
	return h
}
