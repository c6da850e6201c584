package record

import "hash/fnv"

// LeaderShard is the pseudo shard whose owner is the leader. The leader scales the machines in and out.
const LeaderShard = -1

// ShardOf returns the shard, from 0 to shardCount-1, that a machine belongs to.
func ShardOf(machine string, shardCount int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(machine)) // a hash never fails
	// The low bits of FNV depend too strongly on the last character, which would distribute consecutively numbered
	// names unevenly.
	mixed := hash.Sum32()
	mixed ^= mixed >> 15
	mixed *= 0x2c1b3c6d
	mixed ^= mixed >> 12
	return int(mixed % uint32(shardCount))
}

// Shard is the ownership record of a shard. Every change of owner raises the fencing token. From
// tuning.SchemaVersionTokenRanges on it is the first token of a range that the owner uses.
type Shard struct {
	Owner            string `cbor:"o"`
	OwnerIncarnation uint64 `cbor:"i"` // of the owner's process
	FencingToken     uint64 `cbor:"e"`
	Transferred      bool   `cbor:"g,omitempty"` // transferred because most agents reported to another node
	FenceCount       uint64 `cbor:"c,omitempty"` // number of rewrites by the owner that fence older transactions
}

// Node is the record of a node's live session. It is attached to the node's lease in the store and disappears with it.
type Node struct {
	Incarnation uint64 `cbor:"i"`
	// SchemaVersion is the newest schema version that the node's process reads.
	SchemaVersion int `cbor:"l,omitempty"`
	// HonorsCancelRequests means that the node's process starts no tasks of a job with Job.CancelRequestedAtMs and
	// stops the tasks it has bound, whichever schema version is active.
	HonorsCancelRequests bool `cbor:"x,omitempty"`
	// ReadsNarrowedChunks means that the node's process loses no task of a job whose chunks become narrower and keep
	// their keys, in whatever order it receives the changes of the records.
	ReadsNarrowedChunks bool `cbor:"w,omitempty"`
}

// SchemaVersion is the record of the newest schema version in which records may be written. The version is only ever
// raised, and only once every node reads the new version.
type SchemaVersion struct {
	Version int `cbor:"l"`
}

// Quota is the record of how a team's limit is divided among the shards.
type Quota struct {
	Grants map[string]Resources `cbor:"g"` // by shard number in decimal
}
