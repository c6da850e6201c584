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

// checkDependencies checks the jobs that a submission depends on: each must have been accepted, by any
// node of any version, and must be of a kind that is ever done.
func (s *Server) checkDependencies(ctx context.Context, spec *wire.JobSpec, schemaVersion int) error {
	if schemaVersion < tuning.SchemaVersionDependencies {
		// A node of an older version would lose the field and start the job.
		return errDependenciesInactive
	}
	if slices.Contains(spec.Dependencies, spec.ID) {
		return &rejectedError{Reason: "awaits itself"}
	}
	missing, err := s.dependenciesNotLive(spec)
	if err != nil || len(missing) == 0 {
		return err // a job that was accepted once stays so: no barrier is needed
	}
	// Jobs that this cluster state does not hold may be newer than it, or over.
	if s.barrier.WaitForReadBarrier(ctx) != nil {
		return errStoreUnavailable
	}
	if missing, err = s.dependenciesNotLive(spec); err != nil {
		return err
	}
	return s.checkOver(ctx, missing)
}

// dependenciesNotLive gives the dependencies that are not live here. A service is rejected.
func (s *Server) dependenciesNotLive(spec *wire.JobSpec) ([]string, error) {
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

// checkOver checks that each of some jobs has a final record.
func (s *Server) checkOver(ctx context.Context, ids []string) error {
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
