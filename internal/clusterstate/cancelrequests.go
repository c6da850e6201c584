package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// CancelRequestSupport says whether a request to cancel a job (record.Job.CancelRequestedAtMs) has any effect.
type CancelRequestSupport int

// What the owners of all shards do with such a request.
const (
	// CancelRequestsIgnored: an owner binds and starts tasks of the job all the same, or a shard never had one.
	CancelRequestsIgnored CancelRequestSupport = iota
	// CancelRequestsUnsettled: an owner has no session, so that a shard is about to change hands.
	CancelRequestsUnsettled
	// CancelRequestsHonored: no owner starts anything of the job, and each stops what it has bound.
	CancelRequestsHonored
)

// String names what the owners do.
func (s CancelRequestSupport) String() string {
	return [...]string{"ignored", "unsettled", "honored"}[s]
}

// CancelRequestSupport returns what the owners of all shards do with a request to cancel a job, and the conditions
// under which that still holds when a transaction is applied: each binding is subject to the same ownership. The
// caller holds the lock.
func (s *State) CancelRequestSupport() (support CancelRequestSupport, conditions []wire.Condition) {
	support = CancelRequestsHonored
	for number := range s.ShardCount {
		shard, exists := s.Shards[number]
		if !exists {
			return CancelRequestsIgnored, nil
		}
		owner, live := s.Nodes[shard.Owner]
		switch {
		case !live || owner.Incarnation != shard.OwnerIncarnation:
			support = CancelRequestsUnsettled
		case !owner.HonorsCancelRequests:
			return CancelRequestsIgnored, nil
		}
		conditions = append(conditions, wire.Condition{Key: record.ShardKey(number), ModRevision: shard.ModRevision})
	}
	return support, conditions
}
