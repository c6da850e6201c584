package offload

import (
	"sableusher/internal/federation"
	"sableusher/internal/wire"
)

// Message is what one cell's leader sends another's, and the other's answer: once a second and
// pair. It carries the senders' questions about their own jobs, and what the other needs
// to answer; all of it is a look at records and may be lost, doubled or late.
type Message struct {
	Cell     string `cbor:"c"` // the sender
	From     uint64 `cbor:"f"` // its epoch
	To       uint64 `cbor:"t"` // the receiver's, as the sender knows it
	Draining bool   `cbor:"d,omitempty"`
	// Of a question: transfers of the sender's own jobs, those whose end it has, and whether it
	// wants to know all that the receiver holds of its own.
	Asks []Ask    `cbor:"a,omitempty"`
	Have []uint64 `cbor:"h,omitempty"`
	Want bool     `cbor:"w,omitempty"`
	// Of an answer.
	Words  []Word             `cbor:"o,omitempty"`
	List   *Inventory         `cbor:"l,omitempty"`
	Digest *federation.Digest `cbor:"g,omitempty"`
}

// Ask is a question about one transfer; the first ones offer the job.
type Ask struct {
	Number    uint64       `cbor:"n"`
	Cancelled bool         `cbor:"x,omitempty"`
	Recalled  bool         `cbor:"r,omitempty"`
	AtMs      int64        `cbor:"t"` // when the job was submitted
	Spec      wire.JobSpec `cbor:"s"`
}

// Word is what the receiver's records say of one transfer.
type Word struct {
	Number uint64        `cbor:"n"`
	Status int           `cbor:"s"`           // cell.Status
	Final  wire.JobState `cbor:"f,omitempty"` // the final state, if it is over
	Done   int           `cbor:"d,omitempty"` // tasks done
}

// Inventory is all that the receiver holds of the sender's jobs.
type Inventory struct {
	High uint64 `cbor:"h"`
	Held []Ask  `cbor:"l,omitempty"` // those that are not over, with what is needed to know them again
	Over []Word `cbor:"o,omitempty"`
}
