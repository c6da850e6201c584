package offload

import (
	"sableusher/internal/federation"
	"sableusher/internal/wire"
)

// Message is what one cell's leader sends another's, and the other's answer: once a second and
// pair. It carries the senders' questions about their own jobs, and what the other needs
// to answer; all of it is a look at records and may be lost, doubled or late.
type Message struct {
	Cell      string `cbor:"c"` // the sender
	FromEpoch uint64 `cbor:"f"` // its epoch
	ToEpoch   uint64 `cbor:"t"` // the receiver's, as the sender knows it
	Draining  bool   `cbor:"d,omitempty"`
	// Of a question: transfers of the sender's own jobs, those whose end it has, and whether it
	// wants to know all that the receiver holds of its own.
	Requests       []Request `cbor:"a,omitempty"`
	EndedTransfers []uint64  `cbor:"h,omitempty"`
	WantsInventory bool      `cbor:"w,omitempty"`
	// Of an answer.
	Statuses  []Status           `cbor:"o,omitempty"`
	Inventory *Inventory         `cbor:"l,omitempty"`
	Digest    *federation.Digest `cbor:"g,omitempty"`
}

// Request is a question about one transfer; the first ones offer the job.
type Request struct {
	Number        uint64       `cbor:"n"`
	Cancelled     bool         `cbor:"x,omitempty"`
	Recalled      bool         `cbor:"r,omitempty"`
	SubmittedAtMs int64        `cbor:"t"` // when the job was submitted
	Spec          wire.JobSpec `cbor:"s"`
}

// Status is what the receiver's records say of one transfer.
type Status struct {
	Number     uint64        `cbor:"n"`
	Status     int           `cbor:"s"`           // cell.Status
	FinalState wire.JobState `cbor:"f,omitempty"` // the final state, if it is over
	DoneCount  int           `cbor:"d,omitempty"` // tasks done
}

// Inventory is all that the receiver holds of the sender's jobs.
type Inventory struct {
	HighestNumber uint64    `cbor:"h"`
	Held          []Request `cbor:"l,omitempty"` // those that are not over, with what is needed to know them again
	Ended         []Status  `cbor:"o,omitempty"`
}
