package wire

// KeyValue is a key of the state service.
type KeyValue struct {
	Key         string   `cbor:"path"`
	Value       RawValue `cbor:"value"`
	ModRevision uint64   `cbor:"stamp"`
	LeaseID     uint64   `cbor:"permit"`
	Revision    uint64   `cbor:"ledger"`
}

// RangeResponse is a page of a listing.
type RangeResponse struct {
	KeyValues []KeyValue `cbor:"rows"`
	HasMore   bool       `cbor:"more"`
	Revision  uint64     `cbor:"ledger"`
}

// Condition demands a key's stamp; 0: the key does not exist.
type Condition struct {
	Key         string `cbor:"path"`
	ModRevision uint64 `cbor:"stamp"`
}

// Op is one change: either Set with Value or Drop.
type Op struct {
	PutKey    string   `cbor:"set,omitempty"`
	Value     RawValue `cbor:"value,omitempty"`
	LeaseID   uint64   `cbor:"permit,omitempty"`
	DeleteKey string   `cbor:"drop,omitempty"`
}

// Key is the changed key.
func (op Op) Key() string {
	if op.PutKey != "" {
		return op.PutKey
	}
	return op.DeleteKey
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Conditions []Condition `cbor:"guards"`
	Ops        []Op        `cbor:"apply,omitempty"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	FailedKeys []string `cbor:"failed"`
	Revision   uint64   `cbor:"ledger"`
}

// Event is one change seen by a watch.
type Event struct {
	PutKey      string   `cbor:"set"`
	Value       RawValue `cbor:"value"`
	DeleteKey   string   `cbor:"drop"`
	ModRevision uint64   `cbor:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"news"`
}

// LeaseRequest opens a lease of the state service.
type LeaseRequest struct {
	TTLMs int64 `cbor:"ttl_ms"`
}

// LeaseResponse names it.
type LeaseResponse struct {
	LeaseID uint64 `cbor:"permit"`
}
