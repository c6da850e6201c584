package kvstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// WatchObserver is the committer's view of a watch cache. The watch cache shows
// changes of keys and outcomes of transactions independently of the responses to
// the transactions.
type WatchObserver interface {
	// IsOutdated reports whether a condition can no longer hold.
	IsOutdated(condition wire.Condition) bool
	// TrackInFlight starts to record the changes of the keys of operations that
	// are about to be sent. It returns a revision that is lower than any at which
	// the operations can be applied.
	TrackInFlight(ops []wire.Op) (before uint64)
	// UntrackInFlight ends the recording that TrackInFlight started.
	UntrackInFlight(ops []wire.Op)
	// FindApplied reports whether the operations were applied together after the
	// revision after, and at which revision.
	FindApplied(ops []wire.Op, after uint64) (revision uint64, ok bool)
}

// Committer queues transactions, merges them into batches within the write budget
// and sends these to the store. It is safe for concurrent use. All its goroutines
// are started by Run and end before Run returns.
type Committer struct {
	client    *Client
	onApplied func(ops []wire.Op, revision uint64)
	observer  WatchObserver // set before Run; nil if there is none

	workerWake chan struct{}  // of capacity 1; signals that transactions are queued
	budgetGate chan struct{}  // of capacity 1; held by the worker that assembles the next batch
	requests   sync.WaitGroup // requests in flight, including those that no worker waits for

	mu    sync.Mutex // guards queue
	queue []*pendingTransaction
}

// NewCommitter returns a committer that sends transactions through client. The
// committer calls onApplied with the operations and the revision of each batch
// that was applied, before the calls of Commit return.
func NewCommitter(client *Client, onApplied func(ops []wire.Op, revision uint64)) *Committer {
	return &Committer{
		client:     client,
		onApplied:  onApplied,
		workerWake: make(chan struct{}, 1),
		budgetGate: make(chan struct{}, 1),
	}
}

// SetObserver sets the watch cache to use. It must be called before Run.
func (c *Committer) SetObserver(observer WatchObserver) { c.observer = observer }

// MaxTransactionOps returns the maximum number of operations of a transaction.
func (c *Committer) MaxTransactionOps() int { return c.client.MaxTransactionOps() }

// MaxRecordBytes returns the maximum size of a record, in bytes of its JSON form.
func (c *Committer) MaxRecordBytes() int { return c.client.MaxRecordBytes() }

// UpcomingMaxRecordBytes returns the value of MaxRecordBytes under the upcoming
// limits; see SetUpcomingLimits.
func (c *Committer) UpcomingMaxRecordBytes() int { return c.client.UpcomingMaxRecordBytes() }

// QueueLength returns the number of queued transactions, which are not yet part of
// a batch.
func (c *Committer) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// Run sends transactions until ctx ends, and returns when no request is in flight
// any more.
func (c *Committer) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range tuning.CommitWorkers {
		workers.Go(func() { c.runWorker(ctx) })
	}
	workers.Wait()
	c.requests.Wait()
	return ctx.Err()
}

// Commit commits one transaction and returns the revision at which it was
// applied. ErrConditionFailed and ErrUnavailable prove that the transaction was
// not applied. After ErrRejected it counts as not applied: the store responded with
// an unexpected status, for example because the transaction is malformed.
// ErrOutcomeUnknown means that it may have been applied or may still be applied.
func (c *Committer) Commit(ctx context.Context, transaction Transaction) (uint64, error) {
	p := &pendingTransaction{
		Transaction: transaction,
		callerDone:  ctx.Done(),
		enqueuedAt:  time.Now(),
		result:      make(chan commitResult, 1),
	}
	if !c.enqueue(p) {
		return 0, ErrUnavailable
	}
	c.wakeWorker()
	select {
	case result := <-p.result:
		return result.revision, result.err
	case <-ctx.Done():
	}
	// A transaction that is still queued was certainly not sent.
	if c.dequeue(p) {
		return 0, ErrUnavailable
	}
	// A worker has taken the transaction, and its result usually arrives soon. It
	// is worth waiting for, since an unknown outcome makes the node fence the
	// shard, which fails all other changes of the shard that are in flight.
	select {
	case result := <-p.result:
		return result.revision, result.err
	case <-time.After(tuning.KVRequestTimeout):
		return 0, ErrOutcomeUnknown
	}
}

// enqueue inserts a transaction into the queue, which is ordered by effective
// priority, behind those of the same priority. It reports false if the queue is
// full.
func (c *Committer) enqueue(p *pendingTransaction) bool {
	now := p.enqueuedAt
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) >= tuning.CommitQueueLength {
		return false
	}
	position := slices.IndexFunc(c.queue, func(other *pendingTransaction) bool {
		return other.effectivePriority(now) < p.effectivePriority(now)
	})
	if position < 0 {
		position = len(c.queue)
	}
	c.queue = slices.Insert(c.queue, position, p)
	return true
}

// dequeue removes a transaction from the queue. It reports whether it was there.
func (c *Committer) dequeue(p *pendingTransaction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := slices.Index(c.queue, p)
	if position < 0 {
		return false
	}
	c.queue = slices.Delete(c.queue, position, position+1)
	return true
}

// wakeWorker wakes one worker, or does nothing if a wake-up is already pending.
func (c *Committer) wakeWorker() {
	select {
	case c.workerWake <- struct{}{}:
	default:
	}
}

// runWorker sends one batch after another until ctx ends.
func (c *Committer) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.workerWake:
		}
		for {
			transactions := c.nextBatch(ctx)
			if len(transactions) == 0 {
				break
			}
			c.wakeWorker()
			c.commitBatch(ctx, transactions)
		}
	}
}

// nextBatch waits for the write budget, then removes the next batch from the queue
// and returns it. It returns an empty batch if the queue is empty or ctx ends.
// Only one worker at a time waits for the budget, and it assembles its batch after
// the wait, so that an urgent transaction never waits behind a batch assembled
// before it was enqueued.
func (c *Committer) nextBatch(ctx context.Context) []*pendingTransaction {
	c.budgetGate <- struct{}{}
	defer func() { <-c.budgetGate }()
	if c.QueueLength() == 0 {
		return nil
	}
	writes, err := c.client.waitForWriteBudget(ctx)
	if err != nil {
		return nil
	}
	transactions := c.rejectOutdated(c.takeBatch(writes))
	for len(transactions) == 0 && c.QueueLength() > 0 {
		transactions = c.rejectOutdated(c.takeBatch(writes))
	}
	ops := 0
	for _, p := range transactions {
		ops += len(p.Ops)
	}
	c.client.spendWriteBudget(ops)
	return transactions
}

// rejectOutdated completes the transactions that have a condition that can no
// longer hold with ErrConditionFailed, and returns the others. The store charges
// a failed transaction against the write rate like a successful one. Without this
// check, the transactions queued with a condition on an earlier revision of a
// shard's record would use up the budget for seconds, only to fail.
func (c *Committer) rejectOutdated(transactions []*pendingTransaction) []*pendingTransaction {
	if c.observer == nil {
		return transactions
	}
	return slices.DeleteFunc(transactions, func(p *pendingTransaction) bool {
		if !slices.ContainsFunc(p.Conditions, c.observer.IsOutdated) {
			return false
		}
		p.finish(0, ErrConditionFailed)
		return true
	})
}

// commitBatch sends a batch, repeatedly if necessary, until each of its
// transactions has a result. If a condition fails, only the transactions with
// that condition fail; the others are sent again without them.
func (c *Committer) commitBatch(ctx context.Context, transactions []*pendingTransaction) {
	for isRetry := false; ; isRetry = true {
		transactions = rejectAbandoned(transactions)
		if len(transactions) == 0 {
			return
		}
		merged, priority := mergeBatch(transactions)
		if isRetry {
			c.client.spendWriteBudget(len(merged.Ops)) // nextBatch did this for the first attempt
		}
		result, err := c.executeTransaction(ctx, merged, priority)
		switch {
		case err == nil:
			c.onApplied(merged.Ops, result.Revision)
			finishBatch(transactions, result.Revision, nil)
			return
		case errors.Is(err, ErrConditionFailed):
			remaining := rejectFailed(transactions, result.FailedKeys)
			if len(remaining) == len(transactions) { // no failed key belongs to the batch; it was not executed
				finishBatch(transactions, 0, ErrConditionFailed)
				return
			}
			transactions = remaining
		case errors.Is(err, ErrUnavailable):
			if pause(ctx, tuning.KVRetryBackoff) != nil {
				finishBatch(transactions, 0, ErrUnavailable)
				return
			}
		case errors.Is(err, ErrRejected) && len(transactions) > 1:
			// One of the transactions is invalid (expired lease, oversized value); send each on its own.
			for _, p := range transactions {
				c.commitBatch(ctx, []*pendingTransaction{p})
			}
			return
		default:
			finishBatch(transactions, 0, err)
			return
		}
	}
}

// executeTransaction sends a transaction and waits for its outcome. If the response
// is late or lost, it looks for the outcome in the watch cache. Otherwise a lost
// response to an applied transaction would be an unknown outcome, for which the
// node fences a shard.
func (c *Committer) executeTransaction(
	ctx context.Context, transaction wire.TxnRequest, priority RequestPriority,
) (wire.TxnResponse, error) {
	if c.observer == nil {
		return c.client.ExecuteTransaction(ctx, transaction, priority)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := c.observer.TrackInFlight(transaction.Ops)
	defer c.observer.UntrackInFlight(transaction.Ops)
	results := c.sendTransaction(ctx, transaction, priority)
	checkTimer := time.NewTimer(tuning.TxnOutcomePollDelay)
	defer checkTimer.Stop()
	for {
		var outcome transactionResult
		select {
		case outcome = <-results:
			if !errors.Is(outcome.err, ErrOutcomeUnknown) {
				return outcome.result, outcome.err
			}
		case <-checkTimer.C:
			checkTimer.Reset(tuning.TxnOutcomePollInterval)
		}
		if revision, ok := c.observer.FindApplied(transaction.Ops, before); ok {
			outcomesFoundByWatch.Inc()
			return wire.TxnResponse{Revision: revision}, nil
		}
		if outcome.err != nil {
			return outcome.result, outcome.err
		}
	}
}

// transactionResult is the result of Client.ExecuteTransaction.
type transactionResult struct {
	result wire.TxnResponse
	err    error
}

// sendTransaction sends a transaction in a new goroutine, for which Run waits. The
// result is sent to the returned channel, which has capacity 1.
func (c *Committer) sendTransaction(
	ctx context.Context, transaction wire.TxnRequest, priority RequestPriority,
) <-chan transactionResult {
	results := make(chan transactionResult, 1)
	c.requests.Go(func() {
		result, err := c.client.ExecuteTransaction(ctx, transaction, priority)
		results <- transactionResult{result: result, err: err}
	})
	return results
}
