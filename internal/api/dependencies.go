package api

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"sableusher/internal/kvstore"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// sameDependencies tells whether two submissions await the same jobs, in any order.
func sameDependencies(a, b []string) bool {
	return len(a) == len(b) && slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// checkDependencies checks the jobs that a submission awaits: each must have been accepted,
// by any node and any version. It answers the request if it may not go on.
func (s *Server) checkDependencies(ctx context.Context, w http.ResponseWriter, spec *wire.JobSpec, level int) bool {
	if level < tuning.LevelPipelines {
		// A node that runs the version before would lose the field and start the job.
		writeUnavailable(w, "not all nodes know of awaited jobs yet")
		return false
	}
	refuse := func(why string) bool {
		wire.WriteResponse(w, http.StatusUnprocessableEntity, wire.ErrorResponse{Message: why})
		return false
	}
	if slices.Contains(spec.Dependencies, spec.ID) {
		return refuse("awaits itself")
	}
	var unseen []string
	look := func() string {
		unseen = unseen[:0]
		s.clusterState.RLock()
		defer s.clusterState.RUnlock()
		for _, a := range spec.Dependencies {
			if j := s.clusterState.Jobs[a]; j == nil || !j.HasRecord {
				unseen = append(unseen, a)
			} else if j.Spec.Kind == wire.KindService {
				return "awaits " + a + ", a service, which is never done"
			}
		}
		return ""
	}
	if why := look(); why != "" {
		return refuse(why)
	}
	if len(unseen) == 0 {
		return true // what was accepted once stays so
	}
	// Those that this view does not hold may be newer than it, or over.
	if s.barrier.WaitForReadBarrier(ctx) != nil {
		writeUnavailable(w, "state service away")
		return false
	}
	if why := look(); why != "" {
		return refuse(why)
	}
	for _, a := range unseen {
		switch _, err := s.readFinalRecord(ctx, a); {
		case errors.Is(err, kvstore.ErrNotFound):
			return refuse("awaits " + a + ", which was never accepted")
		case err != nil:
			writeUnavailable(w, "state service away")
			return false
		}
	}
	return true
}
