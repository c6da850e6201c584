package api

import (
	"context"
	"errors"
	"slices"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// cancellation is the change that marks a job as cancelled.
type cancellation struct {
	transaction kvstore.Transaction
	// confirmed: the answer to the user needs only that the change is durable.
	confirmed bool
}

// cancelJob cancels a job and gives its final state once that may be confirmed: until no task of it is
// on a machine the answer is errTasksStopping. A job that is over stays as it is.
func (s *Server) cancelJob(ctx context.Context, id string) (wire.JobState, error) {
	for marked := false; ctx.Err() == nil; {
		status, err := s.jobStatus(ctx, id)
		if err != nil {
			return "", err
		}
		if status.State.IsFinal() {
			return status.State, nil
		}
		if !marked {
			outcome, err := s.markCancelled(ctx, id)
			if errors.Is(err, kvstore.ErrConditionFailed) {
				continue
			}
			if err != nil {
				return "", errStoreUnavailable
			}
			if outcome == cancellationConfirmed {
				return wire.JobCancelled, nil
			}
			marked = outcome == cancellationMarked
		}
		if !s.waitUntilReleased(ctx, id) {
			return "", errTasksStopping
		}
	}
	return "", errStoreUnavailable
}

// markOutcome is what marking a job as cancelled has come to.
type markOutcome int

const (
	nothingToMark         markOutcome = iota // it is not live, or is cancelled or complete already
	cancellationMarked                       // its tasks are to be released first
	cancellationConfirmed                    // it may be confirmed to the user at once
)

// String names the outcome.
func (o markOutcome) String() string {
	return [...]string{"nothing to mark", "marked", "confirmed"}[o]
}

// markCancelled marks a live job as cancelled. kvstore.ErrConditionFailed proves that it was not; any other
// error leaves that open.
func (s *Server) markCancelled(ctx context.Context, id string) (markOutcome, error) {
	change, ok := s.cancellationOf(id)
	if !ok {
		return nothingToMark, nil
	}
	if _, err := s.committer.Commit(ctx, change.transaction); err != nil {
		return nothingToMark, err
	}
	s.logger.Debug("job cancelled", "job_id", id, "confirmed", change.confirmed)
	if change.confirmed {
		return cancellationConfirmed, nil
	}
	return cancellationMarked, nil
}

// cancellationOf gives the change that marks a live job as cancelled; ok is false if there is nothing to
// mark. The condition on the job's record ensures that no task can be bound by a later transaction that
// still rests on the record before it.
//
// It is confirmed at once if no task was bound before it, or if leases still end in time by themselves,
// as not all nodes are known to confirm cancellations late: then the schema version is a condition too.
func (s *Server) cancellationOf(id string) (change cancellation, ok bool) {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	if job == nil || !job.HasRecord || job.Cancelled() || job.Complete() {
		return cancellation{}, false
	}
	marked := *job
	marked.CancelledAtMs = max(time.Now().UnixMilli(), 1)
	marked.CancelAfterRelease = s.clusterState.SchemaVersion >= tuning.SchemaVersionConfirmedCancel
	var versionConditions []wire.Condition
	if marked.CancelAfterRelease {
		change.confirmed = job.FullyReleased() && job.ChunkCount() == 1 // no task is bound in another record
	} else {
		change.confirmed = true
		versionConditions = []wire.Condition{
			{Key: record.SchemaVersionKey, ModRevision: s.clusterState.SchemaVersionModRevision},
		}
	}
	change.transaction = s.encodeMarked(job, &marked, versionConditions)
	return change, true
}

// encodeMarked gives the transaction that writes the marked record of a job, under further conditions. A
// record that could become too large to be written again is brought into a finer layout by the same
// transaction. Callers hold the lock of the cluster state.
func (s *Server) encodeMarked(job, marked *clusterstate.Job, further []wire.Condition) kvstore.Transaction {
	limits := s.clusterState.SizeLimits(s.committer.MaxRecordBytes())
	if s.clusterState.SchemaVersion >= tuning.SchemaVersionDependencies && job.NeedsMigration(limits) {
		if migration, ok := marked.MigrateChunk(limits, 0); ok {
			return kvstore.Transaction{
				Conditions: append(migration.Conditions, further...),
				Ops:        migration.Ops,
				Priority:   kvstore.PriorityUrgent,
			}
		}
	}
	op := marked.EncodeChunk(0, nil)
	unchanged := []wire.Condition{{Key: op.PutKey, ModRevision: job.ModRevision}}
	return kvstore.Transaction{
		Conditions: slices.Concat(further, unchanged),
		Ops:        []wire.Op{op},
		Priority:   kvstore.PriorityUrgent,
	}
}

// waitUntilReleased waits until no task of a cancelled job is bound, as far as this cluster state goes, for
// as long as a cancellation may take; it returns false if that takes longer. Only a bounded number
// of requests waits at once: many jobs on machines that can't be reached must not keep submissions out.
func (s *Server) waitUntilReleased(ctx context.Context, id string) bool {
	select {
	case s.cancellationSlots <- struct{}{}:
		defer func() { <-s.cancellationSlots }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CancelWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(tuning.CancelPollInterval)
	defer ticker.Stop()
	for !s.isReleased(id) {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// isReleased reports whether no task of a cancelled job is bound.
func (s *Server) isReleased(id string) bool {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	return job == nil || !job.HasRecord || !job.Cancelled() || job.FullyReleased()
}
