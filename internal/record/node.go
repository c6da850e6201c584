package record

import ()

// SchemaVersion is written once all nodes read the records of a level, and only
// raised: from then on they are written too.
type SchemaVersion struct {
	Version int `cbor:"l"`
}

// Node marks a live session; it is attached to a hold.
type Node struct {
	Incarnation uint64 `cbor:"i"`
	// SchemaVersion is the newest form of records that the process reads.
	SchemaVersion int `cbor:"l,omitempty"`
}
