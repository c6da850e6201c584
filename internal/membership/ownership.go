package membership

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Ownership is this node's claim to a shard.
type Ownership struct {
	FencingToken uint64
	// ModRevision is that of the shard's record: the condition of every write for
	// the shard.
	ModRevision uint64
}

// Ownership returns this node's claim to a shard. It reports false if the node
// doesn't own the shard, hasn't seen yet all that was written before it took
// the shard, or is fencing it. The caller holds the cluster state's lock.
func (m *Member) Ownership(shard int) (Ownership, bool) {
	current, known := m.clusterState.Shards[shard]
	if !known || !m.ownedBySelf(current) {
		return Ownership{}, false
	}
	claim := Ownership{FencingToken: current.FencingToken, ModRevision: current.ModRevision}
	return claim, m.cache.Revision() >= current.ModRevision && !m.fences.isRunning(shard)
}

// MayServeAgents reports whether this node may answer the agents of a shard,
// though it may not have rebuilt the shard's state yet, and with which fencing
// token. The caller holds the cluster state's lock.
func (m *Member) MayServeAgents(shard int) (fencingToken uint64, ok bool) {
	current, known := m.clusterState.Shards[shard]
	return current.FencingToken, known && m.ownedBySelf(current)
}

// OwnerOf names a shard's owner and reports whether its session lives. The
// caller holds the cluster state's lock.
func (m *Member) OwnerOf(shard int) (owner string, isLive bool) {
	current, known := m.clusterState.Shards[shard]
	if !known {
		return "", false
	}
	return current.Owner, m.ownerIsLive(current)
}

// ownerIsLive reports whether the process that a record names has a session.
// The caller holds the cluster state's lock.
func (m *Member) ownerIsLive(current clusterstate.Shard) bool {
	node, live := m.clusterState.Nodes[current.Owner]
	return live && node.Incarnation == current.OwnerIncarnation
}

// ownedBySelf reports whether a record names this process.
func (m *Member) ownedBySelf(current clusterstate.Shard) bool {
	return current.Owner == m.NodeName && current.OwnerIncarnation == m.Incarnation
}

// homeNode is the node that owns a shard when all are well.
func (m *Member) homeNode(shard int) string {
	if shard == record.LeaderShard {
		return m.nodeNames[0]
	}
	return m.nodeNames[shard%len(m.nodeNames)]
}

// ownedCount is the number of shards that this node owns, the leader's
// included. The caller holds the cluster state's lock.
func (m *Member) ownedCount() int {
	count := 0
	for _, current := range m.clusterState.Shards {
		if m.ownedBySelf(current) {
			count++
		}
	}
	return count
}

// budgetShare is this node's share of the key-value store's budget: a part is
// the same for all live nodes, the rest follows the shards, whose tasks cause
// the writes. All nodes' shares together keep within the whole.
func (m *Member) budgetShare() float64 {
	m.clusterState.RLock()
	defer m.clusterState.RUnlock()
	if _, live := m.clusterState.Nodes[m.NodeName]; !live {
		return tuning.KVBudgetShare / float64(len(m.nodeNames))
	}
	evenShare := tuning.KVEvenBudgetShare / float64(len(m.clusterState.Nodes))
	shardCount := m.clusterState.ShardCount + 1 // the leader's included
	return tuning.KVBudgetShare * (evenShare + (1-tuning.KVEvenBudgetShare)*float64(m.ownedCount())/float64(shardCount))
}

// ownershipTransaction writes a shard's record, on condition that nobody has
// changed it and that the other conditions hold.
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

// sessionCondition holds while a node's session is the one that is known.
func sessionCondition(name string, node clusterstate.Node) wire.Condition {
	return wire.Condition{Key: record.NodeKey(name), ModRevision: node.ModRevision}
}
