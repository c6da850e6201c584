package api

import (
	"context"
	"fmt"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// jobStatus returns a job's status, no older than the start of the call. It returns errNoSuchJob if the job was never
// accepted; any other error means that it is not certain whether the job exists or what its state is.
func (s *Server) jobStatus(ctx context.Context, id string) (wire.JobStatus, error) {
	if !wire.IsValidJobID(id) {
		return wire.JobStatus{}, errNoSuchJob
	}
	if final, ok := s.finalRecords.cached(id); ok {
		return finalStatus(id, final), nil
	}
	// Another node may already have answered from a newer cluster state than this node's: wait for a revision that
	// was fetched after this request arrived.
	if err := s.barrier.WaitForReadBarrier(ctx); err != nil {
		return wire.JobStatus{}, fmt.Errorf("read barrier: %w", err)
	}
	status, isLive, err := s.liveStatus(id)
	if isLive {
		return status, err
	}
	// The job is not live after the barrier: it has ended, or was not accepted before the barrier.
	final, err := s.finalRecords.read(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return finalStatus(id, final), nil
}

// liveStatus returns the status of a live job; isLive is false if the job is not live.
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
		return wire.JobStatus{}, true, errStateUndecided
	}
	return wire.JobStatus{ID: id, State: state, TasksDone: job.DoneCount, TasksRunning: job.BoundCount}, true, nil
}

// liveState returns the state of a live job. The caller must hold the cluster state's lock.
func (s *Server) liveState(job *clusterstate.Job) wire.JobState {
	switch {
	case job.Complete():
		return wire.JobDone
	case s.clusterState.IsCancellationFinal(job):
		return job.CancelledStatus()
	case job.BoundCount > 0, job.OffloadedTo != nil:
		return wire.JobRunning
	}
	return wire.JobPending
}

// isCancellationUncertain reports whether a cancellation can be neither confirmed nor denied: a node of a version
// before tuning.SchemaVersionConfirmedCancel may have confirmed it at once, or it may be the delayed write of a
// process that has ended since. The uncertainty ends once no task of the job is bound. The caller must hold the
// cluster state's lock.
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
