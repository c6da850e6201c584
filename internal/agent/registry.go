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
	// firstSession is the session of an agent whose record has no session.
	firstSession = 1
	// redirectRetention is how long the redirect of an agent is remembered. It is longer than redirectLoopWindow and
	// than the period that RecentlyReporting covers.
	redirectRetention = time.Minute
)

// Registry has a controller node's view of the machines of its shards and of other machines that report to it. It is
// safe for concurrent use.
type Registry struct {
	settings     *config.Settings
	clusterState *clusterstate.State
	membership   *membership.Member
	completeAsOf func() time.Time // when the cluster state was last complete; zero if it never was
	logger       *slog.Logger

	client        *commandClient
	dispatchQueue dispatchQueue
	dispatchSlots *semaphore.Weighted // limits the direct commands in flight

	// mu guards all fields below, including the contents of the machines. Code that needs both locks acquires the
	// cluster state's lock first.
	mu               sync.Mutex
	machines         map[string]*machine
	leases           leaseKeeper
	newestHeartbeats heartbeatHistory
	stopRequests     map[attemptKey]stopRequest
	redirectedAt     map[string]time.Time // when an agent was last sent to another node
	updates          updates
}

// Config has the dependencies of a Registry.
type Config struct {
	Settings     *config.Settings
	ClusterState *clusterstate.State
	Membership   *membership.Member
	// CompleteAsOf returns when the cluster state was last complete, or the zero time if it never was.
	CompleteAsOf func() time.Time
	Logger       *slog.Logger
	// Transport sends direct commands; nil means the network.
	Transport http.RoundTripper
}

// New returns an empty Registry.
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

// SetPeerLastAnswered sets the function that returns when another node last answered this one, or the zero time if it
// never did. It must be called before the first heartbeat is handled.
func (r *Registry) SetPeerLastAnswered(lastAnswered func(node string) time.Time) {
	r.leases.peerLastAnswered = lastAnswered
}

// HasFreshState reports whether the cluster state is fresh enough for this node to take over shards.
func (r *Registry) HasFreshState() bool {
	completeAsOf := r.completeAsOf()
	return !completeAsOf.IsZero() && time.Since(completeAsOf) < tuning.ReadyMaxStateAge
}

// ensureMachine returns the entry of a machine and creates an empty one if there is none. Callers hold mu.
func (r *Registry) ensureMachine(name string) *machine {
	m := r.machines[name]
	if m == nil {
		m = newMachine()
		r.machines[name] = m
	}
	return m
}

// heartbeatIntervals returns the duration of count heartbeat intervals.
func (r *Registry) heartbeatIntervals(count float64) time.Duration {
	return time.Duration(count * float64(r.settings.HeartbeatInterval()))
}

// recordRunning records that this process runs at now, to detect pauses.
func (r *Registry) recordRunning(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.pauses.recordRunning(now)
}

// removeExpired removes the entries that are not needed any more.
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

// removeMachines removes the machines whose shards this node does not serve, and those without a record that have
// sent no report for the duration of a lease. It also removes the attempts that were forgotten long ago. Callers hold
// the cluster state's lock and mu.
func (r *Registry) removeMachines(now time.Time) {
	for name, m := range r.machines {
		m.removeForgotten(now)
		_, mayServe := r.membership.MayServeAgents(record.ShardOf(name, r.clusterState.ShardCount))
		unknown := r.clusterState.Machines[name] == nil
		if !mayServe || unknown && now.Sub(m.link.lastReport) > r.settings.LeaseDuration() {
			delete(r.machines, name)
			delete(r.updates.outdatedRecords, name)
		}
	}
}
