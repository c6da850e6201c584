package wire

// Row is a key of the state service.
type Row struct {
	Key      string `cbor:"path"`
	Value    Raw    `cbor:"value"`
	Stamp    uint64 `cbor:"stamp"`
	Hold     uint64 `cbor:"permit"`
	Revision uint64 `cbor:"ledger"`
}

// Rows is a page of a listing.
type Rows struct {
	Items    []Row  `cbor:"rows"`
	More     bool   `cbor:"more"`
	Revision uint64 `cbor:"ledger"`
}

// Guard demands a key's stamp; 0: the key does not exist.
type Guard struct {
	Key   string `cbor:"path"`
	Stamp uint64 `cbor:"stamp"`
}

// Op is one change: either Set with Value or Drop.
type Op struct {
	Set   string `cbor:"set,omitempty"`
	Value Raw    `cbor:"value,omitempty"`
	Hold  uint64 `cbor:"permit,omitempty"`
	Drop  string `cbor:"drop,omitempty"`
}

// Key is the changed key.
func (o Op) Key() string {
	if o.Set != "" {
		return o.Set
	}
	return o.Drop
}

// Txn is a transaction.
type Txn struct {
	Guards []Guard `cbor:"guards"`
	Apply  []Op    `cbor:"apply,omitempty"`
}

// TxnResult answers a transaction.
type TxnResult struct {
	Failed   []string `cbor:"failed"`
	Revision uint64   `cbor:"ledger"`
}

// Event is one change seen by a watch.
type Event struct {
	Set   string `cbor:"set"`
	Value Raw    `cbor:"value"`
	Drop  string `cbor:"drop"`
	Stamp uint64 `cbor:"stamp"`
}

// News answers a watch.
type News struct {
	Revision uint64  `cbor:"ledger"`
	Events   []Event `cbor:"news"`
}

// HoldRequest opens a lease of the state service.
type HoldRequest struct {
	TTLMs int64 `cbor:"ttl_ms"`
}

// HoldResult names it.
type HoldResult struct {
	Hold uint64 `cbor:"permit"`
}
