package kvstore

import (
	"fmt"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Bytes that the encoding adds to the keys and values of a transaction.
const (
	conditionOverheadBytes = 24
	opOverheadBytes        = 32
)

// Priority orders transactions that wait for the write budget.
type Priority int

const (
	// PriorityBackground is for what nothing waits for.
	PriorityBackground Priority = iota - 1
	// PriorityNormal is the default.
	PriorityNormal
	// PriorityHigh is for the work of jobs of high priority.
	PriorityHigh
	// PriorityUrgent is for sessions, ownership, acceptance and cancellation.
	PriorityUrgent
)

// String names the priority.
func (p Priority) String() string {
	switch p {
	case PriorityBackground:
		return "background"
	case PriorityNormal:
		return "normal"
	case PriorityHigh:
		return "high"
	case PriorityUrgent:
		return "urgent"
	}
	return fmt.Sprintf("Priority(%d)", int(p))
}

// Transaction is a compare-and-swap: its operations are applied together, and
// only if all its conditions hold.
type Transaction struct {
	Conditions []wire.Condition
	Ops        []wire.Op
	Priority   Priority
}

func (t *Transaction) encodedSize() int {
	size := 0
	for _, condition := range t.Conditions {
		size += len(condition.Key) + conditionOverheadBytes
	}
	for _, op := range t.Ops {
		size += len(op.PutKey) + len(op.DeleteKey) + len(op.Value) + opOverheadBytes
	}
	return size
}

// PutOp is an operation that writes a value, which must be of a type that
// encodes.
func PutOp(key string, value any) wire.Op {
	return wire.Op{PutKey: key, Value: wire.MustEncode(value)}
}

// DeleteOp is an operation that deletes a key.
func DeleteOp(key string) wire.Op { return wire.Op{DeleteKey: key} }

// pendingTransaction is a transaction that has been handed to a Committer and
// has no result yet.
type pendingTransaction struct {
	Transaction

	callerDone <-chan struct{} // closed once the caller no longer waits
	enqueuedAt time.Time
	result     chan commitResult // of capacity 1
}

// commitResult is what became of a transaction.
type commitResult struct {
	revision uint64 // at which it was applied
	err      error
}

// effectivePriority is the priority by which a transaction is queued. What has
// waited for long counts one class higher, or it would never have its turn.
func (p *pendingTransaction) effectivePriority(now time.Time) Priority {
	waited := now.Sub(p.enqueuedAt)
	switch {
	case p.Priority == PriorityNormal && waited > tuning.NormalTxnMaxWait:
		return PriorityHigh
	case p.Priority == PriorityBackground && waited >= tuning.BackgroundTxnMaxWait:
		return PriorityNormal
	}
	return p.Priority
}

// abandoned reports whether the caller no longer waits.
func (p *pendingTransaction) abandoned() bool {
	select {
	case <-p.callerDone:
		return true
	default:
		return false
	}
}

// finish hands the result to the caller.
func (p *pendingTransaction) finish(revision uint64, err error) {
	p.result <- commitResult{revision: revision, err: err}
}
