package kvstore

import (
	"slices"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// batch gathers transactions that can be sent as one: it keeps within the
// limits, demands one revision of each key, and changes no key twice.
type batch struct {
	maxOps        int // by the budget
	maxConditions int
	transactions  []*pendingTransaction
	modRevisions  map[string]uint64 // that the conditions demand, by key
	keys          map[string]bool   // changed here, or by an earlier transaction that has to wait
	ops           int
	bytes         int
}

// newBatch makes an empty batch for a budget of writes and a limit of operations.
func newBatch(writes, maxTransactionOps int) *batch {
	return &batch{
		maxOps:        min(writes, maxTransactionOps),
		maxConditions: maxTransactionOps * tuning.TxnConditionsPerOp,
		modRevisions:  map[string]uint64{},
		keys:          map[string]bool{},
	}
}

// full reports whether the budget of writes is used up.
func (b *batch) full() bool { return len(b.transactions) > 0 && b.ops >= b.maxOps }

// fits reports whether a transaction can join the batch. The first one always
// fits the limits, or it would wait for ever.
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

// add takes a transaction in.
func (b *batch) add(p *pendingTransaction) {
	b.transactions = append(b.transactions, p)
	b.ops += len(p.Ops)
	b.bytes += p.encodedSize()
	for _, condition := range p.Conditions {
		b.modRevisions[condition.Key] = condition.ModRevision
	}
	b.reserveKeys(p)
}

// reserveKeys keeps transactions that come later and change the same keys out
// of the batch, so that changes of one key keep their order.
func (b *batch) reserveKeys(p *pendingTransaction) {
	for _, op := range p.Ops {
		b.keys[op.Key()] = true
	}
}

// takeBatch removes the next transactions from the queue that can be sent as
// one and write no more than the budget allows, but one transaction at least.
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

// mergeBatch makes one request of the transactions of a batch. It is urgent if
// one of them is.
func mergeBatch(transactions []*pendingTransaction) (wire.TxnRequest, RequestPriority) {
	// An empty list, not a missing one, is what the store takes for no conditions.
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

// rejectAbandoned answers the transactions whose callers no longer wait, and
// returns the others.
func rejectAbandoned(transactions []*pendingTransaction) []*pendingTransaction {
	return slices.DeleteFunc(transactions, func(p *pendingTransaction) bool {
		if !p.abandoned() {
			return false
		}
		p.finish(0, ErrUnavailable)
		return true
	})
}

// rejectFailed answers the transactions with a condition on one of the failed
// keys, and returns the others.
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

// finishBatch answers all transactions of a batch alike.
func finishBatch(transactions []*pendingTransaction, revision uint64, err error) {
	for _, p := range transactions {
		p.finish(revision, err)
	}
}
