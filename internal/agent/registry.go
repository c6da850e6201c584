package agent

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/membership"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// firstSession is the session of an agent whose record names none.
const firstSession = 1

// Registry is this node's workers.
type Registry struct {
	settings      *config.Settings
	clusterState  *clusterstate.State
	membership    *membership.Member
	completeAsOf  func() time.Time
	logger        *slog.Logger
	client        *commandClient
	dispatchSlots *semaphore.Weighted

	mu               sync.Mutex
	machines         map[string]*machine
	stopRequests     map[attemptKey]stopRequest
	redirectedAt     map[string]time.Time // workers sent to a part's owner
	newestHeartbeats heartbeatHistory
	leases           leaseKeeper
	changed          chan struct{}
	dispatchQueue    dispatchQueue
	adoptions        map[string]wire.Heartbeat
	updatedMachines  map[string]struct{} // machines whose reports told something new
}

// New makes the fleet; fresh tells as of when the view is complete.
func New(set *config.Settings, w *clusterstate.State, mem *membership.Member, fresh func() time.Time, log *slog.Logger, rt http.RoundTripper) *Registry {
	return &Registry{
		settings: set, clusterState: w, membership: mem, completeAsOf: fresh, logger: log,
		client: newCommandClient(rt, set.Deployment.Limits.MaxSockets), dispatchSlots: semaphore.NewWeighted(tuning.OrderLanes),
		machines: map[string]*machine{}, stopRequests: map[attemptKey]stopRequest{}, redirectedAt: map[string]time.Time{}, newestHeartbeats: heartbeatHistory{}, leases: newLeaseKeeper(set, w),
		changed: make(chan struct{}, 1), dispatchQueue: make(dispatchQueue, tuning.KickQueue), adoptions: map[string]wire.Heartbeat{},
		updatedMachines: map[string]struct{}{},
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

// SetPeerLastAnswered tells the fleet how to learn when another node last answered this one.
func (f *Registry) SetPeerLastAnswered(reached func(node string) time.Time) {
	f.leases.peerLastAnswered = reached
}

// noteRunning notes that this process runs.
func (f *Registry) noteRunning(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases.pauses.noteRunning(now)
}

// machineEntry gives what is known of a machine, an empty entry if there was none. Callers hold mu.
func (f *Registry) machineEntry(name string) *machine {
	m := f.machines[name]
	if m == nil {
		m = newMachine()
		f.machines[name] = m
	}
	return m
}

// adopt notes that the record of a machine is missing or behind its report. Callers hold mu.
func (f *Registry) adopt(report *wire.Heartbeat) {
	f.adoptions[report.Machine] = *report
	f.notifyChanged()
}

// outboundLost tells whether a machine answers commands while its heartbeats have been due for some time.
// Callers hold mu.
func (f *Registry) outboundLost(m *machine, now time.Time) bool {
	return m.link.outboundLost(f.heartbeatIntervals(tuning.SilentAfter), now)
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
	f.newestHeartbeats.removeOld(f.settings.Lease(), now)
	for n, m := range f.machines {
		_, owned := f.membership.MayServeAgents(clusterstate.ShardOf(n, f.clusterState.ShardCount))
		if f.clusterState.Machines[n] == nil && now.Sub(m.link.lastHeard) > f.settings.Lease() || !owned {
			delete(f.machines, n)
			delete(f.adoptions, n)
		}
	}
}

// heartbeatIntervals is the time of so many report intervals.
func (f *Registry) heartbeatIntervals(n float64) time.Duration {
	return time.Duration(n * float64(f.settings.Report()))
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

// MachineStatus gives a machine's state under a token.
func (f *Registry) MachineStatus(name string, token uint64) MachineStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[name]
	if m == nil {
		return MachineStatus{}
	}
	now := time.Now()
	s := MachineStatus{LastHeard: m.link.lastHeard, Session: m.session.id, ReclaimAt: m.reclaimAt, FailedJobs: len(m.failedJobs), UnresolvedStart: m.starts.hasUnresolved(token), CommandUnanswered: m.link.commandUnanswered()}
	s.InboundConfirmed = m.link.inboundConfirmed()
	s.InboundLost = m.link.inboundLostForLong(now)
	if s.InboundLost {
		s.OneWaySince = m.link.inboundLostSince
	}
	silent := f.heartbeatIntervals(tuning.SilentAfter)
	from, _ := m.link.heartbeatExpected()
	mute := f.outboundLost(m, now)
	s.OutboundLost, s.LeaseExpiry = mute, from.Add(f.settings.Lease())
	if mute {
		s.OneWaySince = from
	}
	s.Schedulable = m.session.id != 0 && m.session.fencingToken == token && m.reclaimAt.IsZero() && now.Sub(m.link.lastHeard) < silent && !s.CommandUnanswered && !m.link.inboundLost() && !s.OutboundLost &&
		now.Sub(m.startRefusedAt) > tuning.RefuseHold && len(m.failedJobs) < tuning.MachineErrors
	return s
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
		m.failedJobs[job] = struct{}{}
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

// HasFreshState tells whether this node's view is fresh enough to take parts.
func (f *Registry) HasFreshState() bool {
	fresh := f.completeAsOf()
	return !fresh.IsZero() && time.Since(fresh) < tuning.ReadyStale
}
