package tuning

import "time"

// Constants of package kvstore: rate budget, transactions, watches and connections.
const (
	// KVBudgetShare is the fraction of the key-value store's rate limits that all nodes together plan to use. The
	// rest covers bursts and clock drift.
	KVBudgetShare = 0.92
	// KVEvenBudgetShare is the fraction of KVBudgetShare that is divided evenly among the live nodes, for user
	// requests and sessions. The rest is divided in proportion to the number of shards that each node owns.
	KVEvenBudgetShare = 0.35
	// KVUrgentReservedShare is the fraction of a node's request budget that is reserved for urgent requests
	// (sessions, ownership, acceptance, cancellations, read barriers).
	KVUrgentReservedShare = 0.15
	// TxnMaxBytes bounds the encoded size of one transaction in CBOR. The store accepts up to 64 KiB measured as
	// JSON, and CBOR is up to a third smaller than JSON.
	TxnMaxBytes = 36 << 10
	// RecordShareOfValueLimit is the fraction of the store's value limit that one record may use in CBOR. The limit
	// is measured in JSON, which is longer. Only a test of package record checks it; no record is rejected by it.
	RecordShareOfValueLimit = 0.6
	// TxnConditionsPerOp is the maximum number of conditions of a transaction, as a multiple of the maximum number
	// of operations.
	TxnConditionsPerOp = 4
	// WriteRateCutFactor multiplies a node's write rate after the store rejected a request for exceeding a rate
	// limit (status 429). The rate is cut at most once per WriteRateAdjustInterval and not below
	// WriteRateMinFactor of the node's budget. WriteRateRecoveryStep is the fraction of the budget that the rate
	// regains after a WriteRateAdjustInterval without a rejection.
	WriteRateCutFactor      = 0.8
	WriteRateRecoveryStep   = 0.05
	WriteRateMinFactor      = 0.3
	WriteRateAdjustInterval = time.Second
	// CommitWorkers is the maximum number of transactions that a node has in flight. With more, the transactions
	// only fail each other's conditions.
	CommitWorkers = 3
	// BackgroundTxnMaxWait is how long a background transaction is queued behind all others before it counts as
	// one of normal priority.
	BackgroundTxnMaxWait = 2 * time.Second
	// NormalTxnMaxWait is how long a transaction of normal priority is queued behind those of high priority before
	// it counts as one of them. While the write budget is the bottleneck, transactions wait some seconds anyway.
	NormalTxnMaxWait = 5 * time.Second
	// CommitQueueLength is the maximum number of transactions that wait to be sent.
	CommitQueueLength = 4096
	// KVRequestTimeout is the timeout of a request to the key-value store. Most responses arrive within 10 ms, a few
	// take some hundred milliseconds.
	KVRequestTimeout = 1500 * time.Millisecond
	// TxnOutcomePollDelay is how long the committer waits for the response to a transaction before it starts to
	// check the watch cache for the outcome, every TxnOutcomePollInterval. It is far above the usual response time.
	TxnOutcomePollDelay    = 150 * time.Millisecond
	TxnOutcomePollInterval = 50 * time.Millisecond
	// InFlightKeyMaxChanges is the maximum number of changes that are kept of one key while a transaction that
	// changes it is in flight.
	InFlightKeyMaxChanges = 32
	// KVRetryBackoff is the backoff before a failed request to the key-value store is retried, for example after status
	// 429 or 503.
	KVRetryBackoff = 150 * time.Millisecond
	// HTTPBodyMaxBytes bounds the body of an HTTP response from the key-value store, the cloud or an agent, and of an
	// agent's heartbeat. The response to a watch has no size limit in the protocol; this bound only stops a runaway
	// response.
	HTTPBodyMaxBytes = 64 << 20
	// ListPageSize is the number of keys on one page of a listing.
	ListPageSize = 500
	// WatchMaxWait is how long the store holds a watch request open while there is no change.
	WatchMaxWait = 2 * time.Second
	// WatchBudgetShare is the fraction of a node's request budget that watches may use.
	WatchBudgetShare = 0.25
	// ReadBarrierBudgetShare is the fraction of a node's request budget that read barriers may use.
	ReadBarrierBudgetShare = 0.3
	// MaxIdleConnsPerHost is the maximum number of idle connections that a client keeps open per host.
	MaxIdleConnsPerHost = 8
)
