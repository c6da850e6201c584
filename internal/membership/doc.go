// Package membership maintains this node's session in the cluster and manages
// the ownership of shards.
//
// A session is a key that is attached to a lease and contains the incarnation,
// which identifies the running process. Each shard of the machines has one
// owner. The shard's record contains the owner and a fencing token, which every
// change of owner raises. The leader is the owner of the shard
// record.LeaderShard, so leader election is the same compare-and-swap as the
// takeover of a shard.
//
// The package does not decide what an owner does with its shard. It does not
// infer the outcome of a transaction from a lost response; ownership is what the
// watch cache shows. It implements safety invariants 3 (a shard has one owner
// and a token that only increases) and 24 (a restarted process is a different
// owner). By fencing it implements invariants 22 and 27 (a transaction with an
// unknown outcome can't be applied after its shard was fenced).
package membership
