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

// WatchObserver is what a committer learns from a watch cache beside the
// store's answers.
type WatchObserver interface {
	// IsOutdated reports whether a condition can't hold any more.
	IsOutdated(condition wire.Condition) bool
	// TrackInFlight notes operations that are about to be sent. It returns a
	// revision below any at which they can be applied.
	TrackInFlight(ops []wire.Op) (before uint64)
	// UntrackInFlight ends what TrackInFlight began.
	UntrackInFlight(ops []wire.Op)
	// FindApplied reports whether the operations were applied together after a
	// revision, and at which.
	FindApplied(ops []wire.Op, after uint64) (revision uint64, ok bool)
}

// Committer groups transactions and sends them to the store. It is safe for
// concurrent use. Run owns all its goroutines.
type Committer struct {
	client    *Client
	onApplied func(ops []wire.Op, revision uint64)
	observer  WatchObserver // set before Run; nil: none

	workerWake chan struct{}  // of capacity 1
	budgetGate chan struct{}  // of capacity 1: filled by the worker that waits for the budget
	requests   sync.WaitGroup // sent to the store, also those that are no longer waited for

	mu    sync.Mutex // guards queue
	queue []*pendingTransaction
}

// NewCommitter returns a committer. It calls onApplied with what was applied
// before the callers of Commit learn of it.
func NewCommitter(client *Client, onApplied func(ops []wire.Op, revision uint64)) *Committer {
	return &Committer{
		client:     client,
		onApplied:  onApplied,
		workerWake: make(chan struct{}, 1),
		budgetGate: make(chan struct{}, 1),
	}
}

// SetObserver sets the watch cache to learn from. It must be called before Run.
func (c *Committer) SetObserver(observer WatchObserver) { c.observer = observer }

// MaxTransactionOps is the most operations that a transaction may have.
func (c *Committer) MaxTransactionOps() int { return c.client.MaxTransactionOps() }

// MaxRecordBytes is the largest record to write, in bytes of its JSON form.
func (c *Committer) MaxRecordBytes() int { return c.client.MaxRecordBytes() }

// UpcomingMaxRecordBytes is MaxRecordBytes under the announced limits.
func (c *Committer) UpcomingMaxRecordBytes() int { return c.client.UpcomingMaxRecordBytes() }

// QueueLength is the number of transactions that wait for the budget.
func (c *Committer) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// Run sends transactions until ctx ends, and returns once no request is on its
// way.
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
// applied. ErrConditionFailed and ErrUnavailable prove that it was not applied;
// ErrOutcomeUnknown means that it may have been or may yet be; ErrRejected means
// that the store answered with a status of another kind, as to a malformed one.
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
	// Only its removal from the queue proves that it isn't on its way.
	if c.dequeue(p) {
		return 0, ErrUnavailable
	}
	// Its transaction answers soon as a rule. An unknown outcome is dear: the
	// shard is fenced for it, and all its other changes on their way fail.
	select {
	case result := <-p.result:
		return result.revision, result.err
	case <-time.After(tuning.KVRequestTimeout):
		return 0, ErrOutcomeUnknown
	}
}

// enqueue puts a transaction behind those of its priority. It reports whether
// the queue had space.
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

func (c *Committer) wakeWorker() {
	select {
	case c.workerWake <- struct{}{}:
	default:
	}
}

// runWorker sends batches, one after the other, until ctx ends.
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

// nextBatch takes the next batch once the budget allows to write it. Urgent
// transactions must not wait behind a batch that was put together before they
// came, so only one worker at a time waits for the budget.
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

// rejectOutdated answers the transactions with a condition that can't hold any
// more, and returns the others. The store counts a transaction that fails like
// one that changes something: without this, all that waited under an earlier
// record of a shard would use up the budget for seconds, only to be refused.
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

// commitBatch sends a batch until each of its transactions has a result. A
// condition that fails fails only the transactions that have it; the others are
// sent again without them.
func (c *Committer) commitBatch(ctx context.Context, transactions []*pendingTransaction) {
	for isRetry := false; ; isRetry = true {
		transactions = rejectAbandoned(transactions)
		if len(transactions) == 0 {
			return
		}
		merged, priority := mergeBatch(transactions)
		if isRetry {
			c.client.spendWriteBudget(len(merged.Ops)) // nextBatch did so for the first attempt
		}
		result, err := c.executeTransaction(ctx, merged, priority)
		switch {
		case err == nil:
			c.onApplied(merged.Ops, result.Revision)
			finishBatch(transactions, result.Revision, nil)
			return
		case errors.Is(err, ErrConditionFailed):
			remaining := rejectFailed(transactions, result.FailedKeys)
			if len(remaining) == len(transactions) { // none of ours is named: not executed
				finishBatch(transactions, 0, ErrConditionFailed)
				return
			}
			transactions = remaining
		case errors.Is(err, ErrUnavailable):
			if pause(ctx, tuning.KVRetryPause) != nil {
				finishBatch(transactions, 0, ErrUnavailable)
				return
			}
		case errors.Is(err, ErrRejected) && len(transactions) > 1:
			// One of them is at fault (an expired lease, an oversized value).
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

// executeTransaction sends a transaction and waits for its outcome, from the
// store's answer or, where that is late or lost, from the watch cache: a lost
// answer to what was applied is no reason to take the outcome for unknown and
// to fence a shard.
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
	answers := c.sendTransaction(ctx, transaction, priority)
	checkTimer := time.NewTimer(tuning.TxnAnswerLateAfter)
	defer checkTimer.Stop()
	for {
		var answer transactionAnswer
		select {
		case answer = <-answers:
			if !errors.Is(answer.err, ErrOutcomeUnknown) {
				return answer.result, answer.err
			}
		case <-checkTimer.C:
			checkTimer.Reset(tuning.TxnOutcomePollInterval)
		}
		if revision, ok := c.observer.FindApplied(transaction.Ops, before); ok {
			outcomesLearnedFromWatch.Inc()
			return wire.TxnResponse{Revision: revision}, nil
		}
		if answer.err != nil {
			return answer.result, answer.err
		}
	}
}

// transactionAnswer is the client's answer to a transaction.
type transactionAnswer struct {
	result wire.TxnResponse
	err    error
}

// sendTransaction sends a transaction in the background; Run waits for its end.
func (c *Committer) sendTransaction(
	ctx context.Context, transaction wire.TxnRequest, priority RequestPriority,
) <-chan transactionAnswer {
	answers := make(chan transactionAnswer, 1)
	c.requests.Go(func() {
		result, err := c.client.ExecuteTransaction(ctx, transaction, priority)
		answers <- transactionAnswer{result: result, err: err}
	})
	return answers
}
