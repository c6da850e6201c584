package membership

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Ownership describes this node's ownership of a shard.
type Ownership struct {
	FencingToken uint64
	// ModRevision is the mod revision of the shard's record. Every write for the
	// shard has it as a condition.
	ModRevision uint64
}

// Ownership returns this node's ownership of a shard. It reports false if the
// node doesn't own the shard, is fencing it, or has a cluster state without some
// of the changes that precede the shard's record. The caller must hold the
// cluster state's lock.
func (m *Member) Ownership(shard int) (Ownership, bool) {
	current, known := m.clusterState.Shards[shard]
	if !known || !m.ownedBySelf(current) {
		return Ownership{}, false
	}
	ownership := Ownership{FencingToken: current.FencingToken, ModRevision: current.ModRevision}
	return ownership, m.cache.Revision() >= current.ModRevision && !m.fences.isRunning(shard)
}

// MayServeAgents reports whether this node may answer the agents of a shard, and
// returns the fencing token to use. Unlike Ownership it may report true before
// the node has rebuilt the shard's state. The caller must hold the cluster
// state's lock.
func (m *Member) MayServeAgents(shard int) (fencingToken uint64, ok bool) {
	current, known := m.clusterState.Shards[shard]
	return current.FencingToken, known && m.ownedBySelf(current)
}

// OwnerOf returns the name of a shard's owner and reports whether its session is
// live. The caller must hold the cluster state's lock.
func (m *Member) OwnerOf(shard int) (owner string, isLive bool) {
	current, known := m.clusterState.Shards[shard]
	if !known {
		return "", false
	}
	return current.Owner, m.ownerIsLive(current)
}

// ownerIsLive reports whether the process that owns a shard according to its
// record has a session. The caller must hold the cluster state's lock.
func (m *Member) ownerIsLive(current clusterstate.Shard) bool {
	node, live := m.clusterState.Nodes[current.Owner]
	return live && node.Incarnation == current.OwnerIncarnation
}

// ownedBySelf reports whether this process is the owner in a shard's record.
func (m *Member) ownedBySelf(current clusterstate.Shard) bool {
	return current.Owner == m.NodeName && current.OwnerIncarnation == m.Incarnation
}

// homeNode returns the node that owns a shard when all nodes are live.
func (m *Member) homeNode(shard int) string {
	if shard == record.LeaderShard {
		return m.nodeNames[0]
	}
	return m.nodeNames[shard%len(m.nodeNames)]
}

// ownedCount returns the number of shards that this node owns, including
// LeaderShard. The caller must hold the cluster state's lock.
func (m *Member) ownedCount() int {
	count := 0
	for _, current := range m.clusterState.Shards {
		if m.ownedBySelf(current) {
			count++
		}
	}
	return count
}

// budgetShare returns this node's share of the key-value store's request budget.
// One part of the budget is divided evenly among the live nodes. The rest is
// divided in proportion to the number of shards that each node owns, because their
// tasks cause the writes. The shares of all live nodes together do not exceed
// tuning.KVBudgetShare. A node without a session assumes an equal share for each
// node of the deployment.
func (m *Member) budgetShare() float64 {
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	if _, live := m.clusterState.Nodes[m.NodeName]; !live {
		return tuning.KVBudgetShare / float64(len(m.nodeNames))
	}
	evenShare := tuning.KVEvenBudgetShare / float64(len(m.clusterState.Nodes))
	shardCount := m.clusterState.ShardCount + 1 // including LeaderShard
	return tuning.KVBudgetShare * (evenShare + (1-tuning.KVEvenBudgetShare)*float64(m.ownedCount())/float64(shardCount))
}

// ownershipTransaction returns the transaction that writes a shard's record on
// condition that the record has not changed and that the other conditions hold.
func ownershipTransaction(
	shard int, current clusterstate.Shard, next record.Shard, others ...wire.Condition,
) kvstore.Transaction {
	key := record.ShardKey(shard)
	return kvstore.Transaction{
		Conditions: append([]wire.Condition{{Key: key, ModRevision: current.ModRevision}}, others...),
		Ops:        []wire.Op{kvstore.PutOp(key, next)},
		Priority:   kvstore.PriorityUrgent,
	}
}

// sessionCondition returns the condition that a node's session record has the mod
// revision of node. If node is zero, the condition is that the node has no session.
func sessionCondition(name string, node clusterstate.Node) wire.Condition {
	return wire.Condition{Key: record.NodeKey(name), ModRevision: node.ModRevision}
}
