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

// cancellation is a transaction that marks a job as cancelled or requests its cancellation.
type cancellation struct {
	transaction kvstore.Transaction
	// outcome is the result of the cancellation once the transaction has been applied.
	outcome markOutcome
}

// cancelJob cancels a job and returns its final state once that state may be confirmed to the user. It returns
// errTasksStopping if a task of the job is still bound to a machine when the wait for its release ends. A job
// that has ended is not changed; its final state is returned.
func (s *Server) cancelJob(ctx context.Context, id string) (wire.JobState, error) {
	for ctx.Err() == nil {
		status, err := s.jobStatus(ctx, id)
		if err != nil {
			return "", err
		}
		if status.State.IsFinal() {
			return status.State, nil
		}
		outcome, err := s.markCancelled(ctx, id)
		switch {
		case errors.Is(err, kvstore.ErrConditionFailed):
			continue
		case errors.Is(err, errOwnersUnsettled):
			return "", errOwnersUnsettled
		case err != nil:
			return "", errStoreUnavailable
		case outcome == cancellationConfirmed:
			return wire.JobCancelled, nil
		case outcome == cancellationMarkedAtOnce:
			continue
		}
		if !s.waitUntilReleased(ctx, id) {
			return "", errTasksStopping
		}
	}
	return "", errStoreUnavailable
}

// markOutcome is the result of marking a job as cancelled.
type markOutcome int

const (
	nothingToMark            markOutcome = iota // the job is not live, or is already stopping or complete
	cancellationRequested                       // the job may be marked only once its tasks are released
	cancellationMarked                          // the job is marked; confirmed only once its tasks are released
	cancellationMarkedAtOnce                    // the job is marked; confirmed at once unless it was done before
	cancellationConfirmed                       // the cancellation may be confirmed to the user at once
)

// String returns the outcome as it is logged.
func (o markOutcome) String() string {
	return [...]string{"nothing to mark", "requested", "marked", "marked at once", "confirmed"}[o]
}

// markCancelled marks a live job as cancelled or requests its cancellation. After errOwnersUnsettled
// nothing has been written; the other errors are those of Committer.Commit.
func (s *Server) markCancelled(ctx context.Context, id string) (markOutcome, error) {
	change, err := s.newCancellation(id)
	if err != nil || change.outcome == nothingToMark {
		return nothingToMark, err
	}
	if _, err := s.committer.Commit(ctx, change.transaction); err != nil {
		return nothingToMark, err
	}
	s.logger.Debug("job cancelled", "job_id", id, "outcome", change.outcome)
	return change.outcome, nil
}

// newCancellation returns the transaction that cancels a live job; its outcome is nothingToMark if the job needs no
// cancellation. The transaction is conditional on the revision of the job's record. Because it writes that record, a
// later transaction that is conditional on the old revision can bind no task.
func (s *Server) newCancellation(id string) (cancellation, error) {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	if job == nil || !job.HasRecord || job.Cancelled() || job.Complete() {
		return cancellation{}, nil
	}
	if s.clusterState.SchemaVersion < tuning.SchemaVersionConfirmedCancel {
		return s.newCancellationWithOlderNodes(job)
	}
	marked := *job
	marked.MarkCancelled(time.Now().UnixMilli(), true)
	outcome := cancellationMarked
	if job.FullyReleased() && job.ChunkCount() == 1 { // no other record of the job can hold a bound task
		outcome = cancellationConfirmed
	}
	return cancellation{s.encodeMarked(job, &marked, nil), outcome}, nil
}

// newCancellationWithOlderNodes is newCancellation for schema versions before tuning.SchemaVersionConfirmedCancel: some
// node may still report a job as cancelled as soon as it reads the mark. At that moment a start command may still be on
// its way to a machine, or the machine may be fetching the image. The mark is therefore written only once no task is
// bound; until then the transaction writes a cancellation request, which older versions ignore. If the owner of a shard
// ignores such requests, only the mark makes it stop the tasks: the mark is then written and confirmed at once, as that
// owner would do, and the leases of the tasks expire in time. A job with several records may have completed in a change
// of another one, which does not conflict with the mark: then its status, read after the mark, decides. The transaction
// is conditional on the schema version not having changed. The caller must hold the cluster state's lock.
func (s *Server) newCancellationWithOlderNodes(job *clusterstate.Job) (cancellation, error) {
	support, conditions := s.clusterState.CancelRequestSupport()
	// Binding a task in another record of the job does not conflict with the mark. Once all owners honor the request
	// and the cluster state is as new as the request, no such binding can be missing from it or follow.
	noUnseenBindings := job.CancelRequested() && support == clusterstate.CancelRequestsHonored &&
		s.clusterState.HasAppliedRevision(job.ModRevision)
	inOneRecord := job.ChunkCount() == 1
	released := job.FullyReleased() && (inOneRecord || noUnseenBindings)
	marked, outcome, now := *job, cancellationConfirmed, time.Now().UnixMilli()
	switch {
	case released:
		marked.MarkCancelled(now, false)
	case support == clusterstate.CancelRequestsIgnored:
		marked.MarkCancelled(now, false)
		if !inOneRecord { // the job may have completed in another record
			outcome = cancellationMarkedAtOnce
		}
	case support == clusterstate.CancelRequestsUnsettled:
		return cancellation{}, errOwnersUnsettled
	case job.CancelRequested():
		return cancellation{}, nil
	default:
		marked.RequestCancel(now)
		outcome = cancellationRequested
	}
	versionUnchanged := wire.Condition{
		Key: record.SchemaVersionKey, ModRevision: s.clusterState.SchemaVersionModRevision,
	}
	return cancellation{s.encodeMarked(job, &marked, append(conditions, versionUnchanged)), outcome}, nil
}

// encodeMarked returns the transaction that replaces the record of job by that of marked, subject to the extra
// conditions. If the record could grow too large to be written again, the same transaction splits it into a finer
// layout. The caller must hold the cluster state's lock.
func (s *Server) encodeMarked(job, marked *clusterstate.Job, extraConditions []wire.Condition) kvstore.Transaction {
	limits := s.clusterState.SizeLimits(s.committer.MaxRecordBytes())
	if s.clusterState.SchemaVersion >= tuning.SchemaVersionDependencies && job.NeedsMigration(limits) {
		if migration, ok := marked.MigrateChunk(limits, 0); ok {
			return kvstore.Transaction{
				Conditions: append(migration.Conditions, extraConditions...),
				Ops:        migration.Ops,
				Priority:   kvstore.PriorityUrgent,
			}
		}
	}
	op := marked.EncodeChunk(0, nil)
	unchanged := []wire.Condition{{Key: op.PutKey, ModRevision: job.ModRevision}}
	return kvstore.Transaction{
		Conditions: slices.Concat(extraConditions, unchanged),
		Ops:        []wire.Op{op},
		Priority:   kvstore.PriorityUrgent,
	}
}

// waitUntilReleased waits until the cluster state shows no bound task of a stopping job. It returns false if that
// takes longer than tuning.CancelWaitTimeout, or at once if tuning.MaxWaitingCancels requests are waiting already:
// cancellations of many jobs on unreachable machines must not take the request slots that submissions need.
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

// isReleased reports whether a stopping job has no bound task. It is also true for a job that is not live or not
// stopping.
func (s *Server) isReleased(id string) bool {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	return job == nil || !job.HasRecord || !job.Stopping() || job.FullyReleased()
}
