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
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

const (
	// firstSession is the session of an agent whose record names none.
	firstSession = 1
	// redirectRetention is how long it is kept that an agent was sent to another node: longer than
	// redirectLoopWindow and RecentlyHeard look back.
	redirectRetention = time.Minute
	// minStopRequestAge is how long a stop request is kept at least where the cluster state does not show its
	// attempt as bound.
	minStopRequestAge = time.Second
)

// Registry is what a controller node knows of the machines of its shards, and of the others that report to it.
// It is safe for concurrent use.
type Registry struct {
	settings     *config.Settings
	clusterState *clusterstate.State
	membership   *membership.Member
	completeAsOf func() time.Time // when the cluster state was last complete; zero: never
	logger       *slog.Logger

	client        *commandClient
	dispatchQueue dispatchQueue
	dispatchSlots *semaphore.Weighted // bounds the direct commands on their way

	// mu guards everything below, the machines' contents included. Where the cluster state's lock is needed as
	// well, it is taken first.
	mu               sync.Mutex
	machines         map[string]*machine
	leases           leaseKeeper
	newestHeartbeats heartbeatHistory
	stopRequests     map[attemptKey]stopRequest
	redirectedAt     map[string]time.Time // when an agent was last sent to another node
	updates          updates
}

// Config has what a registry works with.
type Config struct {
	Settings     *config.Settings
	ClusterState *clusterstate.State
	Membership   *membership.Member
	// CompleteAsOf tells when the cluster state was last complete; zero: never.
	CompleteAsOf func() time.Time
	Logger       *slog.Logger
	// Transport carries direct commands; nil: the network.
	Transport http.RoundTripper
}

// New makes an empty registry.
func New(c Config) *Registry {
	return &Registry{
		settings: c.Settings, clusterState: c.ClusterState, membership: c.Membership,
		completeAsOf: c.CompleteAsOf, logger: c.Logger,

		client:        newCommandClient(c.Transport, c.Settings.Deployment.Limits.MaxSockets),
		dispatchQueue: make(dispatchQueue, tuning.DispatchQueueLength),
		dispatchSlots: semaphore.NewWeighted(tuning.MaxCommandsInFlight),

		machines:         map[string]*machine{},
		leases:           newLeaseKeeper(c.Settings, c.ClusterState),
		newestHeartbeats: heartbeatHistory{},
		stopRequests:     map[attemptKey]stopRequest{},
		redirectedAt:     map[string]time.Time{},
		updates:          newUpdates(),
	}
}

// SetPeerLastAnswered sets what tells when another node last answered this one, zero if it never did. It is
// called before the first heartbeat.
func (r *Registry) SetPeerLastAnswered(lastAnswered func(node string) time.Time) {
	r.leases.peerLastAnswered = lastAnswered
}

// HasFreshState tells whether the cluster state is fresh enough for this node to take shards.
func (r *Registry) HasFreshState() bool {
	completeAsOf := r.completeAsOf()
	return !completeAsOf.IsZero() && time.Since(completeAsOf) < tuning.ReadyMaxStateAge
}

// ensureMachine gives what is known of a machine, and makes an empty entry if there was none. Callers hold mu.
func (r *Registry) ensureMachine(name string) *machine {
	m := r.machines[name]
	if m == nil {
		m = newMachine()
		r.machines[name] = m
	}
	return m
}

// heartbeatIntervals is the time of so many intervals between heartbeats.
func (r *Registry) heartbeatIntervals(count float64) time.Duration {
	return time.Duration(count * float64(r.settings.HeartbeatInterval()))
}

// noteRunning notes that this process runs.
func (r *Registry) noteRunning(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.pauses.noteRunning(now)
}

// removeExpired forgets what no record and no report needs any more.
func (r *Registry) removeExpired() {
	r.clusterState.RLock()
	defer r.clusterState.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.removeStopRequests(now)
	for name, at := range r.redirectedAt {
		if now.Sub(at) > redirectRetention {
			delete(r.redirectedAt, name)
		}
	}
	r.newestHeartbeats.removeOld(r.settings.LeaseDuration(), now)
	r.removeMachines(now)
}

// removeStopRequests forgets the stop requests whose attempts are over. Callers hold the cluster state's lock
// and mu.
func (r *Registry) removeStopRequests(now time.Time) {
	for key, request := range r.stopRequests {
		job := r.clusterState.Jobs[key.ref.JobID]
		if job == nil || !job.HasRecord {
			delete(r.stopRequests, key)
			continue
		}
		task := job.Task(key.ref.Index)
		bound := task.State == record.TaskBound && task.Attempt == key.attempt
		if !bound && now.Sub(request.requestedAt) > minStopRequestAge {
			delete(r.stopRequests, key)
		}
	}
}

// removeMachines forgets the machines of other owners' shards, and those without a record that have been silent
// for a lease. Callers hold the cluster state's lock and mu.
func (r *Registry) removeMachines(now time.Time) {
	for name, m := range r.machines {
		_, owned := r.membership.MayServeAgents(record.ShardOf(name, r.clusterState.ShardCount))
		unknown := r.clusterState.Machines[name] == nil
		if !owned || unknown && now.Sub(m.link.lastHeard) > r.settings.LeaseDuration() {
			delete(r.machines, name)
			delete(r.updates.adoptions, name)
		}
	}
}
