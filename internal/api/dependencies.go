package api

import (
	"context"
	"errors"
	"slices"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// sameDependencies reports whether two submissions depend on the same jobs, in any order.
func sameDependencies(a, b []string) bool {
	return len(a) == len(b) && slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// checkDependencies checks the jobs that a submission depends on: each must have been accepted, by a node of any
// version, and must not be a service, because a service never completes.
func (s *Server) checkDependencies(ctx context.Context, spec *wire.JobSpec, schemaVersion int) error {
	if schemaVersion < tuning.SchemaVersionDependencies {
		// A node of an older version would drop the field from the record and start the job.
		return errDependenciesInactive
	}
	if slices.Contains(spec.Dependencies, spec.ID) {
		return &rejectedError{Reason: "awaits itself"}
	}
	missing, err := s.nonLiveDependencies(spec)
	if err != nil || len(missing) == 0 {
		return err // a job that was accepted once stays accepted, so no read barrier is needed
	}
	// A missing job may have ended, or may have been accepted after the last update of the cluster state.
	if s.barrier.WaitForReadBarrier(ctx) != nil {
		return errStoreUnavailable
	}
	if missing, err = s.nonLiveDependencies(spec); err != nil {
		return err
	}
	return s.checkFinalRecords(ctx, missing)
}

// nonLiveDependencies returns the dependencies of a submission that are not live jobs in the cluster state, or a
// rejectedError if one of them is a service.
func (s *Server) nonLiveDependencies(spec *wire.JobSpec) ([]string, error) {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	var missing []string
	for _, id := range spec.Dependencies {
		job := s.clusterState.Jobs[id]
		if job == nil || !job.HasRecord {
			missing = append(missing, id)
		} else if job.Spec.Kind == wire.KindService {
			return nil, &rejectedError{Reason: "awaits " + id + ", a service, which is never done"}
		}
	}
	return missing, nil
}

// checkFinalRecords checks that each of the jobs has a final record; a job without one was never accepted.
func (s *Server) checkFinalRecords(ctx context.Context, ids []string) error {
	for _, id := range ids {
		_, err := s.finalRecords.read(ctx, id)
		if errors.Is(err, errNoSuchJob) {
			return &rejectedError{Reason: "awaits " + id + ", which was never accepted"}
		}
		if err != nil {
			return errStoreUnavailable
		}
	}
	return nil
}
