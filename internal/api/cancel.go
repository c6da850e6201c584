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

// cancellation is the change that marks a job as cancelled, or that requests it.
type cancellation struct {
	transaction kvstore.Transaction
	// outcome is what the change comes to once it is durable.
	outcome markOutcome
}

// cancelJob cancels a job and gives its final state once that may be confirmed: until no task of it is
// on a machine the answer is errTasksStopping. A job that is over stays as it is.
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
	nothingToMark         markOutcome = iota // it is not live, or is stopping or complete already
	cancellationRequested                    // its tasks are to be released before it is marked
	cancellationMarked                       // its tasks are to be released before that is reported
	cancellationConfirmed                    // it may be confirmed to the user at once
)

// String names the outcome.
func (o markOutcome) String() string {
	return [...]string{"nothing to mark", "requested", "marked", "confirmed"}[o]
}

// markCancelled marks a live job as cancelled, or requests that. kvstore.ErrConditionFailed proves that it was not,
// as does errOwnersUnsettled; any other error leaves that open.
func (s *Server) markCancelled(ctx context.Context, id string) (markOutcome, error) {
	change, err := s.cancellationOf(id)
	if err != nil || change.outcome == nothingToMark {
		return nothingToMark, err
	}
	if _, err := s.committer.Commit(ctx, change.transaction); err != nil {
		return nothingToMark, err
	}
	s.logger.Debug("job cancelled", "job_id", id, "outcome", change.outcome)
	return change.outcome, nil
}

// cancellationOf gives the change that marks a live job as cancelled; its outcome is nothingToMark if there is
// none. The condition on the job's record ensures that no task can be bound by a later transaction that still rests
// on the record before it.
func (s *Server) cancellationOf(id string) (cancellation, error) {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	if job == nil || !job.HasRecord || job.Cancelled() || job.Complete() {
		return cancellation{}, nil
	}
	if s.clusterState.SchemaVersion < tuning.SchemaVersionConfirmedCancel {
		return s.cancellationAmongOlderVersions(job)
	}
	marked := *job
	marked.MarkCancelled(time.Now().UnixMilli(), true)
	outcome := cancellationMarked
	if job.FullyReleased() && job.ChunkCount() == 1 { // no task is bound in another record
		outcome = cancellationConfirmed
	}
	return cancellation{s.encodeMarked(job, &marked, nil), outcome}, nil
}

// cancellationAmongOlderVersions gives the change while some node may be of a version that reports a mark as soon
// as it reads it: until then a start that was sent may still be on its way, or its machine fetch the image. So the
// mark is written only once no task is bound; before that the change requests it, which older versions do not see.
// Where an owner ignores such requests nothing but the mark makes it stop the tasks: it is written and confirmed at
// once, as that owner would, and leases end in time by themselves. That the schema version still is the one decided
// on is a condition. Callers hold the lock of the cluster state.
func (s *Server) cancellationAmongOlderVersions(job *clusterstate.Job) (cancellation, error) {
	support, conditions := s.clusterState.CancelRequestSupport()
	// A task bound in a further record does not collide with the mark: none may come after the request.
	allReleased := job.CancelRequested() && support == clusterstate.CancelRequestsHonored &&
		s.barrier.Revision() >= job.ModRevision
	released := job.FullyReleased() && (job.ChunkCount() == 1 || allReleased)
	marked, outcome, now := *job, cancellationConfirmed, time.Now().UnixMilli()
	switch {
	case released, support == clusterstate.CancelRequestsIgnored:
		marked.MarkCancelled(now, false)
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

// waitUntilReleased waits until no task of a stopping job is bound, as far as this cluster state goes, for
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

// isReleased reports whether no task of a stopping job is bound.
func (s *Server) isReleased(id string) bool {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	return job == nil || !job.HasRecord || !job.Stopping() || job.FullyReleased()
}
