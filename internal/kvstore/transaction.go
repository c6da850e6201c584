package kvstore

import (
	"fmt"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Estimated number of bytes that the encoding adds to the keys and values of a
// transaction, per condition and per operation.
const (
	conditionOverheadBytes = 24
	opOverheadBytes        = 32
)

// Priority determines the order of the transactions that wait for the write budget.
type Priority int

const (
	// PriorityBackground is for transactions that nothing waits for.
	PriorityBackground Priority = iota - 1
	// PriorityNormal is the default.
	PriorityNormal
	// PriorityHigh is for changes of jobs with high priority.
	PriorityHigh
	// PriorityUrgent is for sessions, ownership, acceptance and cancellation of
	// jobs, and for urgent scheduling decisions such as those for production jobs.
	PriorityUrgent
)

// String returns the name of the priority.
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

// Transaction is an atomic compare-and-swap: its operations are applied together,
// and only if all its conditions hold.
type Transaction struct {
	Conditions []wire.Condition
	Ops        []wire.Op
	Priority   Priority
}

// encodedSize returns an estimate of the size of the encoded transaction in bytes.
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

// PutOp returns an operation that puts a value under a key. It panics if the value
// can't be encoded.
func PutOp(key string, value any) wire.Op {
	return wire.Op{PutKey: key, Value: wire.MustEncode(value)}
}

// DeleteOp returns an operation that deletes a key.
func DeleteOp(key string) wire.Op { return wire.Op{DeleteKey: key} }

// pendingTransaction is a transaction that was passed to a Committer and has no
// result yet.
type pendingTransaction struct {
	Transaction

	callerDone <-chan struct{} // closed when the caller stops waiting
	enqueuedAt time.Time
	result     chan commitResult // of capacity 1
}

// commitResult is the result of a transaction.
type commitResult struct {
	revision uint64 // revision at which it was applied; 0 with an error
	err      error
}

// effectivePriority returns the priority by which a transaction is ordered in the
// queue. A transaction that has waited for long is raised by one level, to avoid
// starvation.
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

// abandoned reports whether the caller has stopped waiting.
func (p *pendingTransaction) abandoned() bool {
	select {
	case <-p.callerDone:
		return true
	default:
		return false
	}
}

// finish delivers the result to the caller. It must be called once per transaction.
func (p *pendingTransaction) finish(revision uint64, err error) {
	p.result <- commitResult{revision: revision, err: err}
}
