package wire

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key         string   `cbor:"path"`
	Value       RawValue `cbor:"value"`
	ModRevision uint64   `cbor:"stamp"`  // store revision at which the key was last changed
	LeaseID     uint64   `cbor:"permit"` // lease that the key is attached to; 0 means none
	Revision    uint64   `cbor:"ledger"` // store revision at which the key was read
}

// RangeResponse is one page of a listing of the keys under a prefix.
type RangeResponse struct {
	KeyValues []KeyValue `cbor:"rows"`
	HasMore   bool       `cbor:"more"`
	Revision  uint64     `cbor:"ledger"`
}

// Condition is a precondition of a transaction: the key was last changed at ModRevision or, if ModRevision is 0, the
// key does not exist.
type Condition struct {
	Key         string `cbor:"path"`
	ModRevision uint64 `cbor:"stamp"`
}

// Op is one operation of a transaction: it stores Value under PutKey, or deletes DeleteKey.
type Op struct {
	PutKey    string   `cbor:"set,omitempty"`
	Value     RawValue `cbor:"value,omitempty"`
	LeaseID   uint64   `cbor:"permit,omitempty"` // lease to attach the key to; 0 means none
	DeleteKey string   `cbor:"drop,omitempty"`
}

// Key returns the key that the operation changes.
func (op Op) Key() string {
	if op.PutKey != "" {
		return op.PutKey
	}
	return op.DeleteKey
}

// TxnRequest is an atomic compare-and-swap: if all conditions hold, all operations are applied at
// once, otherwise none of them.
type TxnRequest struct {
	Conditions []Condition `cbor:"guards"`
	Ops        []Op        `cbor:"apply,omitempty"`
}

// TxnResponse is the response to a transaction. The transaction was applied if FailedKeys is empty.
type TxnResponse struct {
	FailedKeys []string `cbor:"failed"` // keys whose conditions did not hold
	Revision   uint64   `cbor:"ledger"`
}

// Event is one change reported by a watch: a key that was put (PutKey) or deleted (DeleteKey).
type Event struct {
	PutKey      string   `cbor:"set"`
	Value       RawValue `cbor:"value"`
	DeleteKey   string   `cbor:"drop"`
	ModRevision uint64   `cbor:"stamp"`
}

// WatchResponse is the response to a watch: the changes up to Revision, in order.
type WatchResponse struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"news"`
}

// LeaseRequest requests a lease. The keys attached to a lease are deleted when it expires.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttl_ms"` // time to live, counted from the grant and from each renewal
}

// LeaseResponse identifies the lease that was granted.
type LeaseResponse struct {
	LeaseID uint64 `cbor:"permit"`
}
