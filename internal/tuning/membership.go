package tuning

import "time"

// Membership.
const (
	// SessionTTL is the time to live of a node's session without renewal: a crash is noticed after it. Shorter
	// would turn a slow second into a failover.
	SessionTTL = 3 * time.Second
	// SessionRenewInterval is the interval of renewals, a third of it.
	SessionRenewInterval = 1 * time.Second
	// FailoverStagger staggers nodes that want the same shard, per shard already owned.
	FailoverStagger = 250 * time.Millisecond
	// HomeNodeGrace is how long others leave an unowned shard to its home node.
	HomeNodeGrace = 1500 * time.Millisecond
	// ShardReturnDelay is how long a home node must be present before its shard returns to it.
	ShardReturnDelay = 10 * time.Second
	// MembershipInterval is the interval at which membership is reviewed.
	MembershipInterval = 200 * time.Millisecond
)
