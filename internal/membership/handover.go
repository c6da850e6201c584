package membership

import (
	"context"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// handBack plans to return a shard to its home node once that has been back for
// a while, so that a crash doesn't leave all shards with one node. The caller
// holds the cluster state's lock.
func (m *Member) handBack(shard int, current clusterstate.Shard, now time.Time) (ownershipChange, bool) {
	home := m.homeNode(shard)
	if shard == record.LeaderShard || !m.ownedBySelf(current) || home == m.NodeName || m.fences.isRunning(shard) {
		return ownershipChange{}, false
	}
	wait := tuning.ShardReturnDelay
	if current.HandedOff {
		wait = tuning.HandOffHold
	}
	homeNode, homeIsLive := m.clusterState.Nodes[home]
	homeSince, ownedSince := m.history.sessionSince[home], m.history.ownedSince[shard]
	if !homeIsLive || now.Sub(homeSince) < wait || now.Sub(ownedSince) < wait {
		return ownershipChange{}, false
	}
	next := record.Shard{
		Owner:            home,
		OwnerIncarnation: homeNode.Incarnation,
		FencingToken:     nextFencingToken(current.FencingToken, m.clusterState.SchemaVersion),
	}
	self := sessionCondition(m.NodeName, m.clusterState.Nodes[m.NodeName])
	return ownershipChange{
		shard:         shard,
		previousOwner: m.NodeName,
		record:        next,
		transaction:   ownershipTransaction(shard, current, next, self, sessionCondition(home, homeNode)),
	}, true
}

// TransferShard hands a shard to another node, which hears the shard's agents
// while this one doesn't.
func (m *Member) TransferShard(ctx context.Context, shard int, to string) {
	m.clusterState.RLock()
	current, known := m.clusterState.Shards[shard]
	target, live := m.clusterState.Nodes[to]
	schemaVersion := m.clusterState.SchemaVersion
	m.clusterState.RUnlock()
	if !known || !live || !m.ownedBySelf(current) || m.fences.isRunning(shard) {
		return
	}
	next := record.Shard{
		Owner:            to,
		OwnerIncarnation: target.Incarnation,
		FencingToken:     nextFencingToken(current.FencingToken, schemaVersion),
		HandedOff:        true,
	}
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.KVRequestTimeout)
	defer cancel()
	_, err := m.committer.Commit(ctx, ownershipTransaction(shard, current, next, sessionCondition(to, target)))
	m.logger.Info("shard transferred: its agents send heartbeats elsewhere", "shard", shard, "node", to, "err", err)
}
