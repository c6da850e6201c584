package kvstore

import (
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/wire"
)

// TestBatchNeverChangesAKeyTwice checks for arbitrary queues that a batch never
// changes a key twice, stays within the maximum number of operations and has no
// contradicting conditions, and that no transaction is lost.
func TestBatchNeverChangesAKeyTwice(t *testing.T) {
	const maxOps = 8
	keys := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} // more than maxOps
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{RequestsPerSecond: 1, WritesPerSecond: 1, MaxTransactionOps: maxOps}
		committer := NewCommitter(NewClient(testAddress, limits, nil), ignoreApplied)
		queued := rapid.IntRange(1, 40).Draw(t, "transactions")
		for range queued {
			var transaction Transaction
			for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 3, rapid.ID).Draw(t, "keys") {
				transaction.Ops = append(transaction.Ops, PutOp(key, 1))
				transaction.Conditions = append(transaction.Conditions, wire.Condition{
					Key: key, ModRevision: rapid.Uint64Range(0, 2).Draw(t, "mod revision"),
				})
			}
			committer.queue = append(committer.queue, &pendingTransaction{Transaction: transaction})
		}
		taken := 0
		for len(committer.queue) > 0 {
			transactions := committer.takeBatch(maxOps)
			if len(transactions) == 0 {
				t.Fatal("takeBatch returned an empty batch though the queue is not empty")
			}
			taken += len(transactions)
			checkBatch(t, transactions, maxOps)
		}
		if taken != queued {
			t.Fatalf("%d transactions lost", queued-taken)
		}
	})
}

// checkBatch checks that the transactions of a batch can be sent as one.
func checkBatch(t *rapid.T, transactions []*pendingTransaction, maxOps int) {
	changed, ops, modRevisions := map[string]bool{}, 0, map[string]uint64{}
	for _, p := range transactions {
		for _, op := range p.Ops {
			if changed[op.Key()] {
				t.Fatalf("key %s is changed twice in one batch", op.Key())
			}
			changed[op.Key()] = true
			ops++
		}
		for _, condition := range p.Conditions {
			if modRevision, ok := modRevisions[condition.Key]; ok && modRevision != condition.ModRevision {
				t.Fatalf("conditions of one batch contradict each other")
			}
			modRevisions[condition.Key] = condition.ModRevision
		}
	}
	if ops > maxOps {
		t.Fatalf("batch of %d operations exceeds the maximum", ops)
	}
}
