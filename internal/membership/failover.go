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

// ownershipHistory is since when things are as they are, as this node saw it.
// It belongs to the goroutine that reviews ownership.
type ownershipHistory struct {
	orphanedSince map[int]time.Time    // shards without a live owner
	ownedSince    map[int]time.Time    // shards of this node
	sessionSince  map[string]time.Time // nodes with a session
}

func newOwnershipHistory() ownershipHistory {
	return ownershipHistory{
		orphanedSince: map[int]time.Time{},
		ownedSince:    map[int]time.Time{},
		sessionSince:  map[string]time.Time{},
	}
}

// ownershipChange is a new owner of a shard, to be committed.
type ownershipChange struct {
	shard         int
	previousOwner string
	record        record.Shard
	transaction   kvstore.Transaction
}

// ownershipPlan is what a review found to do.
type ownershipPlan struct {
	changes []ownershipChange
	// shardToMark is one of this node's shards whose fencing token doesn't say yet
	// that cancellations are confirmed; LeaderShard: none.
	shardToMark int
}

// reviewOwnership takes over shards, and hands back others to their home nodes.
// It does nothing on a cluster state that may be old.
func (m *Member) reviewOwnership(ctx context.Context) {
	completeAsOf := m.cache.CompleteAsOf()
	if completeAsOf.IsZero() || time.Since(completeAsOf) > tuning.ReadyMaxStateAge {
		return
	}
	plan := m.planOwnership()
	m.client.SetBudgetShare(m.budgetShare())
	if plan.shardToMark != record.LeaderShard {
		m.FenceAndRaiseToken(ctx, plan.shardToMark)
	}
	for _, change := range plan.changes {
		m.commitChange(ctx, change)
	}
}

func (m *Member) commitChange(ctx context.Context, change ownershipChange) {
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.KVRequestTimeout)
	defer cancel()
	if _, err := m.committer.Commit(ctx, change.transaction); err != nil {
		m.logger.Info("shard not taken over", "shard", change.shard, "err", err)
		return
	}
	m.logger.Info("shard changes owner", "shard", change.shard, "node", change.record.Owner,
		"fencing_token", change.record.FencingToken, "previous_node", change.previousOwner)
	// The new owner may act only once the cluster state has its record.
	m.cache.RequestReadBarrier()
}

// planOwnership looks for shards to take over, to hand back, and to mark.
func (m *Member) planOwnership() ownershipPlan {
	now := time.Now()
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	m.noteSessions(now)
	plan := ownershipPlan{shardToMark: record.LeaderShard}
	self, live := m.clusterState.Nodes[m.NodeName]
	if !live || self.Incarnation != m.Incarnation {
		return plan
	}
	m.noteOwnedShards(now)
	plan.shardToMark = m.shardToMark()
	owned := m.ownedCount()
	for shard := record.LeaderShard; shard < m.clusterState.ShardCount; shard++ {
		current, known := m.clusterState.Shards[shard]
		if known && m.ownerIsLive(current) {
			delete(m.history.orphanedSince, shard)
			if change, ok := m.handBack(shard, current, now); ok {
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

// noteSessions keeps since when each node has a session. The caller holds the
// cluster state's lock.
func (m *Member) noteSessions(now time.Time) {
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

// noteOwnedShards keeps since when this node owns each of its shards. The
// caller holds the cluster state's lock.
func (m *Member) noteOwnedShards(now time.Time) {
	ownedSince := m.history.ownedSince
	for shard, current := range m.clusterState.Shards {
		if _, ok := ownedSince[shard]; !m.ownedBySelf(current) {
			delete(ownedSince, shard)
		} else if !ok {
			ownedSince[shard] = now
		}
	}
}

// shardToMark is one of this node's shards whose next fencing token is the
// first to say that cancellations are confirmed; LeaderShard if there is none.
// The caller holds the cluster state's lock.
func (m *Member) shardToMark() int {
	found := record.LeaderShard
	for shard, current := range m.clusterState.Shards {
		next := nextFencingToken(current.FencingToken, m.clusterState.SchemaVersion)
		if shard != record.LeaderShard && m.ownedBySelf(current) && next > current.FencingToken+1 {
			found = shard
		}
	}
	return found
}

// takeOver plans to take a shard without a live owner, once it is this node's
// turn. The caller holds the cluster state's lock.
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
		// Absent, or present as another process: either way the owner's session is gone.
		conditions = append(conditions, sessionCondition(current.Owner, m.clusterState.Nodes[current.Owner]))
	}
	return ownershipChange{
		shard:         shard,
		previousOwner: current.Owner,
		record:        next,
		transaction:   ownershipTransaction(shard, current, next, conditions...),
	}, true
}

// takeoverDelay is how long this node leaves a shard without a live owner to
// others: none for its home node and its last owner, and otherwise the longer
// the more shards it owns, so that nodes don't all want the same one. The
// caller holds the cluster state's lock.
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
