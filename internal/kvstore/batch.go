package kvstore

import (
	"slices"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// batch collects transactions that can be sent as one transaction: together they
// stay within the limits, their conditions don't contradict each other, and no
// key is changed twice.
type batch struct {
	maxOps        int // bounded by the write budget and by the store
	maxConditions int
	transactions  []*pendingTransaction
	modRevisions  map[string]uint64 // revisions required by the conditions, by key
	keys          map[string]bool   // keys changed by the batch or by a skipped transaction ahead in the queue
	ops           int
	bytes         int
}

// newBatch returns an empty batch for a write budget and the maximum number of
// operations of a transaction.
func newBatch(writes, maxTransactionOps int) *batch {
	return &batch{
		maxOps:        min(writes, maxTransactionOps),
		maxConditions: maxTransactionOps * tuning.TxnConditionsPerOp,
		modRevisions:  map[string]uint64{},
		keys:          map[string]bool{},
	}
}

// full reports whether the batch uses up the write budget.
func (b *batch) full() bool { return len(b.transactions) > 0 && b.ops >= b.maxOps }

// fits reports whether a transaction can be added to the batch. The limits don't
// apply to the first transaction of a batch: one that exceeds them would
// otherwise never be sent.
func (b *batch) fits(p *pendingTransaction) bool {
	withinLimits := len(b.transactions) == 0 ||
		b.ops+len(p.Ops) <= b.maxOps &&
			len(b.modRevisions)+len(p.Conditions) <= b.maxConditions &&
			b.bytes+p.encodedSize() <= tuning.TxnMaxBytes
	if !withinLimits {
		return false
	}
	for _, condition := range p.Conditions {
		if modRevision, ok := b.modRevisions[condition.Key]; ok && modRevision != condition.ModRevision {
			return false
		}
	}
	return !slices.ContainsFunc(p.Ops, func(op wire.Op) bool { return b.keys[op.Key()] })
}

// add adds a transaction to the batch.
func (b *batch) add(p *pendingTransaction) {
	b.transactions = append(b.transactions, p)
	b.ops += len(p.Ops)
	b.bytes += p.encodedSize()
	for _, condition := range p.Conditions {
		b.modRevisions[condition.Key] = condition.ModRevision
	}
	b.reserveKeys(p)
}

// reserveKeys reserves the keys that a transaction changes: transactions further
// back in the queue that change one of them no longer fit the batch. This keeps
// the changes of a key in order.
func (b *batch) reserveKeys(p *pendingTransaction) {
	for _, op := range p.Ops {
		b.keys[op.Key()] = true
	}
}

// takeBatch removes from the queue the next transactions that can be sent as one
// and that change at most writes keys. It takes at least one transaction, even if
// that one exceeds the limits, unless the queue is empty.
func (c *Committer) takeBatch(writes int) []*pendingTransaction {
	next := newBatch(writes, c.client.MaxTransactionOps())
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []*pendingTransaction
	for i, p := range c.queue {
		if next.full() {
			rest = append(rest, c.queue[i:]...)
			break
		}
		if next.fits(p) {
			next.add(p)
			continue
		}
		rest = append(rest, p)
		next.reserveKeys(p)
	}
	c.queue = rest
	return next.transactions
}

// mergeBatch merges the transactions of a batch into one request. The request is
// urgent if at least one transaction is.
func mergeBatch(transactions []*pendingTransaction) (wire.TxnRequest, RequestPriority) {
	// The store requires a list of conditions, even if there are none.
	merged := wire.TxnRequest{Conditions: []wire.Condition{}}
	priority := OrdinaryRequest
	conditionKeys := map[string]bool{}
	for _, p := range transactions {
		for _, condition := range p.Conditions {
			if !conditionKeys[condition.Key] {
				conditionKeys[condition.Key] = true
				merged.Conditions = append(merged.Conditions, condition)
			}
		}
		merged.Ops = append(merged.Ops, p.Ops...)
		if p.Priority == PriorityUrgent {
			priority = UrgentRequest
		}
	}
	return merged, priority
}

// rejectAbandoned completes the transactions whose callers no longer wait with
// ErrUnavailable, and returns the others.
func rejectAbandoned(transactions []*pendingTransaction) []*pendingTransaction {
	return slices.DeleteFunc(transactions, func(p *pendingTransaction) bool {
		if !p.abandoned() {
			return false
		}
		p.finish(0, ErrUnavailable)
		return true
	})
}

// rejectFailed completes the transactions that have a condition on one of the
// failed keys with ErrConditionFailed, and returns the others.
func rejectFailed(transactions []*pendingTransaction, failedKeys []string) []*pendingTransaction {
	return slices.DeleteFunc(transactions, func(p *pendingTransaction) bool {
		failed := slices.ContainsFunc(p.Conditions, func(condition wire.Condition) bool {
			return slices.Contains(failedKeys, condition.Key)
		})
		if failed {
			p.finish(0, ErrConditionFailed)
		}
		return failed
	})
}

// finishBatch completes all transactions of a batch with the same result.
func finishBatch(transactions []*pendingTransaction, revision uint64, err error) {
	for _, p := range transactions {
		p.finish(revision, err)
	}
}
