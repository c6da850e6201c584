// Package membership keeps this node's session in the cluster and the ownership
// of shards.
//
// A session is a key under a lease that names the running process, its
// incarnation. Each shard of the machines has one owner, named with a fencing
// token in the shard's record; every change of owner raises the token. The
// leader is the owner of the shard record.LeaderShard, so that leader
// election is the same compare-and-swap as taking over a shard.
//
// The package never decides what an owner does with its shard, and never takes
// a lost answer for an outcome: ownership is what the watch cache shows. It
// carries safety invariants 3 (one owner, a token that only rises) and 24 (a
// process that came back is another one), and through fencing 22 and 27 (a
// transaction without an answer can't be applied once its shard is fenced).
package membership
