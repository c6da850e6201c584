package simulation

import (
	"time"

	"sableusher/internal/config"
)

// maxRequestBytes is the maximum size of a transaction's request body.
const maxRequestBytes = 64 << 10

// kvLimits are the limits of the key-value store.
type kvLimits struct {
	requests   tokenBucket
	writes     tokenBucket
	maxTxnOps  int
	maxValueKB float64
	lowered    bool // during the simulation run, without a notice to the controllers
}

func newKVLimits(limits config.KVLimits) kvLimits {
	now := time.Now()
	return kvLimits{
		requests:   tokenBucket{limits.RPS, limits.RPS, now},
		writes:     tokenBucket{limits.WriteRPS, limits.WriteRPS, now},
		maxTxnOps:  limits.TxnOps,
		maxValueKB: limits.ValueKB,
	}
}

// LowerLimits lowers the limits on writes, values and transactions without a notice to the controllers.
func (kv *FakeKV) LowerLimits(limits config.KVLimits) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.limits.writes.rate = limits.WriteRPS
	kv.limits.maxTxnOps = limits.TxnOps
	kv.limits.maxValueKB = limits.ValueKB
	kv.limits.lowered = true
}

// tokenBucket limits a rate. It holds at most the tokens of one second.
type tokenBucket struct {
	rate       float64 // per second
	available  float64
	refilledAt time.Time
}

// take removes count tokens and returns true, or removes none and returns false if there are fewer.
func (b *tokenBucket) take(count float64) bool {
	now := time.Now()
	b.available = min(b.rate, b.available+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.available < count {
		return false
	}
	b.available -= count
	return true
}
