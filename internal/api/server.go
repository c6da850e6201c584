// Package api serves the users' API, the workers' reports and the health
// and metrics pages.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sableusher/internal/admission"
	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/retry"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Committer commits items.
type Committer interface {
	Commit(ctx context.Context, it kvstore.Transaction) (uint64, error)
	// MaxRecordBytes is what a record may take, LeastRoom under the limits known to come.
	MaxRecordBytes() int
	UpcomingMaxRecordBytes() int
}

// ReadBarrier is the read barrier over the world.
type ReadBarrier interface {
	WaitForReadBarrier(ctx context.Context) error
	CompleteAsOf() time.Time
	// Revision is the one up to which the view holds every change; changes of this
	// node's own run ahead of it.
	Revision() uint64
}

// AgentRegistry answers reports.
type AgentRegistry interface {
	HandleHeartbeat(heartbeat *wire.Heartbeat) agent.HeartbeatResult
}

// Server is the server's handlers.
type Server struct {
	clusterState      *clusterstate.State
	reader            kvstore.Reader
	committer         Committer
	barrier           ReadBarrier
	agents            AgentRegistry
	teamsByName       map[string]config.Team
	retryPolicies     retry.Policies
	logger            *slog.Logger
	requestSlots      chan struct{}
	cancellationSlots chan struct{} // cancellations that wait for tasks to leave

	mu               sync.Mutex
	finalRecords     map[string]record.Final
	finalRecordOrder []string
}

// New makes the handlers.
func New(settings *config.Settings, operator *config.Operator, state *clusterstate.State, reader kvstore.Reader, committer Committer, barrier ReadBarrier, agents AgentRegistry, logger *slog.Logger) *Server {
	server := &Server{clusterState: state, reader: reader, committer: committer, barrier: barrier, agents: agents, teamsByName: map[string]config.Team{}, retryPolicies: retry.NewPolicies(operator.Classes), logger: logger,
		requestSlots: make(chan struct{}, tuning.BusyRequests), cancellationSlots: make(chan struct{}, tuning.AbortsWaiting), finalRecords: map[string]record.Final{}}
	for _, team := range settings.Deployment.Teams {
		server.teamsByName[team.Name] = team
	}
	return server
}

// Handler routes the requests.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/ready", s.handleReady)
	r.Handle("/metrics", promhttp.Handler())
	r.Post("/agent/beat", s.handleHeartbeat)
	r.Group(func(r chi.Router) {
		r.Use(s.limitConcurrency)
		r.Post("/v1/jobs", s.handleSubmit)
		r.Get("/v1/jobs/{id}", s.handleStatus)
		r.Post("/v1/jobs/{id}/abort", s.handleCancel)
	})
	return r
}

// limitConcurrency answers at once when too many requests are being served.
func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
			next.ServeHTTP(w, r)
		default:
			writeUnavailable(w, "busy")
		}
	})
}

func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: reason})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	fresh := s.barrier.CompleteAsOf()
	if fresh.IsZero() || time.Since(fresh) > tuning.ReadyStale {
		writeUnavailable(w, "no view of the state service")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	payload, err := wire.ReadBody(r.Body, tuning.StateBody)
	var heartbeat wire.Heartbeat
	if err == nil {
		err = wire.Decode(payload, &heartbeat)
	}
	if err != nil || heartbeat.Machine == "" || heartbeat.Session == 0 {
		s.logger.Info("unreadable report", "err", err)
		wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: "unreadable report"})
		return
	}
	result := s.agents.HandleHeartbeat(&heartbeat)
	status, body := result.HTTPResponse()
	wire.WriteResponse(w, status, body)
}

func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	b, err := wire.ReadBody(r.Body, tuning.BodyLimit)
	var spec *wire.JobSpec
	if err == nil {
		spec, err = wire.DecodeSubmission(b)
	}
	var asked *int
	if err == nil && s.retryPolicies.Enabled() {
		asked, err = wire.DecodeMaxRetries(b)
	}
	if err != nil {
		s.logger.Debug("submission malformed", "err", err)
		wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: err.Error()})
		return
	}
	s.clusterState.RLock()
	live := s.clusterState.Jobs[spec.ID]
	known := live != nil && live.HasRecord
	other := known && !sameDependencies(live.Spec.Dependencies, spec.Dependencies)
	types, level := len(s.clusterState.Types), s.clusterState.SchemaVersion
	refusal := admission.Validate(spec, s.teamsByName, s.clusterState.Types)
	limit, overLimit := s.retryPolicies.MaxRetries(spec.Class, asked)
	if refusal == nil {
		refusal = overLimit
	}
	why := ""
	if refusal != nil {
		why = refusal.Error()
	}
	fit := s.clusterState.SizeLimits(s.committer.UpcomingMaxRecordBytes())
	s.clusterState.RUnlock()
	if other {
		wire.WriteResponse(w, http.StatusUnprocessableEntity, wire.ErrorResponse{Message: "another job has this id: it awaits other jobs"})
		return
	}
	if !known {
		if level >= tuning.LevelRepeats {
			spec.MaxRetries = limit
		} else if asked != nil && why == "" {
			// A node that runs the version before would lose the count.
			writeUnavailable(w, "not all nodes count repeats yet")
			return
		}
		rec := record.Job{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
		if why == "" {
			why = rec.ChooseLayout(level, fit)
		}
		// A job that is known stands, whatever the repeated request says now.
		if why != "" {
			switch status, err := s.jobStatus(ctx, spec.ID); {
			case err == nil:
				wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: spec.ID, State: status.State})
			case errors.Is(err, kvstore.ErrNotFound):
				wire.WriteResponse(w, http.StatusUnprocessableEntity, wire.ErrorResponse{Message: why})
			default:
				writeUnavailable(w, "state service away")
			}
			return
		}
		if types == 0 {
			writeUnavailable(w, "machine types not known yet")
			return
		}
		if len(spec.Dependencies) > 0 && !s.checkDependencies(ctx, w, spec, level) {
			return
		}
		key := record.JobKey(spec.ID)
		_, err := s.committer.Commit(ctx, kvstore.Transaction{
			Conditions: []wire.Condition{{Key: key}, {Key: record.FinalKey(spec.ID)}},
			Ops:        []wire.Op{kvstore.PutOp(key, rec)}, Priority: kvstore.PriorityUrgent,
		})
		if err == nil {
			s.logger.Debug("job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "kind", spec.Kind, "tasks", spec.TaskCount, "vcpus", spec.CPUs, "cards", spec.GPUs)
			wire.WriteResponse(w, http.StatusCreated, wire.JobResponse{ID: spec.ID, State: wire.JobPending})
			return
		}
		if !errors.Is(err, kvstore.ErrConditionFailed) {
			writeUnavailable(w, "state service away")
			return
		}
	}
	status, err := s.jobStatus(ctx, spec.ID)
	if err != nil {
		writeUnavailable(w, "state service away")
		return
	}
	wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: spec.ID, State: status.State})
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollTimeout)
	defer cancel()
	id := chi.URLParam(r, "id")
	if !wire.IsValidJobID(id) {
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
		return
	}
	status, err := s.jobStatus(ctx, id)
	switch {
	case err == nil:
		wire.WriteResponse(w, http.StatusOK, status)
	case errors.Is(err, kvstore.ErrNotFound):
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
	default:
		writeUnavailable(w, "state service away")
	}
}

// jobStatus gives a job's state as of after the call, or ErrNotFound if it was
// never accepted; any other error means that neither is certain.
func (s *Server) jobStatus(ctx context.Context, id string) (wire.JobStatus, error) {
	if finalRecord, ok := s.cachedFinalRecord(id); ok {
		return finalStatus(id, finalRecord), nil
	}
	// Another node may have told the user more than this view holds: wait for
	// a revision fetched after the request came.
	if err := s.barrier.WaitForReadBarrier(ctx); err != nil {
		return wire.JobStatus{}, fmt.Errorf("barrier: %w", err)
	}
	s.clusterState.RLock()
	if job := s.clusterState.Jobs[id]; job != nil && job.HasRecord && job.OffloadedFrom != nil {
		s.clusterState.RUnlock()
		return wire.JobStatus{}, errOwnedByOtherCell
	}
	if job := s.clusterState.Jobs[id]; job != nil && job.HasRecord {
		status, undecided, doubtful := s.liveStatus(id, job), s.clusterState.OutcomeUndecided(job), s.isCancellationUncertain(job)
		s.clusterState.RUnlock()
		if doubtful || undecided && status.State != wire.JobCancelled && status.State != wire.JobFailed {
			return wire.JobStatus{}, errDependencyUndecided
		}
		return status, nil
	}
	s.clusterState.RUnlock()
	// Not live after the barrier: it is over, or was never accepted before it.
	finalRecord, err := s.readFinalRecord(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return finalStatus(id, finalRecord), nil
}

// isCancellationUncertain tells whether a cancellation may neither be told nor denied: it may have been
// told at once by a version before LevelCertain, or may be the late change of one that is
// gone. That passes with the last task. Callers hold the world's lock.
func (s *Server) isCancellationUncertain(job *clusterstate.Job) bool {
	return job.Cancelled() && !job.CancelAfterRelease && job.BoundCount > 0 && s.clusterState.SchemaVersion >= tuning.LevelCertain && job.ModRevision > s.clusterState.SchemaVersionModRevision
}

// errUndecided: the job falls with one that it needs, or may; until its own
// record says so it must not be called waiting.
var errDependencyUndecided = errors.New("what it awaits is being looked at")

// errGuest: the job was taken from another cell, which alone answers its user.
var errOwnedByOtherCell = errors.New("another cell answers for it")

// liveStatus gives the state of a live job. Callers hold the world's lock.
func (s *Server) liveStatus(id string, job *clusterstate.Job) wire.JobStatus {
	status := wire.JobStatus{ID: id, State: wire.JobPending, TasksDone: job.DoneCount, TasksRunning: job.BoundCount}
	switch {
	case job.Complete():
		status.State = wire.JobDone
	case job.Cancelled() && (!job.CancelAfterRelease || job.FullyReleased() && s.barrier.Revision() >= job.ModRevision):
		// Told once no task is left, never before: nothing that renews a lease
		// somewhere behind a cut can then keep one beyond its time. A binding in a
		// further record may lie just before the cancellation: the view holds it then.
		status.State = job.CancelledStatus()
	case job.BoundCount > 0, job.OffloadedTo != nil:
		status.State = wire.JobRunning
	}
	return status
}

func finalStatus(id string, f record.Final) wire.JobStatus {
	return wire.JobStatus{ID: id, State: f.Status, TasksDone: f.DoneCount}
}

func (s *Server) cachedFinalRecord(id string) (record.Final, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.finalRecords[id]
	return f, ok
}

// readFinalRecord gives a job's final record, which is read once.
func (s *Server) readFinalRecord(ctx context.Context, id string) (record.Final, error) {
	if f, ok := s.cachedFinalRecord(id); ok {
		return f, nil
	}
	f, err := kvstore.ReadRecord[record.Final](ctx, s.reader, record.FinalKey(id))
	if err == nil {
		s.cacheFinalRecord(id, f)
	}
	return f, err
}

// cacheFinalRecord keeps the newest final records; they never change.
func (s *Server) cacheFinalRecord(id string, f record.Final) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.finalRecords[id]; ok {
		return
	}
	s.finalRecords[id] = f
	s.finalRecordOrder = append(s.finalRecordOrder, id)
	if len(s.finalRecordOrder) > tuning.FinalsCached {
		delete(s.finalRecords, s.finalRecordOrder[0])
		s.finalRecordOrder = s.finalRecordOrder[1:]
	}
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	id := chi.URLParam(r, "id")
	if !wire.IsValidJobID(id) {
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
		return
	}
	for marked := false; ctx.Err() == nil; {
		status, err := s.jobStatus(ctx, id)
		if errors.Is(err, kvstore.ErrNotFound) {
			wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
			return
		}
		if err != nil {
			break
		}
		if status.State == wire.JobDone || status.State == wire.JobCancelled || status.State == wire.JobFailed {
			wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: id, State: status.State})
			return
		}
		if transaction, confirmed, ok := s.cancellationOf(id); ok && !marked {
			if _, err = s.committer.Commit(ctx, transaction); errors.Is(err, kvstore.ErrConditionFailed) {
				continue
			} else if err != nil {
				break
			}
			marked = true
			s.logger.Debug("job cancelled", "job", id, "sure", confirmed)
			if confirmed {
				wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: id, State: wire.JobCancelled})
				return
			}
		}
		if !s.waitUntilReleased(ctx, id) {
			writeUnavailable(w, "its tasks are being stopped")
			return
		}
	}
	writeUnavailable(w, "state service away")
}

// waitUntilReleased waits until no task of a cancelled job is on a machine, as far as this view
// goes, for as long as a cancellation may take. Only some may wait at once: many whose
// machines can't be reached must not keep submissions out.
func (s *Server) waitUntilReleased(ctx context.Context, id string) bool {
	select {
	case s.cancellationSlots <- struct{}{}:
		defer func() { <-s.cancellationSlots }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.AbortTimeout)
	defer cancel()
	ticker := time.NewTicker(tuning.AbortLook)
	defer ticker.Stop()
	for {
		s.clusterState.RLock()
		job := s.clusterState.Jobs[id]
		released := job == nil || !job.HasRecord || !job.Cancelled() || job.FullyReleased()
		s.clusterState.RUnlock()
		if released {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// cancellationOf marks a live job's record. The record's stamp guards it, so that
// no task can be bound under the old one afterwards. sure tells that it may be told at
// once: no task was bound before, or leases still end in time by themselves, as not all
// nodes are known to tell cancellations late. The record of that guards it then.
func (s *Server) cancellationOf(id string) (transaction kvstore.Transaction, confirmed, ok bool) {
	s.clusterState.RLock()
	defer s.clusterState.RUnlock()
	job := s.clusterState.Jobs[id]
	if job == nil || !job.HasRecord || job.Cancelled() || job.Complete() {
		return kvstore.Transaction{}, false, false
	}
	marked := *job
	marked.CancelledAtMs = max(time.Now().UnixMilli(), 1)
	var versionConditions []wire.Condition
	if marked.CancelAfterRelease = s.clusterState.SchemaVersion >= tuning.LevelCertain; marked.CancelAfterRelease {
		confirmed = job.FullyReleased() && job.ChunkCount() == 1 // its tasks all stand in the record that is marked
	} else {
		confirmed, versionConditions = true, []wire.Condition{{Key: record.SchemaVersionKey, ModRevision: s.clusterState.SchemaVersionModRevision}}
	}
	if fit := s.clusterState.SizeLimits(s.committer.MaxRecordBytes()); s.clusterState.SchemaVersion >= tuning.LevelPipelines && job.NeedsMigration(fit) {
		// The record as it is could be too large to be written again.
		if guards, ops, ok := marked.MigrateChunk(fit, 0); ok {
			return kvstore.Transaction{Conditions: append(guards, versionConditions...), Ops: ops, Priority: kvstore.PriorityUrgent}, confirmed, true
		}
	}
	op := marked.EncodeChunk(0, nil)
	return kvstore.Transaction{Conditions: append(versionConditions, wire.Condition{Key: op.PutKey, ModRevision: job.ModRevision}), Ops: []wire.Op{op}, Priority: kvstore.PriorityUrgent}, confirmed, true
}
