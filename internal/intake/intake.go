// Package intake serves the users' API, the workers' reports and the health
// and metrics pages.
package intake

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

	"sableusher/internal/accept"
	"sableusher/internal/config"
	"sableusher/internal/repeats"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Committer commits items.
type Committer interface {
	Commit(ctx context.Context, it store.Transaction) (uint64, error)
	// MaxRecordBytes is what a record may take, LeastRoom under the limits known to come.
	MaxRecordBytes() int
	UpcomingMaxRecordBytes() int
}

// View is the read barrier over the world.
type View interface {
	WaitForReadBarrier(ctx context.Context) error
	CompleteAsOf() time.Time
	// Revision is the one up to which the view holds every change; changes of this
	// node's own run ahead of it.
	Revision() uint64
}

// Workers answers reports.
type Workers interface {
	HandleHeartbeat(r *wire.Heartbeat) (int, any)
}

// Intake is the server's handlers.
type Intake struct {
	world   *world.State
	records store.Reader
	commit  Committer
	view    View
	workers Workers
	teams   map[string]config.Team
	repeats repeats.Rules
	log     *slog.Logger
	slots   chan struct{}
	aborts  chan struct{} // cancellations that wait for tasks to leave

	mu     sync.Mutex
	finals map[string]world.FinalRecord
	order  []string
}

// New makes the handlers.
func New(set *config.Settings, op *config.Operator, w *world.State, rec store.Reader, c Committer, v View, workers Workers, log *slog.Logger) *Intake {
	in := &Intake{world: w, records: rec, commit: c, view: v, workers: workers, teams: map[string]config.Team{}, repeats: repeats.New(op.Classes), log: log,
		slots: make(chan struct{}, tuning.BusyRequests), aborts: make(chan struct{}, tuning.AbortsWaiting), finals: map[string]world.FinalRecord{}}
	for _, t := range set.Deployment.Teams {
		in.teams[t.Name] = t
	}
	return in
}

// Handler routes the requests.
func (in *Intake) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/ready", in.ready)
	r.Handle("/metrics", promhttp.Handler())
	r.Post("/agent/beat", in.beat)
	r.Group(func(r chi.Router) {
		r.Use(in.shed)
		r.Post("/v1/jobs", in.submit)
		r.Get("/v1/jobs/{id}", in.poll)
		r.Post("/v1/jobs/{id}/abort", in.abort)
	})
	return r
}

// shed answers at once when too many requests are being served.
func (in *Intake) shed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case in.slots <- struct{}{}:
			defer func() { <-in.slots }()
			next.ServeHTTP(w, r)
		default:
			unavailable(w, "busy")
		}
	})
}

func unavailable(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: why})
}

func (in *Intake) ready(w http.ResponseWriter, _ *http.Request) {
	fresh := in.view.CompleteAsOf()
	if fresh.IsZero() || time.Since(fresh) > tuning.ReadyStale {
		unavailable(w, "no view of the state service")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (in *Intake) beat(w http.ResponseWriter, r *http.Request) {
	b, err := wire.ReadBody(r.Body, tuning.StateBody)
	var rep wire.Heartbeat
	if err == nil {
		err = wire.Decode(b, &rep)
	}
	if err != nil || rep.Machine == "" || rep.Session == 0 {
		in.log.Info("unreadable report", "err", err)
		wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: "unreadable report"})
		return
	}
	status, body := in.workers.HandleHeartbeat(&rep)
	wire.WriteResponse(w, status, body)
}

func (in *Intake) submit(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	b, err := wire.ReadBody(r.Body, tuning.BodyLimit)
	var spec *wire.JobSpec
	if err == nil {
		spec, err = wire.DecodeSubmission(b)
	}
	var asked *int
	if err == nil && in.repeats.On() {
		asked, err = wire.DecodeMaxRetries(b)
	}
	if err != nil {
		in.log.Debug("submission malformed", "err", err)
		wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: err.Error()})
		return
	}
	in.world.RLock()
	live := in.world.Jobs[spec.ID]
	known := live != nil && live.HasRecord
	other := known && !sameAwaits(live.Spec.Dependencies, spec.Dependencies)
	types, level := len(in.world.Types), in.world.SchemaVersion
	why := accept.Impossible(spec, in.teams, in.world.Types)
	limit, over := in.repeats.Limit(spec.Class, asked)
	if why == "" {
		why = over
	}
	fit := in.world.SizeLimits(in.commit.UpcomingMaxRecordBytes())
	in.world.RUnlock()
	if other {
		wire.WriteResponse(w, http.StatusUnprocessableEntity, wire.ErrorResponse{Message: "another job has this id: it awaits other jobs"})
		return
	}
	if !known {
		if level >= tuning.LevelRepeats {
			spec.MaxRetries = limit
		} else if asked != nil && why == "" {
			// A node that runs the version before would lose the count.
			unavailable(w, "not all nodes count repeats yet")
			return
		}
		rec := world.JobRecord{Spec: *spec, SubmittedAtMs: time.Now().UnixMilli()}
		if why == "" {
			why = rec.ChooseLayout(level, fit)
		}
		// A job that is known stands, whatever the repeated request says now.
		if why != "" {
			switch status, err := in.status(ctx, spec.ID); {
			case err == nil:
				wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: spec.ID, State: status.State})
			case errors.Is(err, store.ErrNotFound):
				wire.WriteResponse(w, http.StatusUnprocessableEntity, wire.ErrorResponse{Message: why})
			default:
				unavailable(w, "state service away")
			}
			return
		}
		if types == 0 {
			unavailable(w, "machine types not known yet")
			return
		}
		if len(spec.Dependencies) > 0 && !in.awaits(ctx, w, spec, level) {
			return
		}
		key := world.JobKey(spec.ID)
		_, err := in.commit.Commit(ctx, store.Transaction{
			Conditions: []wire.Condition{{Key: key}, {Key: world.FinalKey(spec.ID)}},
			Ops:        []wire.Op{store.PutOp(key, rec)}, Urgent: true,
		})
		if err == nil {
			in.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "kind", spec.Kind, "tasks", spec.TaskCount, "vcpus", spec.CPUs, "cards", spec.GPUs)
			wire.WriteResponse(w, http.StatusCreated, wire.JobResponse{ID: spec.ID, State: wire.JobPending})
			return
		}
		if !errors.Is(err, store.ErrConditionFailed) {
			unavailable(w, "state service away")
			return
		}
	}
	status, err := in.status(ctx, spec.ID)
	if err != nil {
		unavailable(w, "state service away")
		return
	}
	wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: spec.ID, State: status.State})
}

func (in *Intake) poll(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.PollTimeout)
	defer cancel()
	id := chi.URLParam(r, "id")
	if !wire.IsValidJobID(id) {
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
		return
	}
	st, err := in.status(ctx, id)
	switch {
	case err == nil:
		wire.WriteResponse(w, http.StatusOK, st)
	case errors.Is(err, store.ErrNotFound):
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
	default:
		unavailable(w, "state service away")
	}
}

// status gives a job's state as of after the call, or ErrNotFound if it was
// never accepted; any other error means that neither is certain.
func (in *Intake) status(ctx context.Context, id string) (wire.JobStatus, error) {
	if f, ok := in.final(id); ok {
		return finalStatus(id, f), nil
	}
	// Another node may have told the user more than this view holds: wait for
	// a revision fetched after the request came.
	if err := in.view.WaitForReadBarrier(ctx); err != nil {
		return wire.JobStatus{}, fmt.Errorf("barrier: %w", err)
	}
	in.world.RLock()
	if j := in.world.Jobs[id]; j != nil && j.HasRecord && j.OffloadedFrom != nil {
		in.world.RUnlock()
		return wire.JobStatus{}, errGuest
	}
	if j := in.world.Jobs[id]; j != nil && j.HasRecord {
		st, undecided, doubtful := in.live(id, j), in.world.OutcomeUndecided(j), in.doubtful(j)
		in.world.RUnlock()
		if doubtful || undecided && st.State != wire.JobCancelled && st.State != wire.JobFailed {
			return wire.JobStatus{}, errUndecided
		}
		return st, nil
	}
	in.world.RUnlock()
	// Not live after the barrier: it is over, or was never accepted before it.
	f, err := in.readFinal(ctx, id)
	if err != nil {
		return wire.JobStatus{}, err
	}
	return finalStatus(id, f), nil
}

// doubtful tells whether a cancellation may neither be told nor denied: it may have been
// told at once by a version before LevelCertain, or may be the late change of one that is
// gone. That passes with the last task. Callers hold the world's lock.
func (in *Intake) doubtful(j *world.Job) bool {
	return j.Cancelled() && !j.CancelAfterRelease && j.BoundCount > 0 && in.world.SchemaVersion >= tuning.LevelCertain && j.ModRevision > in.world.SchemaVersionModRevision
}

// errUndecided: the job falls with one that it needs, or may; until its own
// record says so it must not be called waiting.
var errUndecided = errors.New("what it awaits is being looked at")

// errGuest: the job was taken from another cell, which alone answers its user.
var errGuest = errors.New("another cell answers for it")

// live gives the state of a live job. Callers hold the world's lock.
func (in *Intake) live(id string, j *world.Job) wire.JobStatus {
	st := wire.JobStatus{ID: id, State: wire.JobPending, TasksDone: j.DoneCount, TasksRunning: j.BoundCount}
	switch {
	case j.Complete():
		st.State = wire.JobDone
	case j.Cancelled() && (!j.CancelAfterRelease || j.FullyReleased() && in.view.Revision() >= j.ModRevision):
		// Told once no task is left, never before: nothing that renews a lease
		// somewhere behind a cut can then keep one beyond its time. A binding in a
		// further record may lie just before the cancellation: the view holds it then.
		st.State = j.CancelledStatus()
	case j.BoundCount > 0, j.OffloadedTo != nil:
		st.State = wire.JobRunning
	}
	return st
}

func finalStatus(id string, f world.FinalRecord) wire.JobStatus {
	return wire.JobStatus{ID: id, State: f.Status, TasksDone: f.DoneCount}
}

func (in *Intake) final(id string) (world.FinalRecord, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	f, ok := in.finals[id]
	return f, ok
}

// readFinal gives a job's final record, which is read once.
func (in *Intake) readFinal(ctx context.Context, id string) (world.FinalRecord, error) {
	if f, ok := in.final(id); ok {
		return f, nil
	}
	f, err := store.ReadRecord[world.FinalRecord](ctx, in.records, world.FinalKey(id))
	if err == nil {
		in.remember(id, f)
	}
	return f, err
}

// remember keeps the newest final records; they never change.
func (in *Intake) remember(id string, f world.FinalRecord) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, ok := in.finals[id]; ok {
		return
	}
	in.finals[id] = f
	in.order = append(in.order, id)
	if len(in.order) > tuning.FinalsCached {
		delete(in.finals, in.order[0])
		in.order = in.order[1:]
	}
}

func (in *Intake) abort(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.SubmitTimeout)
	defer cancel()
	id := chi.URLParam(r, "id")
	if !wire.IsValidJobID(id) {
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
		return
	}
	for marked := false; ctx.Err() == nil; {
		st, err := in.status(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			wire.WriteResponse(w, http.StatusNotFound, wire.ErrorResponse{Message: "no such job"})
			return
		}
		if err != nil {
			break
		}
		if st.State == wire.JobDone || st.State == wire.JobCancelled || st.State == wire.JobFailed {
			wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: id, State: st.State})
			return
		}
		if it, sure, ok := in.cancellation(id); ok && !marked {
			if _, err = in.commit.Commit(ctx, it); errors.Is(err, store.ErrConditionFailed) {
				continue
			} else if err != nil {
				break
			}
			marked = true
			in.log.Debug("job cancelled", "job", id, "sure", sure)
			if sure {
				wire.WriteResponse(w, http.StatusOK, wire.JobResponse{ID: id, State: wire.JobCancelled})
				return
			}
		}
		if !in.left(ctx, id) {
			unavailable(w, "its tasks are being stopped")
			return
		}
	}
	unavailable(w, "state service away")
}

// left waits until no task of a cancelled job is on a machine, as far as this view
// goes, for as long as a cancellation may take. Only some may wait at once: many whose
// machines can't be reached must not keep submissions out.
func (in *Intake) left(ctx context.Context, id string) bool {
	select {
	case in.aborts <- struct{}{}:
		defer func() { <-in.aborts }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.AbortTimeout)
	defer cancel()
	look := time.NewTicker(tuning.AbortLook)
	defer look.Stop()
	for {
		in.world.RLock()
		j := in.world.Jobs[id]
		over := j == nil || !j.HasRecord || !j.Cancelled() || j.FullyReleased()
		in.world.RUnlock()
		if over {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-look.C:
		}
	}
}

// cancellation marks a live job's record. The record's stamp guards it, so that
// no task can be bound under the old one afterwards. sure tells that it may be told at
// once: no task was bound before, or leases still end in time by themselves, as not all
// nodes are known to tell cancellations late. The record of that guards it then.
func (in *Intake) cancellation(id string) (it store.Transaction, sure, ok bool) {
	in.world.RLock()
	defer in.world.RUnlock()
	j := in.world.Jobs[id]
	if j == nil || !j.HasRecord || j.Cancelled() || j.Complete() {
		return store.Transaction{}, false, false
	}
	marked := *j
	marked.CancelledAtMs = max(time.Now().UnixMilli(), 1)
	var level []wire.Condition
	if marked.CancelAfterRelease = in.world.SchemaVersion >= tuning.LevelCertain; marked.CancelAfterRelease {
		sure = j.FullyReleased() && j.ChunkCount() == 1 // its tasks all stand in the record that is marked
	} else {
		sure, level = true, []wire.Condition{{Key: world.SchemaVersionKey, ModRevision: in.world.SchemaVersionModRevision}}
	}
	if fit := in.world.SizeLimits(in.commit.MaxRecordBytes()); in.world.SchemaVersion >= tuning.LevelPipelines && j.NeedsMigration(fit) {
		// The record as it is could be too large to be written again.
		if guards, ops, ok := marked.MigrateChunk(fit, 0); ok {
			return store.Transaction{Conditions: append(guards, level...), Ops: ops, Urgent: true}, sure, true
		}
	}
	op := marked.EncodeChunk(0, nil)
	return store.Transaction{Conditions: append(level, wire.Condition{Key: op.PutKey, ModRevision: j.ModRevision}), Ops: []wire.Op{op}, Urgent: true}, sure, true
}
