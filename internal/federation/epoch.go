package federation

// EpochPair is one cell's side of the link to another: its own epoch, and the highest that it has received of
// the other. It is durable, as no message of an earlier epoch may be applied.
type EpochPair struct {
	Own, Peer uint64
}

// Envelope names the epochs of both ends of a message, as its sender knows them.
type Envelope struct {
	From, To uint64
}

// Envelope returns the envelope of a message that is sent now.
func (p EpochPair) Envelope() Envelope { return Envelope{From: p.Own, To: p.Peer} }

// Accept tells whether a message counts: it names this cell's epoch, and is from no earlier epoch than was
// received before. Either way the sender's epoch is learned, so that the next message names it.
func (p EpochPair) Accept(envelope Envelope) (after EpochPair, ok bool) {
	ok = envelope.To == p.Own && envelope.From >= p.Peer
	p.Peer = max(p.Peer, envelope.From)
	return p, ok
}
