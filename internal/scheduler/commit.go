package scheduler

import (
	"context"
	"errors"
	"time"

	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// changeKind says what a change does, for the log.
type changeKind string

const (
	changeOfTasks           changeKind = "tasks of a job"
	changeOfJobEnd          changeKind = "end of a job"
	changeOfCancelledJob    changeKind = "cancellation with a job that is needed"
	changeOfGangStop        changeKind = "stop of a gang"
	changeOfMigration       changeKind = "migration of a job's records"
	changeOfGrant           changeKind = "grant of a team"
	changeOfMachineUp       changeKind = "machine up"
	changeOfMachineDown     changeKind = "machine down"
	changeOfMachineDeletion changeKind = "deletion of a machine"
	changeOfDeletedRecord   changeKind = "deletion of a machine's record"
)

// recordChange is one compare-and-swap of records that a cycle has decided on.
type recordChange struct {
	kind        changeKind
	subject     string // the job or machine that is changed, for the log
	transaction kvstore.Transaction
	keys        []string // of the records that no other change may write meanwhile
	shards      []int    // owned by this node, to be fenced if the outcome stays unknown
	bindings    []pendingBinding
	// harmlessWhenLate: it needs no fence, as the condition on its own record decides also when it is applied late.
	harmlessWhenLate bool
	onResult         func(applied bool)
}

// pendingBinding is a task that a change binds to a machine.
type pendingBinding struct {
	task         record.TaskRef
	machine      string
	chargedShard int // whose grant of the team's quota it uses
	team         string
	need         record.Resources
}

// commitChange commits a change and finishes it once its outcome is known. If no answer comes, its shards are fenced
// first, so that the change is either in the cluster state or can never be applied.
func (e *Engine) commitChange(ctx context.Context, id uint64, change *recordChange) {
	revision, err := e.commitWithin(ctx, tuning.CommitTimeout, change.transaction)
	rejected := errors.Is(err, kvstore.ErrRejected)
	switch {
	case rejected:
		e.log.Error("change rejected as malformed", "change", string(change.kind), "subject", change.subject,
			"err", err)
	case err != nil && !isNotApplied(err) && !change.harmlessWhenLate:
		e.log.Info("change has no known outcome", "change", string(change.kind), "subject", change.subject, "err", err)
		for _, shard := range change.shards {
			e.membership.Fence(ctx, shard)
		}
	}
	e.mu.Lock()
	e.changes.finish(id)
	if rejected {
		e.changes.reject(change, time.Now().Add(tuning.RejectedRecordPause))
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

// commitWithin commits a transaction, waiting for its answer for so long at most.
func (e *Engine) commitWithin(
	ctx context.Context, timeout time.Duration, transaction kvstore.Transaction,
) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.committer.Commit(ctx, transaction)
}

// isNotApplied reports whether an error of a commit proves that the transaction was not and will not be applied.
func isNotApplied(err error) bool {
	return errors.Is(err, kvstore.ErrConditionFailed) || errors.Is(err, kvstore.ErrUnavailable)
}
