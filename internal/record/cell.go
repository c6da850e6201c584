package record

import (
	"sableusher/internal/wire"
)

// Cell is what a cell keeps of another one; its leader writes it.
type Cell struct {
	OwnEpoch             uint64 `cbor:"o"`           // this cell's epoch when it was written
	PeerEpoch            uint64 `cbor:"t,omitempty"` // the highest heard of the other
	LastSentTransfer     uint64 `cbor:"n,omitempty"` // the last number given to a transfer there
	LastReceivedTransfer uint64 `cbor:"h,omitempty"` // the highest taken from there
	Standing             int    `cbor:"s,omitempty"` // cell.Standing
	StandingSinceMs      int64  `cbor:"m,omitempty"` // of the standing
	Returns              int    `cbor:"r,omitempty"`
	InventoryReceived    bool   `cbor:"k,omitempty"` // its inventory under these epochs is in
	FencedEpoch          uint64 `cbor:"f,omitempty"` // its epochs up to this one were forgotten
}

// GuestOutcome is how a guest ended, kept until home has it.
type GuestOutcome struct {
	JobID     string        `cbor:"j"`
	Status    wire.JobState `cbor:"s"`
	DoneCount int           `cbor:"d"`
}
