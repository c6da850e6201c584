package wire

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key         string   `cbor:"path"`
	Value       RawValue `cbor:"value"`
	ModRevision uint64   `cbor:"stamp"`  // store revision of the last change of the key
	LeaseID     uint64   `cbor:"permit"` // the lease that the key is attached to; 0: none
	Revision    uint64   `cbor:"ledger"` // store revision as of which it was read
}

// RangeResponse is one page of the keys under a prefix.
type RangeResponse struct {
	KeyValues []KeyValue `cbor:"rows"`
	HasMore   bool       `cbor:"more"`
	Revision  uint64     `cbor:"ledger"`
}

// Condition holds if a key was last changed at a revision; at 0, if the key does not exist.
type Condition struct {
	Key         string `cbor:"path"`
	ModRevision uint64 `cbor:"stamp"`
}

// Op is one change of a transaction: it puts Value under PutKey or deletes DeleteKey.
type Op struct {
	PutKey    string   `cbor:"set,omitempty"`
	Value     RawValue `cbor:"value,omitempty"`
	LeaseID   uint64   `cbor:"permit,omitempty"` // the lease to attach the key to; 0: none
	DeleteKey string   `cbor:"drop,omitempty"`
}

// Key is the key that the operation changes.
func (op Op) Key() string {
	if op.PutKey != "" {
		return op.PutKey
	}
	return op.DeleteKey
}

// TxnRequest is a compare-and-swap: all operations are applied at once if all conditions hold, else
// none is.
type TxnRequest struct {
	Conditions []Condition `cbor:"guards"`
	Ops        []Op        `cbor:"apply,omitempty"`
}

// TxnResponse answers a transaction. It was applied if no condition failed.
type TxnResponse struct {
	FailedKeys []string `cbor:"failed"` // the keys of the conditions that don't hold
	Revision   uint64   `cbor:"ledger"`
}

// Event is one change that a watch delivers: a key that was put or one that was deleted.
type Event struct {
	PutKey      string   `cbor:"set"`
	Value       RawValue `cbor:"value"`
	DeleteKey   string   `cbor:"drop"`
	ModRevision uint64   `cbor:"stamp"`
}

// WatchResponse answers a watch with the changes up to a revision, in order.
type WatchResponse struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"news"`
}

// LeaseRequest asks for a lease: keys attached to it are deleted when it expires.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttl_ms"` // time to live after each renewal, in milliseconds
}

// LeaseResponse names the lease that was granted.
type LeaseResponse struct {
	LeaseID uint64 `cbor:"permit"`
}
