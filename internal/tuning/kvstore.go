package tuning

import "time"

// Key-value store: budget and transactions.
const (
	// KVBudgetShare is the fraction of the key-value store's limits that all nodes together plan to use; the rest
	// covers bursts and clock drift.
	KVBudgetShare = 0.92
	// KVEvenBudgetShare of that is spread evenly over the live nodes, for users and sessions; the rest goes by the
	// shards that each owns.
	KVEvenBudgetShare = 0.35
	// KVUrgentExtraShare is the extra fraction of a node's budget that only urgent requests (sessions, ownership,
	// cancellations) may use.
	KVUrgentExtraShare = 0.15
	// TxnMaxBytes bounds one transaction's encoded size; the store takes 64 KiB measured as JSON, and our CBOR is
	// smaller than its JSON form by up to a third.
	TxnMaxBytes = 36 << 10
	// RecordShareOfValueLimit of the value limit is what one record may take in CBOR, since the limit is measured
	// in the longer JSON form.
	RecordShareOfValueLimit = 0.6
	// TxnConditionsPerOp is how many conditions a transaction may have per operation.
	TxnConditionsPerOp = 4
	// WriteRateCutFactor is the factor by which a rejection for too many changes lowers a node's write rate, at
	// most once in WriteRateAdjustInterval and not below WriteRateMinFactor; WriteRateRecoveryStep is the share it
	// regains in each WriteRateAdjustInterval without one.
	WriteRateCutFactor      = 0.8
	WriteRateRecoveryStep   = 0.05
	WriteRateMinFactor      = 0.3
	WriteRateAdjustInterval = time.Second
	// CommitWorkers is how many transactions a node has in flight. More would only make conditions collide.
	CommitWorkers = 3
	// BackgroundTxnMaxWait is how long a background transaction waits behind all others.
	BackgroundTxnMaxWait = 2 * time.Second
	// NormalTxnMaxWait is how long other transactions wait behind those of work of high priority. While the budget
	// is the bottleneck they wait some seconds anyway.
	NormalTxnMaxWait = 5 * time.Second
	// CommitQueueLength bounds the transactions that wait to be sent.
	CommitQueueLength = 4096
	// KVRequestTimeout is how long a request to the key-value store may take: usual answers come under 10 ms, rare
	// ones take a few hundred.
	KVRequestTimeout = 1500 * time.Millisecond
	// TxnAnswerLateAfter is how long an answer to a transaction may take, far more than the usual one, before the
	// watch cache is asked, every TxnOutcomePollInterval, whether it shows the outcome.
	TxnAnswerLateAfter     = 150 * time.Millisecond
	TxnOutcomePollInterval = 50 * time.Millisecond
	// InFlightKeyMaxChanges bounds the changes of one key that are kept while a transaction of it is in flight.
	InFlightKeyMaxChanges = 32
	// KVRetryPause is the pause after 429 or 503 from the key-value store.
	KVRetryPause = 150 * time.Millisecond
	// KVResponseMaxBytes bounds one answer of the key-value store: watches have no limit of their own, so this only
	// stops a runaway.
	KVResponseMaxBytes = 64 << 20
	// ListPageSize is how many keys a listing asks for at a time.
	ListPageSize = 500
	// WatchMaxWait is how long a watch waits for a change.
	WatchMaxWait = 2 * time.Second
	// WatchBudgetShare is the fraction of a node's request budget that watches may use.
	WatchBudgetShare = 0.25
	// ReadBarrierBudgetShare is the fraction of a node's request budget that read barriers may use.
	ReadBarrierBudgetShare = 0.3
	// MaxIdleConnsPerHost is how many kept connections a client holds for one host.
	MaxIdleConnsPerHost = 8
)
