package scheduler

import (
	"context"
	"errors"
	"time"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// changeKind describes what a change does, for the log.
type changeKind string

const (
	changeOfTasks           changeKind = "tasks of a job"
	changeOfJobEnd          changeKind = "end of a job"
	changeOfCancelledJob    changeKind = "cancellation with a dependency"
	changeOfGangStop        changeKind = "stop of a gang"
	changeOfMigration       changeKind = "migration of a job's records"
	changeOfGrant           changeKind = "grant of a team"
	changeOfMachineUp       changeKind = "machine up"
	changeOfMachineDown     changeKind = "machine down"
	changeOfMachineDeletion changeKind = "deletion of a machine"
	changeOfDeletedRecord   changeKind = "deletion of a machine's record"
)

// recordChange is a compare-and-swap transaction on records that a cycle has decided on.
type recordChange struct {
	kind        changeKind
	subject     string // job or machine that is changed, for the log
	transaction kvstore.Transaction
	keys        []string // records that no other change may write while this one is in flight
	shards      []int    // shards of this node to fence if the outcome stays unknown
	bindings    []inFlightBinding
	// safeIfAppliedLate is set if the change needs no fence when its outcome is unknown: the condition on the changed
	// record makes it safe even if the store applies it late.
	safeIfAppliedLate bool
	onResult          func(applied bool)
}

// inFlightBinding is the binding of a task to a machine by a change whose outcome is not known yet.
type inFlightBinding struct {
	task         record.TaskRef
	machine      string
	chargedShard int // shard whose grant of the team's quota the task uses
	team         string
	need         record.Resources
}

// commitChange commits a change and finishes it. If the outcome is unknown, it fences the change's shards before it
// finishes the change: after the fence the change either is in the cluster state or can never be applied. A change that
// is safe to apply late needs no fence.
func (e *Engine) commitChange(ctx context.Context, id uint64, change *recordChange) {
	revision, err := e.commitWithin(ctx, tuning.CommitTimeout, change.transaction)
	rejected := errors.Is(err, kvstore.ErrRejected)
	switch {
	case rejected:
		e.log.Error("key-value store rejected a change as malformed", "change", string(change.kind),
			"subject", change.subject, "err", err)
	case err != nil && !isNotApplied(err) && !change.safeIfAppliedLate:
		e.log.Info("outcome of a change is unknown", "change", string(change.kind), "subject", change.subject,
			"err", err)
		for _, shard := range change.shards {
			e.membership.Fence(ctx, shard)
		}
	}
	e.mu.Lock()
	e.changes.finish(id)
	if rejected {
		e.changes.reject(change, time.Now().Add(tuning.RejectedRecordBackoff))
	}
	e.mu.Unlock()
	if err != nil {
		e.log.Debug("change not applied", "change", string(change.kind), "subject", change.subject, "err", err)
	} else {
		e.log.Debug("change applied", "change", string(change.kind), "subject", change.subject, "revision", revision)
		for _, binding := range change.bindings {
			e.agents.RequestDispatch(binding.machine)
		}
	}
	if change.onResult != nil {
		change.onResult(err == nil)
	}
	e.wake()
}

// commitWithin commits a transaction and waits at most timeout for the response.
func (e *Engine) commitWithin(
	ctx context.Context, timeout time.Duration, transaction kvstore.Transaction,
) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.committer.Commit(ctx, transaction)
}

// isNotApplied reports whether a commit error proves that the transaction was not applied and never will be.
func isNotApplied(err error) bool {
	return errors.Is(err, kvstore.ErrConditionFailed) || errors.Is(err, kvstore.ErrUnavailable)
}
