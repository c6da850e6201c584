package api

import (
	"context"
	"errors"
	"time"

	"sableusher/internal/admission"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// submission is a decoded request to run a job.
type submission struct {
	spec             *wire.JobSpec
	requestedRetries *int // nil if not requested, or ignored because no class limits retries
}

// acceptance is the result of an accepted submission.
type acceptance struct {
	state wire.JobState
	isNew bool // whether this request, not an earlier one, created the job
}

// assessment holds facts that decide how a submission is answered. They are read under a single lock of the cluster
// state, so that they belong together.
type assessment struct {
	isLive                  bool // a live job has the submission's id
	dependenciesDiffer      bool // that job exists and its dependencies differ from the submission's
	machineTypesKnown       bool
	schemaVersion           int
	sizeLimits              record.SizeLimits
	maxRetries              *int
	rejection               error // reason why the job can never run; nil if it can
	retryLimitsNotSupported bool  // retries were requested, but not all nodes count them yet
}

// submitJob accepts a job, or returns the state of an accepted job with the same id. A repeated request is answered
// with the state of the accepted job even if its description now differs, unless its dependencies differ from those
// of the live job: then it is rejected.
func (s *Server) submitJob(ctx context.Context, request submission) (acceptance, error) {
	assessed := s.assess(request)
	if assessed.dependenciesDiffer {
		return acceptance{}, &rejectedError{Reason: "another job has this id: it awaits other jobs"}
	}
	if !assessed.isLive {
		accepted, err := s.acceptNewJob(ctx, request, assessed)
		if !errors.Is(err, kvstore.ErrConditionFailed) {
			return accepted, err
		}
	}
	status, err := s.jobStatus(ctx, request.spec.ID)
	if err != nil {
		return acceptance{}, errStoreUnavailable
	}
	return acceptance{state: status.State}, nil
}

// assess reads everything that a submission depends on under a single lock of the cluster state.
func (s *Server) assess(request submission) assessment {
	spec := request.spec
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[spec.ID]
	isLive := job != nil && job.HasRecord
	rejection := admission.Validate(spec, s.teamsByName, s.clusterState.Catalog.Types)
	maxRetries, overLimit := s.retryPolicies.MaxRetries(spec.Class, request.requestedRetries)
	if rejection == nil {
		rejection = overLimit
	}
	version := s.clusterState.SchemaVersion
	return assessment{
		isLive:                  isLive,
		dependenciesDiffer:      isLive && !sameDependencies(job.Spec.Dependencies, spec.Dependencies),
		machineTypesKnown:       len(s.clusterState.Catalog.Types) > 0,
		schemaVersion:           version,
		sizeLimits:              s.clusterState.SizeLimits(s.committer.UpcomingMaxRecordBytes()),
		maxRetries:              maxRetries,
		rejection:               rejection,
		retryLimitsNotSupported: version < tuning.SchemaVersionRetries && request.requestedRetries != nil,
	}
}

// acceptNewJob writes the record of a job that the cluster state does not hold. It returns
// kvstore.ErrConditionFailed if the store holds a live or final record of the job all the same.
func (s *Server) acceptNewJob(ctx context.Context, request submission, assessed assessment) (acceptance, error) {
	spec := request.spec
	if assessed.schemaVersion >= tuning.SchemaVersionRetries {
		spec.MaxRetries = assessed.maxRetries
	}
	if assessed.retryLimitsNotSupported && assessed.rejection == nil {
		// A node of an older version would drop the count of failures from the record.
		return acceptance{}, errRetryLimitsInactive
	}
	job := record.Job{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
	rejection := assessed.rejection
	if rejection == nil {
		rejection = job.ChooseLayout(assessed.schemaVersion, assessed.sizeLimits)
	}
	if rejection != nil {
		return s.rejectUnlessAccepted(ctx, spec.ID, rejection)
	}
	if !assessed.machineTypesKnown {
		return acceptance{}, errMachineTypesUnknown
	}
	if len(spec.Dependencies) > 0 {
		if err := s.checkDependencies(ctx, spec, assessed.schemaVersion); err != nil {
			return acceptance{}, err
		}
	}
	return s.commitNewJob(ctx, job)
}

// rejectUnlessAccepted rejects a job that can never run, unless a job with its id was accepted before. In that case
// it returns the state of the accepted job.
func (s *Server) rejectUnlessAccepted(ctx context.Context, id string, rejection error) (acceptance, error) {
	status, err := s.jobStatus(ctx, id)
	switch {
	case err == nil:
		return acceptance{state: status.State}, nil
	case errors.Is(err, errNoSuchJob):
		return acceptance{}, &rejectedError{Reason: rejection.Error()}
	default:
		return acceptance{}, errStoreUnavailable
	}
}

// commitNewJob creates a job's record unless the job already has a live or final record.
func (s *Server) commitNewJob(ctx context.Context, job record.Job) (acceptance, error) {
	spec := &job.Spec
	key := record.JobKey(spec.ID)
	_, err := s.committer.Commit(ctx, kvstore.Transaction{
		Conditions: []wire.Condition{{Key: key}, {Key: record.FinalKey(spec.ID)}},
		Ops:        []wire.Op{kvstore.PutOp(key, job)}, Priority: kvstore.PriorityUrgent,
	})
	if err != nil {
		if errors.Is(err, kvstore.ErrConditionFailed) {
			return acceptance{}, err
		}
		return acceptance{}, errStoreUnavailable
	}
	s.logger.Debug("job accepted", "job_id", spec.ID, "class", spec.Class, "team", spec.Team, "kind", spec.Kind,
		"task_count", spec.TaskCount, "cpus", spec.CPUs, "gpus", spec.GPUs)
	return acceptance{state: wire.JobPending, isNew: true}, nil
}
