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

// submission is a job that a user asks for.
type submission struct {
	spec             *wire.JobSpec
	requestedRetries *int // nil: not asked for, or not looked at
}

// acceptance answers a submission.
type acceptance struct {
	state wire.JobState
	isNew bool // accepted by this request, not by an earlier one
}

// assessment is what the cluster state says of a submission at one moment.
type assessment struct {
	known                   bool // the job is live already
	hasOtherDependencies    bool // it is, and depends on other jobs than the submission says
	machineTypesKnown       bool
	schemaVersion           int
	sizeLimits              record.SizeLimits
	maxRetries              *int
	rejection               error // why the job can never run; nil if it can
	retryLimitsNotSupported bool  // retries were asked for that not all nodes would count
}

// submitJob accepts a job, or gives the state of the one that has its id. A repeated request is answered
// for the job that was accepted, whatever it says now.
func (s *Server) submitJob(ctx context.Context, request submission) (acceptance, error) {
	assessed := s.assess(request)
	if assessed.hasOtherDependencies {
		return acceptance{}, &rejectedError{Reason: "another job has this id: it awaits other jobs"}
	}
	if !assessed.known {
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

// assess looks at the cluster state once for all that a submission depends on.
func (s *Server) assess(request submission) assessment {
	spec := request.spec
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[spec.ID]
	known := job != nil && job.HasRecord
	rejection := admission.Validate(spec, s.teamsByName, s.clusterState.Catalog.Types)
	maxRetries, overLimit := s.retryPolicies.MaxRetries(spec.Class, request.requestedRetries)
	if rejection == nil {
		rejection = overLimit
	}
	version := s.clusterState.SchemaVersion
	return assessment{
		known:                   known,
		hasOtherDependencies:    known && !sameDependencies(job.Spec.Dependencies, spec.Dependencies),
		machineTypesKnown:       len(s.clusterState.Catalog.Types) > 0,
		schemaVersion:           version,
		sizeLimits:              s.clusterState.SizeLimits(s.committer.UpcomingMaxRecordBytes()),
		maxRetries:              maxRetries,
		rejection:               rejection,
		retryLimitsNotSupported: version < tuning.SchemaVersionRetries && request.requestedRetries != nil,
	}
}

// acceptNewJob writes the record of a job that is not live; kvstore.ErrConditionFailed means that the
// job exists all the same.
func (s *Server) acceptNewJob(ctx context.Context, request submission, assessed assessment) (acceptance, error) {
	spec := request.spec
	if assessed.schemaVersion >= tuning.SchemaVersionRetries {
		spec.MaxRetries = assessed.maxRetries
	}
	if assessed.retryLimitsNotSupported && assessed.rejection == nil {
		// A node of an older version would lose the count.
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

// rejectUnlessAccepted rejects a job that can never run, unless one with its id was accepted before: that
// one stands, whatever the repeated request says.
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

// commitNewJob creates a job's record unless it has one, live or final.
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
