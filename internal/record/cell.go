package record

import "sableusher/internal/wire"

// Cell is what a cell stores about another cell. Only the leader writes it.
type Cell struct {
	OwnEpoch             uint64 `cbor:"o"`           // this cell's epoch when the record was written
	PeerEpoch            uint64 `cbor:"t,omitempty"` // highest epoch received from the other cell
	LastSentTransfer     uint64 `cbor:"n,omitempty"` // number of the last transfer to the other cell
	LastReceivedTransfer uint64 `cbor:"h,omitempty"` // highest number of a transfer accepted from the other cell
	Standing             int    `cbor:"s,omitempty"` // a federation.Standing
	StandingSinceMs      int64  `cbor:"m,omitempty"`
	ReturnCount          int    `cbor:"r,omitempty"` // returns of the other cell that count for its probation
	InventoryReceived    bool   `cbor:"k,omitempty"` // the other cell's inventory under these epochs is complete
	FencedEpoch          uint64 `cbor:"f,omitempty"` // epochs of the other cell up to this one are rejected
}

// TransferOutcome is the outcome of a job that was offloaded to this cell and has ended. It is stored until the job's
// home cell has received it.
type TransferOutcome struct {
	JobID     string        `cbor:"j"`
	Status    wire.JobState `cbor:"s"`
	DoneCount int           `cbor:"d"`
}
