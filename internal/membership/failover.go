package membership

import (
	"context"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// ownershipHistory holds the times at which this node first observed the current
// sessions and owners. Only the goroutine that reviews ownership accesses it.
type ownershipHistory struct {
	orphanedSince map[int]time.Time    // by shard without a live owner
	ownedSince    map[int]time.Time    // by shard that this node owns
	sessionSince  map[string]time.Time // by name of a node with a session
}

func newOwnershipHistory() ownershipHistory {
	return ownershipHistory{
		orphanedSince: map[int]time.Time{},
		ownedSince:    map[int]time.Time{},
		sessionSince:  map[string]time.Time{},
	}
}

// ownershipChange is a planned change of a shard's owner.
type ownershipChange struct {
	shard         int
	previousOwner string
	record        record.Shard
	transaction   kvstore.Transaction
}

// ownershipPlan is the result of a review of shard ownership.
type ownershipPlan struct {
	changes []ownershipChange
	// shardToRaise is one of this node's shards whose fencing token is still below
	// that of the schema version and has to be raised; LeaderShard if there is none.
	shardToRaise int
}

// reviewOwnership takes over shards without a live owner and returns shards to
// their home nodes. It does nothing while the cluster state may be stale.
func (m *Member) reviewOwnership(ctx context.Context) {
	completeAsOf := m.cache.CompleteAsOf()
	if completeAsOf.IsZero() || time.Since(completeAsOf) > tuning.ReadyMaxStateAge {
		return
	}
	plan := m.planOwnership()
	m.client.SetBudgetShare(m.budgetShare())
	if plan.shardToRaise != record.LeaderShard {
		m.FenceAndRaiseToken(ctx, plan.shardToRaise)
	}
	for _, change := range plan.changes {
		m.commitChange(ctx, change)
	}
}

func (m *Member) commitChange(ctx context.Context, change ownershipChange) {
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.KVRequestTimeout)
	defer cancel()
	if _, err := m.committer.Commit(ctx, change.transaction); err != nil {
		m.logger.Info("shard ownership change not committed", "shard", change.shard, "err", err)
		return
	}
	m.logger.Info("shard ownership changed", "shard", change.shard, "node", change.record.Owner,
		"fencing_token", change.record.FencingToken, "previous_node", change.previousOwner)
	// The new owner may act only after its cluster state contains the new record.
	m.cache.RequestReadBarrier()
}

// planOwnership plans which shards to take over, which to return to their home
// nodes, and for which shard to raise the fencing token.
func (m *Member) planOwnership() ownershipPlan {
	now := time.Now()
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	m.recordSessionTimes(now)
	plan := ownershipPlan{shardToRaise: record.LeaderShard}
	self, live := m.clusterState.Nodes[m.NodeName]
	if !live || self.Incarnation != m.Incarnation {
		return plan
	}
	m.recordOwnershipTimes(now)
	plan.shardToRaise = m.shardToRaise()
	owned := m.ownedCount()
	for shard := record.LeaderShard; shard < m.clusterState.ShardCount; shard++ {
		current, known := m.clusterState.Shards[shard]
		if known && m.ownerIsLive(current) {
			delete(m.history.orphanedSince, shard)
			if change, ok := m.returnShard(shard, current, now); ok {
				plan.changes = append(plan.changes, change)
			}
			continue
		}
		if change, ok := m.takeOver(shard, owned, now); ok {
			plan.changes = append(plan.changes, change)
			owned++
		}
	}
	return plan
}

// recordSessionTimes records when this node first observed a session of each
// node. The caller must hold the cluster state's lock.
func (m *Member) recordSessionTimes(now time.Time) {
	sessionSince := m.history.sessionSince
	for name := range m.clusterState.Nodes {
		if _, ok := sessionSince[name]; !ok {
			sessionSince[name] = now
		}
	}
	for name := range sessionSince {
		if _, ok := m.clusterState.Nodes[name]; !ok {
			delete(sessionSince, name)
		}
	}
}

// recordOwnershipTimes records when this node first observed that it owns each
// of its shards. The caller must hold the cluster state's lock.
func (m *Member) recordOwnershipTimes(now time.Time) {
	ownedSince := m.history.ownedSince
	for shard, current := range m.clusterState.Shards {
		if _, ok := ownedSince[shard]; !m.ownedBySelf(current) {
			delete(ownedSince, shard)
		} else if !ok {
			ownedSince[shard] = now
		}
	}
}

// shardToRaise returns one of this node's shards whose fencing token has to be
// raised to at least that of the schema version, or LeaderShard if there is none.
// The caller must hold the cluster state's lock.
func (m *Member) shardToRaise() int {
	found := record.LeaderShard
	minToken := minFencingToken(m.clusterState.SchemaVersion)
	for shard, current := range m.clusterState.Shards {
		if shard != record.LeaderShard && m.ownedBySelf(current) && current.FencingToken < minToken {
			found = shard
		}
	}
	return found
}

// takeOver plans the takeover of a shard without a live owner once this node's
// takeover delay has elapsed. The caller must hold the cluster state's lock.
func (m *Member) takeOver(shard, owned int, now time.Time) (ownershipChange, bool) {
	current, known := m.clusterState.Shards[shard]
	orphanedSince, ok := m.history.orphanedSince[shard]
	if !ok {
		orphanedSince = now
		m.history.orphanedSince[shard] = now
	}
	if now.Sub(orphanedSince) < m.takeoverDelay(shard, current, known, owned) {
		return ownershipChange{}, false
	}
	next := record.Shard{
		Owner:            m.NodeName,
		OwnerIncarnation: m.Incarnation,
		FencingToken:     nextFencingToken(current.FencingToken, m.clusterState.SchemaVersion),
	}
	conditions := []wire.Condition{sessionCondition(m.NodeName, m.clusterState.Nodes[m.NodeName])}
	if current.Owner != m.NodeName && current.Owner != "" {
		// The key of the owner's node is absent or belongs to another process. In both
		// cases the owner's session has ended.
		conditions = append(conditions, sessionCondition(current.Owner, m.clusterState.Nodes[current.Owner]))
	}
	return ownershipChange{
		shard:         shard,
		previousOwner: current.Owner,
		record:        next,
		transaction:   ownershipTransaction(shard, current, next, conditions...),
	}, true
}

// takeoverDelay returns how long this node waits before it takes over a shard
// without a live owner. The delay is 0 for the shard's home node and for its
// last owner. For other nodes it increases with the number of shards that they
// own, so that the nodes don't all try to take over the same shard. It is longer
// by tuning.HomeNodeGrace if the home node is live or the shard has no record yet.
// The caller must hold the cluster state's lock.
func (m *Member) takeoverDelay(shard int, current clusterstate.Shard, known bool, owned int) time.Duration {
	home := m.homeNode(shard)
	if home == m.NodeName || current.Owner == m.NodeName {
		return 0
	}
	delay := time.Duration(owned) * tuning.FailoverStagger
	if _, homeIsLive := m.clusterState.Nodes[home]; homeIsLive || !known {
		delay += tuning.HomeNodeGrace
	}
	return delay
}
