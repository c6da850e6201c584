package offload

import (
	"sableusher/internal/federation"
	"sableusher/internal/wire"
)

// Message is a message between the leaders of two cells, or the response to one. A leader sends one to each other
// cell every tuning.CellExchangeInterval, with requests about the jobs that it has offloaded to that cell. A message
// only reports the contents of records. It may be lost, duplicated or delayed.
type Message struct {
	Cell      string `cbor:"c"`           // name of the sending cell
	FromEpoch uint64 `cbor:"f"`           // epoch of the sender
	ToEpoch   uint64 `cbor:"t"`           // epoch of the receiver, as the sender knows it
	Draining  bool   `cbor:"d,omitempty"` // the operators of the sender drain it

	// Requests are about transfers of the sender's own jobs. Responses have no Requests, EndedTransfers or
	// WantsInventory.
	Requests []Request `cbor:"a,omitempty"`
	// EndedTransfers are the transfers whose result the sender has received.
	EndedTransfers []uint64 `cbor:"h,omitempty"`
	// WantsInventory asks for the inventory of the sender's jobs at the receiver.
	WantsInventory bool `cbor:"w,omitempty"`

	// Statuses are the statuses of the other cell's transfers. Only responses have Statuses, Inventory and Digest.
	Statuses  []Status           `cbor:"o,omitempty"`
	Inventory *Inventory         `cbor:"l,omitempty"`
	Digest    *federation.Digest `cbor:"g,omitempty"`
}

// envelope returns the epochs of both cells that the message names.
func (m *Message) envelope() federation.Envelope {
	return federation.Envelope{From: m.FromEpoch, To: m.ToEpoch}
}

// Request is a request about one transfer. The first request about a transfer offers the job.
type Request struct {
	Number        uint64       `cbor:"n"`
	Cancelled     bool         `cbor:"x,omitempty"`
	Recalled      bool         `cbor:"r,omitempty"`
	SubmittedAtMs int64        `cbor:"t"` // when the job was submitted
	Spec          wire.JobSpec `cbor:"s"`
}

// transferRequest converts the request to the state machine of package federation.
func (r *Request) transferRequest() federation.TransferRequest {
	return federation.TransferRequest{Number: r.Number, Cancelled: r.Cancelled, Recalled: r.Recalled}
}

// Status is the status of one transfer by the records of the host, the cell that received the offer.
type Status struct {
	Number     uint64        `cbor:"n"`
	Status     int           `cbor:"s"`           // a federation.HostStatus
	FinalState wire.JobState `cbor:"f,omitempty"` // empty if the job has not ended
	DoneCount  int           `cbor:"d,omitempty"` // number of tasks that are done
}

// hostStatus returns the status of the transfer at its host.
func (s *Status) hostStatus() federation.HostStatus { return federation.HostStatus(s.Status) }

// transferStatus converts the status to the state machine of package federation.
func (s *Status) transferStatus() federation.TransferStatus {
	result := federation.ResultDone
	if s.FinalState != wire.JobDone {
		result = federation.ResultCancelled
	}
	return federation.TransferStatus{Number: s.Number, Status: s.hostStatus(), Result: result}
}

// Inventory lists all jobs of one cell that another cell has records of.
type Inventory struct {
	HighestNumber uint64    `cbor:"h"`           // highest transfer number received
	Held          []Request `cbor:"l,omitempty"` // jobs that have not ended, with all that home needs to record them
	Ended         []Status  `cbor:"o,omitempty"` // jobs that have ended
}
