package agent

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/sync/semaphore"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/membership"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var heartbeatsDropped = promauto.NewCounterVec(prometheus.CounterOpts{Name: "sableusher_reports_dropped_total",
	Help: "Workers' reports that told nothing any more, by reason: of an earlier session, out of order, twice."}, []string{"reason"})

// Registry is this node's workers.
type Registry struct {
	settings      *config.Settings
	clusterState  *clusterstate.State
	membership    *membership.Member
	completeAsOf  func() time.Time
	logger        *slog.Logger
	httpClient    *http.Client
	dispatchSlots *semaphore.Weighted

	mu               sync.Mutex
	machines         map[string]*machine
	stopRequests     map[attemptKey]stopRequest
	redirectedAt     map[string]time.Time         // workers sent to a part's owner
	newestHeartbeats map[string]heartbeatPosition // the newest report of each worker, whoever was its owner
	changed          chan struct{}
	dispatchQueue    chan string
	adoptions        map[string]wire.Heartbeat
	updatedMachines  map[string]struct{} // machines whose reports told something new
	peerLastAnswered func(node string) time.Time
	lastAlive        time.Time         // when this process was last seen to run
	resumedAt        time.Time         // when it last went on after it had stood still
	startedAt        time.Time         // when this process was
	initialTokens    map[string]uint64 // those that workers had when they first reported to a process without a view
}

// New makes the fleet; fresh tells as of when the view is complete.
func New(set *config.Settings, w *clusterstate.State, mem *membership.Member, fresh func() time.Time, log *slog.Logger, rt http.RoundTripper) *Registry {
	if rt == nil {
		rt = wire.NewTransport(tuning.OrderTimeout, 1, max(1, int(tuning.OrderSockets*float64(set.Deployment.Limits.MaxSockets))))
	}
	return &Registry{
		settings: set, clusterState: w, membership: mem, completeAsOf: fresh, logger: log,
		httpClient: &http.Client{Transport: rt}, dispatchSlots: semaphore.NewWeighted(tuning.OrderLanes),
		machines: map[string]*machine{}, stopRequests: map[attemptKey]stopRequest{}, redirectedAt: map[string]time.Time{}, newestHeartbeats: map[string]heartbeatPosition{},
		changed: make(chan struct{}, 1), dispatchQueue: make(chan string, tuning.KickQueue), adoptions: map[string]wire.Heartbeat{},
		updatedMachines: map[string]struct{}{}, startedAt: time.Now(), initialTokens: map[string]uint64{},
	}
}

// TakeUpdatedMachines takes the machines whose reports told something new since the last
// call, which one caller makes: what follows from reports costs as much as
// they change, not as much as there are machines.
func (f *Registry) TakeUpdatedMachines() map[string]struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.updatedMachines
	f.updatedMachines = map[string]struct{}{}
	return out
}

// markUpdated notes that a machine's report told something new. Callers hold the lock.
func (f *Registry) markUpdated(name string) {
	f.updatedMachines[name] = struct{}{}
	f.notifyChanged()
}

// Changed is poked after reports that may free room or move tasks.
func (f *Registry) Changed() <-chan struct{} { return f.changed }

func (f *Registry) notifyChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// maxStateAge is the age of the view up to which leases are renewed: a
// cancellation that the view has not seen must still end with the lease in time.
func (f *Registry) maxStateAge() time.Duration {
	free := f.settings.Cancel() - f.settings.Lease()
	return time.Duration(float64(free)*(1-2*tuning.ClockDrift)) - tuning.LeaseMargin
}

// SetPeerLastAnswered tells the fleet how to learn when another node last answered this one.
func (f *Registry) SetPeerLastAnswered(reached func(node string) time.Time) {
	f.peerLastAnswered = reached
}

// mayRenewLeases tells whether leases may be renewed on a view of some time. Where a
// cancellation is told once no task is left, a lease that is renewed without knowing of
// one breaks no promise, and a zone that is cut off works on. Otherwise it must end in
// time. A process that stood still believes nothing until its view is confirmed. Callers
// hold both locks.
func (f *Registry) mayRenewLeases(now, fresh time.Time) bool {
	f.noteAlive(now)
	if fresh.IsZero() || f.resumedAt.After(fresh) {
		return false
	}
	return f.clusterState.SchemaVersion >= tuning.LevelCertain || now.Sub(fresh) <= f.maxStateAge()
}

// renewForUnreachableOwner renews the lease of a worker whose owner is out of reach, as is this node's
// own way to the state service: both are cut off together. It starts nothing. The worker
// takes an answer with the token it has seen; one that has seen a higher one has a
// newer owner. Callers hold both locks.
func (f *Registry) renewForUnreachableOwner(r *wire.Heartbeat, part int, now, fresh time.Time) (wire.HeartbeatResponse, bool) {
	p, known := f.clusterState.Shards[part]
	rec := f.clusterState.Machines[r.Machine]
	if !known || r.FencingToken > p.FencingToken || rec == nil || rec.Deleting || now.Sub(fresh) < tuning.SessionTTL || !f.mayRenewLeases(now, fresh) ||
		f.peerLastAnswered == nil || now.Sub(f.peerLastAnswered(p.Owner)) < tuning.OwnerLost {
		return wire.HeartbeatResponse{}, false
	}
	return f.stopCancelledTasks(r, rec, p.FencingToken), true
}

// renewWithoutState renews the lease of a worker though this process has no view at all: it was started
// in a zone that is cut off, where its predecessor kept the leases. No view is the oldest
// there can be: it starts nothing and stops nothing. That cancellations are told late,
// which makes it safe, the worker's own token says. Another node that can be reached
// may know more, so there must be none; and a worker whose token rises meanwhile has an
// owner that reaches it, to whom it must not be lost. Callers hold the lock.
func (f *Registry) renewWithoutState(r *wire.Heartbeat, now, fresh time.Time) (wire.HeartbeatResponse, bool) {
	f.noteAlive(now)
	if !fresh.IsZero() {
		clear(f.initialTokens)
	}
	if !fresh.IsZero() || !f.resumedAt.IsZero() || r.FencingToken < tuning.CertainToken || f.peerLastAnswered == nil || now.Sub(f.startedAt) < tuning.OwnerLost {
		return wire.HeartbeatResponse{}, false
	}
	for _, s := range f.settings.Siblings {
		if now.Sub(f.peerLastAnswered(s.Node)) < tuning.OwnerLost {
			return wire.HeartbeatResponse{}, false
		}
	}
	first, ok := f.initialTokens[r.Machine]
	if !ok {
		first = r.FencingToken
		f.initialTokens[r.Machine] = first
	}
	return wire.HeartbeatResponse{FencingToken: r.FencingToken, Commands: []wire.Command{}}, r.FencingToken == first
}

// stopCancelledTasks are the orders on a view that may be old: nothing starts, but what it knows to be
// cancelled ends. Callers hold both locks.
func (f *Registry) stopCancelledTasks(r *wire.Heartbeat, rec *clusterstate.Machine, token uint64) wire.HeartbeatResponse {
	out := wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}
	if rec == nil {
		return out
	}
	for _, t := range r.Tasks {
		ref, ok := clusterstate.ParseTaskRef(t.Task)
		b, bound := rec.Bindings[ref]
		if ok && bound && b.Attempt == t.Attempt && b.Job.Cancelled() && t.State != wire.TaskExited && len(out.Commands) < tuning.OrdersMax {
			grace := 0.0
			out.Commands = append(out.Commands, wire.Command{Kind: wire.CommandStop, Task: t.Task, Attempt: t.Attempt, GraceSeconds: &grace})
		}
	}
	return out
}

// heartbeatPosition names the newest report of a worker that came to this node. It outlives what is known of its
// machine, which goes with the machine's part: a copy that the network delivers later must neither
// count as word of a machine that may be dead, nor bring back what is over.
type heartbeatPosition struct {
	session, sequence uint64
	receivedAt        time.Time
}

// dropReason says why a report tells nothing any more, and keeps it in mind if it does; empty:
// it is the newest. Callers hold both locks.
func (f *Registry) dropReason(r *wire.Heartbeat, now time.Time) string {
	k := f.newestHeartbeats[r.Machine]
	switch {
	case r.Session < k.session:
		return "session"
	case r.Session == k.session && r.Sequence == k.sequence:
		return "twice"
	case r.Session == k.session && r.Sequence < k.sequence:
		return "order"
	}
	// The records tell of sessions that this process has not heard of.
	if rec := f.clusterState.Machines[r.Machine]; rec != nil && r.Session < rec.Session {
		return "session"
	}
	f.newestHeartbeats[r.Machine] = heartbeatPosition{r.Session, r.Sequence, now}
	return ""
}

// HandleHeartbeat answers a worker's report.
func (f *Registry) HandleHeartbeat(r *wire.Heartbeat) (int, any) {
	now := time.Now()
	f.clusterState.RLock()
	defer f.clusterState.RUnlock()
	part := clusterstate.ShardOf(r.Machine, f.clusterState.ShardCount)
	token, entitled := f.membership.MayServeAgents(part)
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.completeAsOf()
	if why := f.dropReason(r, now); why != "" {
		heartbeatsDropped.WithLabelValues(why).Inc()
		f.logger.Debug("report dropped", "machine", r.Machine, "why", why, "session", r.Session, "seq", r.Sequence)
		return http.StatusServiceUnavailable, nil
	}
	if out, ok := f.renewWithoutState(r, now, fresh); ok {
		return http.StatusOK, out
	}
	if !entitled {
		if out, ok := f.renewForUnreachableOwner(r, part, now, fresh); ok {
			return http.StatusOK, out
		}
		owner, live := f.membership.OwnerOf(part)
		last := f.redirectedAt[r.Machine]
		f.redirectedAt[r.Machine] = now
		// A worker that comes back at once did not get through to the owner:
		// naming it again would make a loop.
		if !live || now.Sub(last) < 2*time.Second {
			owner = ""
		}
		delete(f.machines, r.Machine)
		return http.StatusMisdirectedRequest, wire.HeartbeatRedirect{ControllerAddress: owner}
	}
	if r.FencingToken > token {
		// It has a newer owner, of whom this node does not know yet. It would drop our
		// answer and stay here all the same, until its lease has run out.
		return http.StatusMisdirectedRequest, wire.HeartbeatRedirect{}
	}
	if !f.mayRenewLeases(now, fresh) {
		return http.StatusServiceUnavailable, nil
	}
	rec := f.clusterState.Machines[r.Machine]
	if rec != nil && rec.Deleting {
		return http.StatusServiceUnavailable, nil
	}
	m := f.machines[r.Machine]
	if m == nil {
		m = newMachine(r.Machine)
		f.machines[r.Machine] = m
	}
	// That it has seen this owner's token shows as well that it heard it once.
	if len(f.settings.Siblings) > 0 && m.confirmsPreviousAnswer(r) || m.inboundConfirmedAt.IsZero() && m.commandFailedAt.IsZero() && r.FencingToken == token {
		m.inboundConfirmedAt = now
	}
	newer, changed := m.applyReport(r, true, now)
	if !newer { // the answer to a command overtook it
		heartbeatsDropped.WithLabelValues("order").Inc()
		return http.StatusServiceUnavailable, nil
	}
	if m.inboundLost() {
		f.enqueueDispatch(r.Machine) // it is asked until it answers
	}
	if changed {
		f.markUpdated(r.Machine)
	}
	out := wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}
	if now.Sub(fresh) > f.maxStateAge() {
		return http.StatusOK, f.stopCancelledTasks(r, rec, token) // the tasks it has go on
	}
	// One that was up and is recorded as not has to be known to hear this owner.
	if rec == nil || !rec.Up && (rec.Address == "" || m.inboundConfirmed()) || rec.Address != r.Address || max(rec.Session, 1) != r.Session {
		f.adoptions[r.Machine] = *r
		f.notifyChanged()
	}
	if _, owns := f.membership.Ownership(part); rec != nil && owns {
		out.Commands = append(out.Commands, m.commands(rec.Bindings, f.attemptEnded, f.stopRequestFor, token, r.Sequence, now)...)
	}
	return http.StatusOK, out
}

// attemptEnded tells whether the records have reached this attempt of the task: it is
// bound elsewhere, was given up, or its job is over. Otherwise the view is
// older than the report. Callers hold both locks.
func (f *Registry) attemptEnded(ref clusterstate.TaskRef, attempt uint64) bool {
	j := f.clusterState.Jobs[ref.Job]
	if j == nil {
		return true // starts follow durable bindings, so the job was there and is over
	}
	if !j.HasRecord || ref.Index >= j.Spec.TaskCount {
		return false
	}
	t := j.Task(ref.Index)
	return t.Attempt > attempt || t.Attempt == attempt && t.State != clusterstate.TaskBound
}

// stopRequestFor tells whether a bound task is to stop. Callers hold both locks.
func (f *Registry) stopRequestFor(b clusterstate.Binding) (stopRequest, bool) {
	if b.Job.Cancelled() {
		return stopRequest{}, true
	}
	w, ok := f.stopRequests[attemptKey{b.Ref, b.Attempt}]
	return w, ok
}

// RequestStop asks for a bound task to be stopped with a grace.
func (f *Registry) RequestStop(b clusterstate.Binding, machine string, graceS float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := attemptKey{b.Ref, b.Attempt}
	if w, ok := f.stopRequests[k]; ok && w.graceSeconds <= graceS {
		return
	}
	f.stopRequests[k] = stopRequest{graceSeconds: graceS, requestedAt: time.Now()}
	f.enqueueDispatch(machine)
}

// StopRequested tells whether a stop was asked for.
func (f *Registry) StopRequested(b clusterstate.Binding) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.stopRequestFor(b)
	return ok
}

// RequestDispatch asks for direct orders to a machine, ahead of its next report.
func (f *Registry) RequestDispatch(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enqueueDispatch(name)
}

func (f *Registry) enqueueDispatch(name string) {
	select {
	case f.dispatchQueue <- name:
	default: // its next report brings the orders
	}
}

// Run sends direct orders until ctx ends.
func (f *Registry) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(f.settings.Report())
	defer tick.Stop()
	pulse := time.NewTicker(tuning.PulseEvery)
	defer pulse.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pulse.C:
			f.mu.Lock()
			f.noteAlive(time.Now())
			f.mu.Unlock()
		case name := <-f.dispatchQueue:
			if f.dispatchSlots.Acquire(ctx, 1) != nil {
				return ctx.Err()
			}
			wg.Go(func() {
				defer f.dispatchSlots.Release(1)
				f.dispatch(ctx, name)
			})
		case <-tick.C:
			f.removeExpired()
		}
	}
}

// noteAlive notes that this process runs, and whether it stood still before. Callers hold
// the fleet's lock.
func (f *Registry) noteAlive(now time.Time) {
	if !f.lastAlive.IsZero() && now.Sub(f.lastAlive) > tuning.FreezeGap {
		f.resumedAt = now
	}
	f.lastAlive = now
}

// removeExpired forgets what no record and no report needs any more.
func (f *Registry) removeExpired() {
	f.clusterState.RLock()
	defer f.clusterState.RUnlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for k, w := range f.stopRequests {
		j := f.clusterState.Jobs[k.ref.Job]
		if j == nil || !j.HasRecord {
			delete(f.stopRequests, k)
			continue
		}
		if t := j.Task(k.ref.Index); t.State != clusterstate.TaskBound || t.Attempt != k.attempt {
			if now.Sub(w.requestedAt) > time.Second {
				delete(f.stopRequests, k)
			}
		}
	}
	for n, at := range f.redirectedAt {
		if now.Sub(at) > time.Minute {
			delete(f.redirectedAt, n)
		}
	}
	for n, k := range f.newestHeartbeats {
		if now.Sub(k.receivedAt) > tuning.MarkLeases*f.settings.Lease() {
			delete(f.newestHeartbeats, n)
		}
	}
	for n, m := range f.machines {
		_, owned := f.membership.MayServeAgents(clusterstate.ShardOf(n, f.clusterState.ShardCount))
		if f.clusterState.Machines[n] == nil && now.Sub(m.lastHeard) > f.settings.Lease() || !owned {
			delete(f.machines, n)
			delete(f.adoptions, n)
		}
	}
}

// dispatch gives a machine its orders directly. One command is on its way at a time.
func (f *Registry) dispatch(ctx context.Context, name string) {
	f.clusterState.RLock()
	rec := f.clusterState.Machines[name]
	ownership, owns := f.membership.Ownership(clusterstate.ShardOf(name, f.clusterState.ShardCount))
	fencingToken := ownership.FencingToken
	if rec == nil || rec.Deleting || !owns || time.Since(f.completeAsOf()) > f.maxStateAge() {
		f.clusterState.RUnlock()
		return
	}
	f.mu.Lock()
	m := f.machines[name]
	if m == nil {
		m = newMachine(name)
		f.machines[name] = m
	}
	if m.address == "" {
		m.address = rec.Address
	}
	// After a failure the next report is awaited. One that is overdue is asked over and over until
	// it is given up, so that what was out of reach for a moment is heard before; no orders
	// go with it, as each would be a start in doubt more.
	silent := time.Since(m.lastHeard)
	overdue, failed := silent > f.heartbeatIntervals(tuning.ProbeAfter), m.commandFailedAt.After(m.lastHeard)
	pause := f.settings.Report()
	if overdue && silent < f.heartbeatIntervals(tuning.DeadAfter) {
		pause = tuning.ProbePause
	}
	if m.commandInFlight || m.address == "" || failed && time.Since(m.commandFailedAt) < pause {
		f.mu.Unlock()
		f.clusterState.RUnlock()
		return
	}
	cmd := wire.CommandRequest{FencingToken: fencingToken, Session: max(m.session, 1), Commands: []wire.Command{}}
	deaf := m.inboundLost()
	if m.session != 0 && !(overdue && failed) && !deaf {
		cmd.Commands = append(cmd.Commands, m.commands(rec.Bindings, f.attemptEnded, f.stopRequestFor, fencingToken, 0, time.Now())...)
	}
	// A worker that is overdue is asked whether it is there at all.
	if len(cmd.Commands) == 0 && m.fencingToken == fencingToken && !overdue && !deaf {
		f.mu.Unlock()
		f.clusterState.RUnlock()
		return
	}
	m.commandInFlight = true
	address, limit := m.address, tuning.OrderTimeout
	if (overdue || deaf) && len(cmd.Commands) == 0 {
		limit = tuning.ProbeTimeout
	}
	f.mu.Unlock()
	f.clusterState.RUnlock()

	rep, status, err := f.postCommands(ctx, address, cmd, limit)
	f.clusterState.RLock()
	defer f.clusterState.RUnlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.commandInFlight = false
	m.resolveStarts(cmd.Commands, cmd.Session, fencingToken, err == nil)
	if err != nil {
		m.recordCommandFailure(time.Now())
		f.logger.Debug("orders unanswered", "machine", name, "err", err)
		return
	}
	if m.recordCommandAnswer(time.Now()); deaf {
		f.enqueueDispatch(name) // orders can follow
		f.markUpdated(name)
	}
	if rep != nil && rep.Machine == name {
		old := m.session
		if newer, changed := m.applyReport(rep, false, time.Now()); newer {
			if changed {
				f.markUpdated(name)
			}
			// A mute worker tells of a new session here alone. Others bind gangs and services to the one
			// on record, which this node ends at once, and both over and over. Where a report follows it tells
			// of it: a zone's sessions, recorded at once as it came back, kept its replicas waiting.
			_, mute := f.outboundLost(m, time.Now())
			if rec := f.clusterState.Machines[name]; mute && rec != nil && max(rec.Session, 1) != m.session {
				f.adoptions[name] = *rep
				f.notifyChanged()
			}
			if m.session != old || m.fencingToken < fencingToken {
				f.enqueueDispatch(name) // a new session, or the first word: orders can follow now
			}
		}
	}
	if status != http.StatusOK {
		f.logger.Debug("orders refused", "machine", name, "status", status)
	}
}

// heartbeatIntervals is the time of so many report intervals.
func (f *Registry) heartbeatIntervals(n float64) time.Duration {
	return time.Duration(n * float64(f.settings.Report()))
}

func (f *Registry) postCommands(ctx context.Context, address string, cmd wire.CommandRequest, limit time.Duration) (*wire.Heartbeat, int, error) {
	b, err := wire.Encode(cmd)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(b))
	if err != nil {
		return nil, 0, fmt.Errorf("orders: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := f.httpClient.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("orders: %w", err)
	}
	defer resp.Body.Close()
	body, err := wire.ReadBody(resp.Body, tuning.StateBody)
	if err != nil {
		return nil, 0, fmt.Errorf("orders: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, resp.StatusCode, fmt.Errorf("orders: status %d", resp.StatusCode)
	}
	var rep wire.Heartbeat
	if err := wire.Decode(body, &rep); err != nil {
		return nil, resp.StatusCode, err
	}
	return &rep, resp.StatusCode, nil
}

// MachineStatus is what placement needs to know of a machine.
type MachineStatus struct {
	LastHeard         time.Time
	Session           uint64
	Schedulable       bool // heard lately, answers, under our token, no notice, no refusal
	ReclaimAt         time.Time
	UnresolvedStart   bool // a direct start without an answer is left
	CommandUnanswered bool // a direct question since the last report got no answer
	InboundLost       bool // its reports arrive, while for some time commands to it did not
	InboundConfirmed  bool // it is known to hear this node
	OutboundLost      bool // it answers commands, while for some time no report of it came here
	// LeaseExpiry is when the lease of a machine ends if no report of it comes any more.
	LeaseExpiry time.Time
	// OneWaySince is since when it has been deaf or mute.
	OneWaySince time.Time
	FailedJobs  int
}

// outboundLost tells whether a machine answers commands while its reports have been due for some time, and from when
// on they are awaited. Callers hold the lock.
func (f *Registry) outboundLost(m *machine, now time.Time) (from time.Time, is bool) {
	from, find := m.heartbeatExpectedFrom()
	silent := f.heartbeatIntervals(tuning.SilentAfter)
	return from, m.inboundConfirmed() && now.Sub(from) > silent+find && m.inboundConfirmedAt.After(from) && now.Sub(m.lastHeard) < silent
}

// MachineStatus gives a machine's state under a token.
func (f *Registry) MachineStatus(name string, token uint64) MachineStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	if m == nil {
		return MachineStatus{}
	}
	now := time.Now()
	s := MachineStatus{LastHeard: m.lastHeard, Session: m.session, ReclaimAt: m.reclaimAt, FailedJobs: len(m.taskFailures), UnresolvedStart: m.hasUnresolvedStart(token), CommandUnanswered: m.commandFailedAt.After(m.lastHeard)}
	s.InboundConfirmed = m.inboundConfirmed()
	s.InboundLost = m.inboundLost() && m.lastHeard.After(m.inboundLostSince) && now.Sub(m.inboundLostSince) > tuning.DeafAfter
	if s.InboundLost {
		s.OneWaySince = m.inboundLostSince
	}
	silent := f.heartbeatIntervals(tuning.SilentAfter)
	from, mute := f.outboundLost(m, now)
	s.OutboundLost, s.LeaseExpiry = mute, from.Add(f.settings.Lease())
	if mute {
		s.OneWaySince = from
	}
	s.Schedulable = m.session != 0 && m.fencingToken == token && m.reclaimAt.IsZero() && now.Sub(m.lastHeard) < silent && !s.CommandUnanswered && !m.inboundLost() && !s.OutboundLost &&
		now.Sub(m.startRefusedAt) > tuning.RefuseHold && len(m.taskFailures) < tuning.MachineErrors
	return s
}

// TaskObservation is a bound task's fate with what was reported.
type TaskObservation struct {
	Presence TaskPresence
	State    wire.TaskState
	Cause    wire.ExitCause
	Saved    bool
	Since    time.Time
}

// ObserveTask tells what became of a binding.
func (f *Registry) ObserveTask(b clusterstate.Binding, name string, token uint64) TaskObservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	if m == nil {
		return TaskObservation{}
	}
	fate, s := m.presence(b, token)
	return TaskObservation{fate, s.State, s.ExitCause, s.CheckpointSaved, s.stateSince}
}

// MachinesByImage gives the machines of this node by the images that they are believed
// to hold, for placement here and on the other nodes.
func (f *Registry) MachinesByImage() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]string{}
	for name, m := range f.machines {
		for image := range m.cachedImages {
			out[image] = append(out[image], name)
		}
	}
	return out
}

// RecordImageUse records that a machine has just used an image; its cache keeps the
// ones used last.
func (f *Registry) RecordImageUse(name, image string, gb, cacheGB float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		m.recordImageUse(image, gb, cacheGB, time.Now())
	}
}

// RecordStartRefusal keeps a machine out of placement for a while.
func (f *Registry) RecordStartRefusal(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		m.startRefusedAt = time.Now()
	}
}

// RecordTaskFailure records that a job's task failed on a machine.
func (f *Registry) RecordTaskFailure(name, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.machines[name]; m != nil {
		m.taskFailures[job] = time.Now()
	}
}

// TakeAdoptions takes the machines whose records are missing or behind.
func (f *Registry) TakeAdoptions() map[string]wire.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.adoptions
	f.adoptions = map[string]wire.Heartbeat{}
	return out
}

// RecentlyHeard gives those machines whose workers have reported to this node lately,
// though it may not own them: they came because their owner did not answer.
func (f *Registry) RecentlyHeard(machines []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A worker that lost its way to one node tries the next after seconds.
	limit := f.heartbeatIntervals(tuning.HeardLately)
	var out []string
	for _, n := range machines {
		at := f.redirectedAt[n]
		if m := f.machines[n]; m != nil && m.lastHeard.After(at) {
			at = m.lastHeard
		}
		if !at.IsZero() && time.Since(at) < limit {
			out = append(out, n)
		}
	}
	return out
}

// HasFreshState tells whether this node's view is fresh enough to take parts.
func (f *Registry) HasFreshState() bool {
	fresh := f.completeAsOf()
	return !fresh.IsZero() && time.Since(fresh) < tuning.ReadyStale
}
