package record

import "hash/fnv"

// LeaderShard is the pseudo shard whose owner is the leader, which scales the machines in and out.
const LeaderShard = -1

// ShardOf returns the shard, from 0 to shardCount-1, that a machine belongs to.
func ShardOf(machine string, shardCount int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(machine)) // a hash never fails
	// The low bits of FNV follow the last character too closely for names that count up.
	mixed := hash.Sum32()
	mixed ^= mixed >> 15
	mixed *= 0x2c1b3c6d
	mixed ^= mixed >> 12
	return int(mixed % uint32(shardCount))
}

// Shard says which node owns a shard. Every change of owner raises the fencing token.
type Shard struct {
	Owner            string `cbor:"o"`
	OwnerIncarnation uint64 `cbor:"i"` // of the owner
	FencingToken     uint64 `cbor:"e"`
	HandedOff        bool   `cbor:"g,omitempty"` // its home node gave it up, as it could not reach the agents
	FenceCount       uint64 `cbor:"c,omitempty"` // counts rewrites that only fence older transactions
}

// Node marks a node's live session; it is attached to the node's lease in the store.
type Node struct {
	Incarnation uint64 `cbor:"i"`
	// SchemaVersion is the newest one that the node's process reads.
	SchemaVersion int `cbor:"l,omitempty"`
	// HonorsCancelRequests: the node's process starts nothing of a job with Job.CancelRequestedAtMs and stops what
	// it has bound of it, whatever schema version is active.
	HonorsCancelRequests bool `cbor:"x,omitempty"`
}

// SchemaVersion is the newest form in which records may be written. It is only raised, and only once every
// node reads that version.
type SchemaVersion struct {
	Version int `cbor:"l"`
}

// Quota grants shares of a team's limit to shards.
type Quota struct {
	Grants map[string]Resources `cbor:"g"` // by the shard's number, in decimal
}
