package tuning

import "time"

// Membership.
const (
	// SessionTTL is how long a node's session lives without renewal, and therefore how long a crash remains
	// undetected. A shorter TTL would cause a failover whenever a node is slow for a second.
	SessionTTL = 3 * time.Second
	// SessionRenewInterval is the interval at which sessions are renewed, a third of SessionTTL.
	SessionRenewInterval = 1 * time.Second
	// FailoverStagger is how much longer a node waits before it takes over a shard without a live owner, for each
	// shard that it already owns. It keeps the nodes from all trying to take over the same shard.
	FailoverStagger = 250 * time.Millisecond
	// HomeNodeGrace is the additional time that other nodes wait before they take over a shard whose home node is
	// live, or a shard that never had an owner.
	HomeNodeGrace = 1500 * time.Millisecond
	// ShardReturnDelay is how long a home node must have had a session, and another node must have owned its shard,
	// before the shard is returned to the home node after a failover.
	ShardReturnDelay = 10 * time.Second
	// MembershipInterval is the longest time between two reviews of shard ownership, and the pause between two
	// checks for a schema version to activate.
	MembershipInterval = 200 * time.Millisecond
)
