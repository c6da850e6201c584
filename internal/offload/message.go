package offload

import (
	"sableusher/internal/federation"
	"sableusher/internal/wire"
)

// Message is what the leader of one cell sends to another's, and the answer: one a second for each other cell.
// It carries requests about the sender's own jobs, and what the receiver needs to answer. All of it reports
// records, and may be lost, doubled or late.
type Message struct {
	Cell      string `cbor:"c"` // the sender
	FromEpoch uint64 `cbor:"f"` // the sender's
	ToEpoch   uint64 `cbor:"t"` // the receiver's, as the sender knows it
	Draining  bool   `cbor:"d,omitempty"`
	// Of a request: transfers of the sender's own jobs, those whose result it has, and whether it wants the
	// inventory of all that the receiver holds of its own.
	Requests       []Request `cbor:"a,omitempty"`
	EndedTransfers []uint64  `cbor:"h,omitempty"`
	WantsInventory bool      `cbor:"w,omitempty"`
	// Of an answer.
	Statuses  []Status           `cbor:"o,omitempty"`
	Inventory *Inventory         `cbor:"l,omitempty"`
	Digest    *federation.Digest `cbor:"g,omitempty"`
}

// envelope returns the epochs that the message names.
func (m *Message) envelope() federation.Envelope {
	return federation.Envelope{From: m.FromEpoch, To: m.ToEpoch}
}

// Request is about one transfer; the first one offers the job.
type Request struct {
	Number        uint64       `cbor:"n"`
	Cancelled     bool         `cbor:"x,omitempty"`
	Recalled      bool         `cbor:"r,omitempty"`
	SubmittedAtMs int64        `cbor:"t"` // when the job was submitted
	Spec          wire.JobSpec `cbor:"s"`
}

// transferRequest returns the request as the state machine takes it.
func (r *Request) transferRequest() federation.TransferRequest {
	return federation.TransferRequest{Number: r.Number, Cancelled: r.Cancelled, Recalled: r.Recalled}
}

// Status is what the receiver's records say of one transfer.
type Status struct {
	Number     uint64        `cbor:"n"`
	Status     int           `cbor:"s"`           // a federation.HostStatus
	FinalState wire.JobState `cbor:"f,omitempty"` // if the job has ended
	DoneCount  int           `cbor:"d,omitempty"` // tasks done
}

// hostStatus returns the status of the transfer at its host.
func (s *Status) hostStatus() federation.HostStatus { return federation.HostStatus(s.Status) }

// transferStatus returns the status as the state machine takes it.
func (s *Status) transferStatus() federation.TransferStatus {
	result := federation.ResultDone
	if s.FinalState != wire.JobDone {
		result = federation.ResultCancelled
	}
	return federation.TransferStatus{Number: s.Number, Status: s.hostStatus(), Result: result}
}

// Inventory is all that the receiver holds of the sender's jobs.
type Inventory struct {
	HighestNumber uint64    `cbor:"h"`
	Held          []Request `cbor:"l,omitempty"` // those that have not ended, with what is needed to record them again
	Ended         []Status  `cbor:"o,omitempty"`
}
