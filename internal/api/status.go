package api

import (
	"context"
	"fmt"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// jobStatus gives a job's state as of after the call, or errNoSuchJob if it was never accepted; any other
// error means that neither is certain.
func (s *Server) jobStatus(ctx context.Context, id string) (wire.JobStatus, error) {
	if !wire.IsValidJobID(id) {
		return wire.JobStatus{}, errNoSuchJob
	}
	if final, ok := s.finalRecords.cached(id); ok {
		return finalStatus(id, final), nil
	}
	// Another node may have answered from a newer cluster state than this one: wait for a revision that
	// was fetched after the request came.
	if err := s.barrier.WaitForReadBarrier(ctx); err != nil {
		return wire.JobStatus{}, fmt.Errorf("read barrier: %w", err)
	}
	status, isLive, err := s.liveStatus(id)
	if isLive {
		return status, err
	}
	// Not live after the barrier: it is over, or was never accepted before it.
	final, err := s.finalRecords.read(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return finalStatus(id, final), nil
}

// liveStatus gives the state of a live job; isLive is false for any other.
func (s *Server) liveStatus(id string) (status wire.JobStatus, isLive bool, err error) {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	if job == nil || !job.HasRecord {
		return wire.JobStatus{}, false, nil
	}
	if job.OffloadedFrom != nil {
		return wire.JobStatus{}, true, errOwnedByOtherCell
	}
	state := s.liveState(job)
	undecided := s.clusterState.OutcomeUndecided(job) && state != wire.JobCancelled && state != wire.JobFailed
	if undecided || s.isCancellationUncertain(job) {
		return wire.JobStatus{}, true, errDependencyUndecided
	}
	return wire.JobStatus{ID: id, State: state, TasksDone: job.DoneCount, TasksRunning: job.BoundCount}, true, nil
}

// liveState gives the state of a live job. Callers hold the lock of the cluster state.
func (s *Server) liveState(job *clusterstate.Job) wire.JobState {
	switch {
	case job.Complete():
		return wire.JobDone
	case s.isCancellationConfirmed(job):
		return job.CancelledStatus()
	case job.BoundCount > 0, job.OffloadedTo != nil:
		return wire.JobRunning
	}
	return wire.JobPending
}

// isCancellationConfirmed reports whether a job is cancelled and may be called so. A cancellation that is
// confirmed after release is so once no task is left, never before: nothing that renews a lease behind
// a partition can then keep one beyond its time. A binding in a further chunk may have been committed
// just before the cancellation, so the cluster state must be as new as that. Callers hold the lock of the
// cluster state.
func (s *Server) isCancellationConfirmed(job *clusterstate.Job) bool {
	if !job.Cancelled() {
		return false
	}
	return !job.CancelAfterRelease || job.FullyReleased() && s.barrier.Revision() >= job.ModRevision
}

// isCancellationUncertain reports whether a cancellation may be neither confirmed nor denied: a node of a
// version before tuning.SchemaVersionConfirmedCancel may have confirmed it at once, or it may be the late change of one
// that has ended. That passes with the last task. Callers hold the lock of the cluster state.
func (s *Server) isCancellationUncertain(job *clusterstate.Job) bool {
	if !job.Cancelled() || job.CancelAfterRelease || job.BoundCount == 0 {
		return false
	}
	state := s.clusterState
	return state.SchemaVersion >= tuning.SchemaVersionConfirmedCancel &&
		job.ModRevision > state.SchemaVersionModRevision
}

func finalStatus(id string, final record.Final) wire.JobStatus {
	return wire.JobStatus{ID: id, State: final.Status, TasksDone: final.DoneCount}
}
