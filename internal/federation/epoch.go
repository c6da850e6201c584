package federation

// EpochPair holds the epochs that one cell knows for its exchange with another cell: its own epoch, and the
// highest epoch that it has received from the other. A cell's operators increase its epoch after its key-value
// store has lost writes. The pair is stored durably, so that a message of an earlier epoch is rejected even after
// a restart.
type EpochPair struct {
	Own, Peer uint64
}

// Envelope names the epochs of both ends of a message, as its sender knows them.
type Envelope struct {
	From, To uint64
}

// Envelope returns the envelope of the next message to the other cell.
func (p EpochPair) Envelope() Envelope { return Envelope{From: p.Own, To: p.Peer} }

// Accept reports whether a message with the given envelope may be applied: it must name this cell's epoch, and
// its sender's epoch must not be lower than the highest one received. In both cases Accept returns the pair with
// the sender's epoch taken into account, so that the next message names it.
func (p EpochPair) Accept(envelope Envelope) (after EpochPair, ok bool) {
	ok = envelope.To == p.Own && envelope.From >= p.Peer
	p.Peer = max(p.Peer, envelope.From)
	return p, ok
}
