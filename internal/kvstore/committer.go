package kvstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var outcomesLearnedFromWatch = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_state_answers_missed_total",
	Help: "Transactions of which the view showed that they were carried out before any answer came."})

// Transaction is one atomic change.
type Transaction struct {
	Conditions []wire.Condition
	Ops        []wire.Op
	// Urgent items (sessions, ownership, acceptance, cancellation) go first, then
	// Soon ones (work of high priority), Lazy ones, which nothing waits for, last.
	Urgent       bool
	HighPriority bool
	Background   bool
}

func (it *Transaction) encodedSize() int {
	n := 0
	for _, g := range it.Conditions {
		n += len(g.Key) + 24
	}
	for _, o := range it.Ops {
		n += len(o.PutKey) + len(o.DeleteKey) + len(o.Value) + 32
	}
	return n
}

// PutOp is an op that writes v.
func PutOp(key string, v any) wire.Op { return wire.Op{PutKey: key, Value: wire.MustEncode(v)} }

// DeleteOp is an op that removes a key.
func DeleteOp(key string) wire.Op { return wire.Op{DeleteKey: key} }

type pendingTransaction struct {
	Transaction
	ctx        context.Context
	enqueuedAt time.Time
	result     chan commitResult
}

// queueClass orders items: lower goes first. One that has waited for long counts as if
// it were of the class before, or it would never have its turn.
func (p *pendingTransaction) queueClass(now time.Time) int {
	waited := now.Sub(p.enqueuedAt)
	switch {
	case p.Urgent:
		return 0
	case p.HighPriority || !p.Background && waited > tuning.SoonPatience:
		return 1
	case p.Background && waited < tuning.LazyPatience:
		return 3
	}
	return 2
}

type commitResult struct {
	revision uint64
	err      error
}

// Committer groups items into transactions.
type Committer struct {
	client    *Client
	onApplied func(ops []wire.Op, rev uint64)
	observer  WatchObserver

	budgetGate chan struct{} // held by the lane that waits for the budget
	mu         sync.Mutex
	queue      []*pendingTransaction
	wake       chan struct{}
}

// NewCommitter makes a committer; after is called with what was applied before
// the items' callers learn of it.
func NewCommitter(c *Client, after func([]wire.Op, uint64)) *Committer {
	return &Committer{client: c, onApplied: after, wake: make(chan struct{}, 1), budgetGate: make(chan struct{}, 1)}
}

// WatchObserver is what a committer learns from beside its answers.
type WatchObserver interface {
	// IsOutdated tells whether a guard can't hold any more.
	IsOutdated(g wire.Condition) bool
	// FindApplied tells whether changes were made together after a revision, and at which.
	FindApplied(ops []wire.Op, since uint64) (rev uint64, ok bool)
	// TrackInFlight notes changes that are about to be sent, and gives a revision before any at which they
	// can be made; Sent ends that.
	TrackInFlight(ops []wire.Op) (before uint64)
	UntrackInFlight(ops []wire.Op)
}

// SetObserver tells the committer the view; before Run.
func (c *Committer) SetObserver(v WatchObserver) { c.observer = v }

// Run sends transactions until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range tuning.CommitLanes {
		wg.Go(func() { c.runWorker(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Commit commits one item and waits. ErrGuard and ErrUnavailable mean that it was
// not applied, ErrUnknown that it may have been or may yet be.
func (c *Committer) Commit(ctx context.Context, it Transaction) (uint64, error) {
	now := time.Now()
	p := &pendingTransaction{Transaction: it, ctx: ctx, enqueuedAt: now, result: make(chan commitResult, 1)}
	c.mu.Lock()
	if len(c.queue) >= tuning.CommitQueue {
		c.mu.Unlock()
		return 0, ErrUnavailable
	}
	i := slices.IndexFunc(c.queue, func(q *pendingTransaction) bool { return q.queueClass(now) > p.queueClass(now) })
	if i < 0 {
		i = len(c.queue)
	}
	c.queue = slices.Insert(c.queue, i, p)
	c.mu.Unlock()
	c.wakeWorker()
	select {
	case o := <-p.result:
		return o.revision, o.err
	case <-ctx.Done():
		// It may be on its way: only removal from the queue proves the contrary.
		c.mu.Lock()
		i := slices.Index(c.queue, p)
		if i >= 0 {
			c.queue = slices.Delete(c.queue, i, i+1)
		}
		c.mu.Unlock()
		if i >= 0 {
			return 0, ErrUnavailable
		}
		// Its transaction is on its way and answers soon as a rule: an unknown
		// outcome is dear, as the part is fenced for it and all other changes on
		// their way fail.
		select {
		case o := <-p.result:
			return o.revision, o.err
		case <-time.After(tuning.StateTimeout):
			return 0, ErrOutcomeUnknown
		}
	}
}

// MaxTransactionOps is how many changes one item may make.
func (c *Committer) MaxTransactionOps() int { return c.client.MaxTransactionOps() }

// MaxRecordBytes is what a record may take, in bytes of its JSON form; LeastRoom under the
// limits that are known to come.
func (c *Committer) MaxRecordBytes() int { return c.client.MaxRecordBytes() }

// UpcomingMaxRecordBytes is Room under the limits that are known to come.
func (c *Committer) UpcomingMaxRecordBytes() int { return c.client.UpcomingMaxRecordBytes() }

// QueueLength is how many changes wait for the budget.
func (c *Committer) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

func (c *Committer) wakeWorker() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Committer) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for {
			batch := c.nextBatch(ctx)
			if len(batch) == 0 {
				break
			}
			c.wakeWorker()
			c.commitBatch(ctx, batch)
		}
	}
}

// nextBatch takes the next batch once the budget allows to write it. What is urgent
// must not wait behind transactions that were put together before it came, so
// only one lane at a time waits for the budget.
func (c *Committer) nextBatch(ctx context.Context) []*pendingTransaction {
	c.budgetGate <- struct{}{}
	defer func() { <-c.budgetGate }()
	c.mu.Lock()
	none := len(c.queue) == 0
	c.mu.Unlock()
	if none {
		return nil
	}
	most, err := c.client.waitForWriteBudget(ctx)
	if err != nil {
		return nil
	}
	batch := c.rejectOutdated(c.takeBatch(most))
	for len(batch) == 0 && c.QueueLength() > 0 {
		batch = c.rejectOutdated(c.takeBatch(most))
	}
	n := 0
	for _, p := range batch {
		n += len(p.Ops)
	}
	c.client.spendWriteBudget(n)
	return batch
}

// rejectOutdated answers the items of a batch whose guards can't hold any more, and gives the others. A
// transaction that fails counts as one that changes something: where a part's record had changed, all
// that waited under the old one once took the budget for seconds to be refused item by item.
func (c *Committer) rejectOutdated(batch []*pendingTransaction) []*pendingTransaction {
	if c.observer == nil {
		return batch
	}
	return slices.DeleteFunc(batch, func(p *pendingTransaction) bool {
		if !slices.ContainsFunc(p.Conditions, c.observer.IsOutdated) {
			return false
		}
		p.result <- commitResult{err: ErrConditionFailed}
		return true
	})
}

// takeBatch removes a batch from the queue that fits one transaction, writes no more
// than the budget allows (but one item at least) and touches no key twice.
func (c *Committer) takeBatch(most int) []*pendingTransaction {
	limit := c.client.MaxTransactionOps()
	most = min(most, limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*pendingTransaction
	guards, keys := map[string]uint64{}, map[string]bool{}
	ops, bytes := 0, 0
	for i, p := range c.queue {
		if len(batch) > 0 && ops >= most {
			rest = append(rest, c.queue[i:]...)
			break
		}
		fits := len(batch) == 0 || ops+len(p.Ops) <= most &&
			len(guards)+len(p.Conditions) <= limit*tuning.GuardsPerOp &&
			bytes+p.encodedSize() <= tuning.TxnBytes
		for _, g := range p.Conditions {
			if s, ok := guards[g.Key]; ok && s != g.ModRevision {
				fits = false
			}
		}
		for _, o := range p.Ops {
			fits = fits && !keys[o.Key()]
		}
		if !fits {
			rest = append(rest, p)
			// Keep the order for whatever shares keys with this one.
			for _, o := range p.Ops {
				keys[o.Key()] = true
			}
			continue
		}
		batch = append(batch, p)
		ops += len(p.Ops)
		bytes += p.encodedSize()
		for _, g := range p.Conditions {
			guards[g.Key] = g.ModRevision
		}
		for _, o := range p.Ops {
			keys[o.Key()] = true
		}
	}
	c.queue = rest
	return batch
}

// commitBatch commits a batch. A failed guard fails only the items that named it; the
// others are sent again without them.
func (c *Committer) commitBatch(ctx context.Context, batch []*pendingTransaction) {
	for again := false; len(batch) > 0; again = true {
		batch = slices.DeleteFunc(batch, func(p *pendingTransaction) bool {
			if p.ctx.Err() == nil {
				return false
			}
			p.result <- commitResult{err: ErrUnavailable}
			return true
		})
		if len(batch) == 0 {
			return
		}
		var txn wire.TxnRequest
		seen, urgent := map[string]bool{}, false
		for _, p := range batch {
			for _, g := range p.Conditions {
				if !seen[g.Key] {
					seen[g.Key] = true
					txn.Conditions = append(txn.Conditions, g)
				}
			}
			txn.Ops = append(txn.Ops, p.Ops...)
			urgent = urgent || p.Urgent
		}
		if txn.Conditions == nil {
			txn.Conditions = []wire.Condition{}
		}
		if again {
			c.client.spendWriteBudget(len(txn.Ops)) // the first try was taken off the budget before
		}
		res, err := c.executeTransaction(ctx, txn, urgent)
		switch {
		case err == nil:
			c.onApplied(txn.Ops, res.Revision)
			for _, p := range batch {
				p.result <- commitResult{revision: res.Revision}
			}
			return
		case errors.Is(err, ErrConditionFailed):
			n := len(batch)
			batch = slices.DeleteFunc(batch, func(p *pendingTransaction) bool {
				for _, g := range p.Conditions {
					if slices.Contains(res.FailedKeys, g.Key) {
						p.result <- commitResult{err: ErrConditionFailed}
						return true
					}
				}
				return false
			})
			if len(batch) == n { // a 409 that names none of ours: not executed
				c.failBatch(batch, ErrConditionFailed)
				return
			}
		case errors.Is(err, ErrUnavailable):
			select {
			case <-ctx.Done():
				c.failBatch(batch, ErrUnavailable)
				return
			case <-time.After(tuning.StateRetry):
			}
		default:
			if errors.Is(err, ErrRejected) && len(batch) > 1 {
				// One item is at fault (an ended hold, an oversized value): send them one by one.
				for _, p := range batch {
					c.commitBatch(ctx, []*pendingTransaction{p})
				}
				return
			}
			c.failBatch(batch, err)
			return
		}
	}
}

// executeTransaction sends a transaction. Where its answer is late, the view may show before that it was carried out:
// an answer that is lost is no reason to wait for it, to take the outcome for unknown, and to fence a part.
func (c *Committer) executeTransaction(ctx context.Context, txn wire.TxnRequest, urgent bool) (wire.TxnResponse, error) {
	if c.observer == nil {
		return c.client.ExecuteTransaction(ctx, txn, urgent)
	}
	type answer struct {
		res wire.TxnResponse
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	since, got := c.observer.TrackInFlight(txn.Ops), make(chan answer, 1)
	defer c.observer.UntrackInFlight(txn.Ops)
	go func() {
		res, err := c.client.ExecuteTransaction(ctx, txn, urgent)
		got <- answer{res, err}
	}()
	look := time.NewTimer(tuning.AnswerLate)
	defer look.Stop()
	for {
		var a answer
		select {
		case a = <-got:
			if !errors.Is(a.err, ErrOutcomeUnknown) {
				return a.res, a.err
			}
		case <-look.C:
			look.Reset(tuning.AnswerLook)
		}
		if rev, ok := c.observer.FindApplied(txn.Ops, since); ok {
			outcomesLearnedFromWatch.Inc()
			return wire.TxnResponse{Revision: rev}, nil
		}
		if a.err != nil {
			return a.res, a.err
		}
	}
}

func (c *Committer) failBatch(batch []*pendingTransaction, err error) {
	for _, p := range batch {
		p.result <- commitResult{err: err}
	}
}
