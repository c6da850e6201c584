package membership

import (
	"context"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// returnShard plans the return of a shard to its home node, so that one node doesn't
// keep all shards after a crash. The home node must have had a session, and this
// node must have owned the shard, for tuning.ShardReturnDelay, or for
// tuning.TransferredShardReturnDelay if the shard was transferred with TransferShard. The caller
// must hold the cluster state's lock.
func (m *Member) returnShard(shard int, current clusterstate.Shard, now time.Time) (ownershipChange, bool) {
	home := m.homeNode(shard)
	if shard == record.LeaderShard || !m.ownedBySelf(current) || home == m.NodeName || m.fences.isRunning(shard) {
		return ownershipChange{}, false
	}
	wait := tuning.ShardReturnDelay
	if current.Transferred {
		wait = tuning.TransferredShardReturnDelay
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

// TransferShard transfers a shard that this node owns to another live node. It is
// called if the agents of most of the shard's machines report to that node and not
// to this one. It makes one attempt and does nothing while a fence of the shard
// runs.
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
		Transferred:      true,
	}
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.KVRequestTimeout)
	defer cancel()
	_, err := m.committer.Commit(ctx, ownershipTransaction(shard, current, next, sessionCondition(to, target)))
	m.logger.Info("shard transfer attempted", "shard", shard, "node", to, "err", err)
}
