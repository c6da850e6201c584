package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/membership"
	"sableusher/internal/tuning"
)

// leaseKeeper decides whether the response to a heartbeat may renew the agent's lease. Renewing a lease without
// knowing of a cancellation must not break the deadline of that cancellation (safety invariants 5 and 23). Registry.mu
// guards it.
type leaseKeeper struct {
	settings     *config.Settings
	clusterState *clusterstate.State
	pauses       pauseDetector
	startedAt    time.Time // when this process started
	// peerLastAnswered returns when another node last answered this one. It is nil until SetPeerLastAnswered is
	// called.
	peerLastAnswered func(node string) time.Time
	// initialTokens has, by machine, the fencing token that the agent had when it first reported to this process
	// while the process had no cluster state.
	initialTokens map[string]uint64
}

func newLeaseKeeper(settings *config.Settings, clusterState *clusterstate.State) leaseKeeper {
	return leaseKeeper{
		settings: settings, clusterState: clusterState, startedAt: time.Now(), initialTokens: map[string]uint64{},
	}
}

// maxStateAge returns the age of the cluster state up to which leases are renewed if cancellations are confirmed
// immediately. A task whose cancellation the state does not show yet must still end with its lease, within the
// cancellation deadline.
func (k *leaseKeeper) maxStateAge() time.Duration {
	slack := k.settings.CancelDeadline() - k.settings.LeaseDuration()
	return time.Duration(float64(slack)*(1-2*tuning.ClockDriftFraction)) - tuning.LeaseMargin
}

// mayRenew reports whether leases may be renewed based on a cluster state that was last complete at completeAsOf. If
// cancellations are confirmed only once no task is left, the age of the state does not matter: renewing a lease
// without knowing of a cancellation breaks no deadline, and tasks in a partitioned zone keep running. Otherwise the
// state must not be older than maxStateAge, so that the lease expires in time. After a suspension of the process
// nothing is renewed until the state is confirmed. Callers hold the cluster state's lock.
func (k *leaseKeeper) mayRenew(now, completeAsOf time.Time) bool {
	k.pauses.recordRunning(now)
	if completeAsOf.IsZero() || k.pauses.resumedAt.After(completeAsOf) {
		return false
	}
	return k.clusterState.SchemaVersion >= tuning.SchemaVersionConfirmedCancel ||
		now.Sub(completeAsOf) <= k.maxStateAge()
}

// mayRenewForOwner reports whether this node may renew the lease of an agent whose shard another node owns. It may if
// the owner has not answered this node for tuning.OwnerUnreachableAfter, the cluster state is at least
// tuning.SessionTTL old, and mayRenew allows a renewal with that state. The node infers from this that there is a
// partition, but cannot know on which side of it the owner is. The response starts no tasks. It carries the
// agent's token if that is of the owner's ownership as this node knows it, and the owner's token otherwise; an agent
// with a token of a later ownership gets no renewal. Callers hold the cluster state's lock.
func (k *leaseKeeper) mayRenewForOwner(h *heartbeatRequest, owner clusterstate.Shard) bool {
	newerOwner := h.report.FencingToken > membership.TokenRangeOf(owner.FencingToken).Last
	if newerOwner || h.recorded == nil || h.recorded.Deleting {
		return false
	}
	if h.stateAge() < tuning.SessionTTL || !k.mayRenew(h.now, h.completeAsOf) {
		return false
	}
	return k.peerLastAnswered != nil && !k.reachable(owner.Owner, h.now)
}

// mayRenewWithoutState reports whether this process may renew the lease of an agent although it has no cluster state
// at all. That is the case for a process that was started in a partitioned zone to replace one that had renewed the
// leases there. It treats the missing state like an arbitrarily old one: its response neither starts nor stops tasks.
//
// Such a renewal is safe only if cancellations are confirmed once no task is left, which the agent's own token shows.
// It also requires that no other node can be reached, since that node might have a cluster state, and that the agent's
// token has not risen since its first report: otherwise an owner reaches the agent, and the agent must stay with that
// owner. A process that was suspended, or that has not yet run for tuning.OwnerUnreachableAfter, renews nothing.
func (k *leaseKeeper) mayRenewWithoutState(h *heartbeatRequest) bool {
	k.pauses.recordRunning(h.now)
	if !h.completeAsOf.IsZero() {
		clear(k.initialTokens)
		return false
	}
	if !k.pauses.resumedAt.IsZero() || h.report.FencingToken < tuning.ConfirmedCancelTokenBase ||
		k.peerLastAnswered == nil || h.now.Sub(k.startedAt) < tuning.OwnerUnreachableAfter {
		return false
	}
	for _, peer := range k.settings.Peers {
		if k.reachable(peer.Node, h.now) {
			return false
		}
	}
	initial, ok := k.initialTokens[h.report.Machine]
	if !ok {
		initial = h.report.FencingToken
		k.initialTokens[h.report.Machine] = initial
	}
	return h.report.FencingToken == initial
}

// reachable reports whether a node has answered this one within tuning.OwnerUnreachableAfter.
func (k *leaseKeeper) reachable(node string, now time.Time) bool {
	return now.Sub(k.peerLastAnswered(node)) < tuning.OwnerUnreachableAfter
}

// pauseDetector detects that the process was suspended, for example together with its virtual machine. Its view of
// the cluster is then older than its clocks indicate (safety invariant 24).
type pauseDetector struct {
	lastRunning time.Time // when recordRunning was last called
	resumedAt   time.Time // when the process last resumed after a pause; zero if it never paused
}

// recordRunning records that the process runs at now. A gap of more than tuning.PauseThreshold since the last call
// counts as a pause.
func (d *pauseDetector) recordRunning(now time.Time) {
	if !d.lastRunning.IsZero() && now.Sub(d.lastRunning) > tuning.PauseThreshold {
		d.resumedAt = now
	}
	d.lastRunning = now
}
