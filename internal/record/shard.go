package record

import (
	"hash/fnv"
)

// LeaderShard is the pseudo part whose owner leads: it sizes the fleet.
const LeaderShard = -1

// ShardOf says which part a machine belongs to.
func ShardOf(machine string, size int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine))
	// The low bits of FNV follow the last character too closely for names that count up.
	v := h.Sum32()
	v ^= v >> 15
	v *= 0x2c1b3c6d
	v ^= v >> 12
	return int(v % uint32(size))
}

// Shard says who owns a part. Every change of owner raises the token.
type Shard struct {
	Owner        string `cbor:"o"`
	Incarnation  uint64 `cbor:"i"`
	FencingToken uint64 `cbor:"e"`
	HandedOff    bool   `cbor:"g,omitempty"` // its home gave it away for want of its workers
	FenceCount   uint64 `cbor:"c,omitempty"` // counts rewrites that only fence older transactions
}
