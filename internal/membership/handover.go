package membership

import (
	"context"
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

// handBack plans to return a shard to its home node once that has been back for
// a while, so that a crash doesn't leave all shards with one node. The caller
// holds the cluster state's lock.
func (m *Member) handBack(shard int, record clusterstate.Shard, now time.Time) (ownershipChange, bool) {
	home := m.homeNode(shard)
	if shard == clusterstate.LeaderShard || !m.ownedBySelf(record) || home == m.NodeName || m.fences.isRunning(shard) {
		return ownershipChange{}, false
	}
	wait := tuning.HandBackAfter
	if record.HandedOff {
		wait = tuning.GivenHold
	}
	homeNode, homeIsLive := m.clusterState.Nodes[home]
	homeSince, ownedSince := m.history.sessionSince[home], m.history.ownedSince[shard]
	if !homeIsLive || now.Sub(homeSince) < wait || now.Sub(ownedSince) < wait {
		return ownershipChange{}, false
	}
	next := clusterstate.ShardRecord{
		Owner:        home,
		Incarnation:  homeNode.Incarnation,
		FencingToken: nextFencingToken(record.FencingToken, m.clusterState.SchemaVersion),
	}
	self := sessionCondition(m.NodeName, m.clusterState.Nodes[m.NodeName])
	return ownershipChange{
		shard:         shard,
		previousOwner: m.NodeName,
		record:        next,
		transaction:   ownershipTransaction(shard, record, next, self, sessionCondition(home, homeNode)),
	}, true
}

// TransferShard hands a shard to another node, which hears the shard's agents
// while this one doesn't.
func (m *Member) TransferShard(ctx context.Context, shard int, to string) {
	m.clusterState.RLock()
	record, known := m.clusterState.Shards[shard]
	target, live := m.clusterState.Nodes[to]
	schemaVersion := m.clusterState.SchemaVersion
	m.clusterState.RUnlock()
	if !known || !live || !m.ownedBySelf(record) || m.fences.isRunning(shard) {
		return
	}
	next := clusterstate.ShardRecord{
		Owner:        to,
		Incarnation:  target.Incarnation,
		FencingToken: nextFencingToken(record.FencingToken, schemaVersion),
		HandedOff:    true,
	}
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
	defer cancel()
	_, err := m.committer.Commit(ctx, ownershipTransaction(shard, record, next, sessionCondition(to, target)))
	m.logger.Info("shard transferred: its agents send heartbeats elsewhere", "shard", shard, "node", to, "err", err)
}
