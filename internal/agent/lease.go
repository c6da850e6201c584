package agent

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/tuning"
)

// leaseKeeper decides whether an answer may renew an agent's lease. A lease that is renewed without knowing of
// a cancellation must break no promise about it (safety invariants 5 and 23). Registry.mu guards it.
type leaseKeeper struct {
	settings     *config.Settings
	clusterState *clusterstate.State
	pauses       pauseDetector
	startedAt    time.Time // when this process was
	// peerLastAnswered says when another node last answered this one; nil: not known yet.
	peerLastAnswered func(node string) time.Time
	// initialTokens are the fencing tokens that agents had when they first reported to a process without a
	// cluster state.
	initialTokens map[string]uint64
}

func newLeaseKeeper(settings *config.Settings, clusterState *clusterstate.State) leaseKeeper {
	return leaseKeeper{
		settings: settings, clusterState: clusterState, startedAt: time.Now(), initialTokens: map[string]uint64{},
	}
}

// maxStateAge is the age of the cluster state up to which leases are renewed where cancellations are confirmed
// at once: one that the state has not seen must still end with the lease in time.
func (k *leaseKeeper) maxStateAge() time.Duration {
	slack := k.settings.CancelDeadline() - k.settings.LeaseDuration()
	return time.Duration(float64(slack)*(1-2*tuning.ClockDriftFraction)) - tuning.LeaseMargin
}

// mayRenew tells whether leases may be renewed on a cluster state that is complete as of some time. Where a
// cancellation is confirmed once no task is left, a lease that is renewed without knowing of one breaks no
// promise, and a zone that is cut off works on. Otherwise the lease must end in time. A process that stood
// still believes nothing until its state is confirmed. Callers hold the cluster state's lock.
func (k *leaseKeeper) mayRenew(now, completeAsOf time.Time) bool {
	k.pauses.noteRunning(now)
	if completeAsOf.IsZero() || k.pauses.resumedAt.After(completeAsOf) {
		return false
	}
	return k.clusterState.SchemaVersion >= tuning.SchemaVersionConfirmedCancel ||
		now.Sub(completeAsOf) <= k.maxStateAge()
}

// mayRenewForOwner tells whether this node may renew the lease of an agent whose shard another node owns: the
// owner is out of reach, as is this node's own way to the key-value store, so that both are cut off together.
// The answer starts nothing. The agent takes it with the token it has seen; one that has seen a higher one has
// a newer owner. Callers hold the cluster state's lock.
func (k *leaseKeeper) mayRenewForOwner(h *heartbeatRequest, owner clusterstate.Shard) bool {
	if h.report.FencingToken > owner.FencingToken || h.recorded == nil || h.recorded.Deleting {
		return false
	}
	if h.stateAge() < tuning.SessionTTL || !k.mayRenew(h.now, h.completeAsOf) {
		return false
	}
	return k.peerLastAnswered != nil && !k.reachable(owner.Owner, h.now)
}

// mayRenewWithoutState tells whether this process may renew the lease of an agent though it has no cluster
// state at all: it was started in a zone that is cut off, where its predecessor kept the leases. No state is
// the oldest there can be: the answer starts nothing and stops nothing. That cancellations are confirmed late,
// which makes it safe, the agent's own token says. Another node that can be reached may know more, so there
// must be none; and an agent whose token rises meanwhile has an owner that reaches it, to whom it must not be
// lost.
func (k *leaseKeeper) mayRenewWithoutState(h *heartbeatRequest) bool {
	k.pauses.noteRunning(h.now)
	if !h.completeAsOf.IsZero() {
		clear(k.initialTokens)
		return false
	}
	if !k.pauses.resumedAt.IsZero() || h.report.FencingToken < tuning.ConfirmedCancelTokenBase ||
		k.peerLastAnswered == nil || h.now.Sub(k.startedAt) < tuning.OwnerUnreachableAfter {
		return false
	}
	for _, sibling := range k.settings.Peers {
		if k.reachable(sibling.Node, h.now) {
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

// reachable tells whether a node has answered this one lately.
func (k *leaseKeeper) reachable(node string, now time.Time) bool {
	return now.Sub(k.peerLastAnswered(node)) < tuning.OwnerUnreachableAfter
}

// pauseDetector notices that the process stood still, for instance while its virtual machine was suspended:
// what it believes is then older than its clocks say (safety invariant 24).
type pauseDetector struct {
	lastRunning time.Time // when the process was last seen to run
	resumedAt   time.Time // when it last went on after a pause; zero: it never paused
}

// noteRunning notes that the process runs, and whether it stood still before.
func (d *pauseDetector) noteRunning(now time.Time) {
	if !d.lastRunning.IsZero() && now.Sub(d.lastRunning) > tuning.PauseThreshold {
		d.resumedAt = now
	}
	d.lastRunning = now
}
