package record

import "sableusher/internal/wire"

// Cell is what a cell keeps of another one; its leader writes it.
type Cell struct {
	OwnEpoch             uint64 `cbor:"o"`           // this cell's epoch at the time of writing
	PeerEpoch            uint64 `cbor:"t,omitempty"` // the highest one received from the other cell
	LastSentTransfer     uint64 `cbor:"n,omitempty"` // the last number given to a transfer to the other cell
	LastReceivedTransfer uint64 `cbor:"h,omitempty"` // the highest number of a transfer taken from there
	Standing             int    `cbor:"s,omitempty"` // a federation.Standing
	StandingSinceMs      int64  `cbor:"m,omitempty"`
	ReturnCount          int    `cbor:"r,omitempty"` // how often it came back, less those forgiven
	InventoryReceived    bool   `cbor:"k,omitempty"` // its inventory under these epochs is complete
	FencedEpoch          uint64 `cbor:"f,omitempty"` // its epochs up to this one are refused
}

// GuestOutcome is how a guest job ended, kept until its home cell has it.
type GuestOutcome struct {
	JobID     string        `cbor:"j"`
	Status    wire.JobState `cbor:"s"`
	DoneCount int           `cbor:"d"`
}
