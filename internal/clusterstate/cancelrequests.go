package clusterstate

import (
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// CancelRequestSupport is how the shard owners treat a request to cancel a job (record.Job.CancelRequestedAtMs).
type CancelRequestSupport int

// Levels of support for cancel requests.
const (
	// CancelRequestsIgnored: at least one owner still binds and starts tasks of the job, or a shard has no record
	// because it never had an owner.
	CancelRequestsIgnored CancelRequestSupport = iota
	// CancelRequestsUnsettled: an owner has no session, so its shard is about to get another owner.
	CancelRequestsUnsettled
	// CancelRequestsHonored: no owner starts tasks of the job, and each stops the tasks that it has bound.
	CancelRequestsHonored
)

// String returns the name of the support level.
func (s CancelRequestSupport) String() string {
	return [...]string{"ignored", "unsettled", "honored"}[s]
}

// CancelRequestSupport returns how the owners of all shards treat a request to cancel a job. The conditions require
// that no ownership record has changed: a transaction that includes them fails if the result may no longer hold.
// Every binding of a task is conditional on the ownership of its shard in the same way. The caller must hold the
// lock.
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
