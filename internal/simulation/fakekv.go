package simulation

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// kvMaxEvents is the number of events that the store keeps for watches.
const kvMaxEvents = 600

// FakeKV is a fake of the key-value store. It has one linear history of revisions, compare-and-swap transactions,
// watches, and leases that delete their keys when they expire. It is safe for concurrent use.
type FakeKV struct {
	// OnWrite, unless nil, is called with each value before it is written. It must be set before the first
	// request, and runs while the store is locked.
	OnWrite func(key string, value wire.RawValue)

	mu sync.Mutex // guards the fields below; the exported ones are read after the simulation run
	KVStatistics
	limits      kvLimits
	faults      kvFaults
	revision    uint64
	rows        map[string]wire.KeyValue
	leases      map[uint64]*kvLease
	lastLeaseID uint64
	events      []wire.Event
	eventAdded  chan struct{} // closed and replaced with each event
}

// KVStatistics counts the requests of a simulation run that exceeded limits or were affected by faults.
type KVStatistics struct {
	// Violations describes the requests that were malformed or over the size limits, until the limits are lowered. A
	// test may add violations that its OnWrite detects.
	Violations []string
	// RateLimited counts the requests that were refused by the rate limits.
	RateLimited int
	// OversizeRequests counts the requests that were malformed or over the size limits after these were lowered.
	OversizeRequests int
	// UnconfirmedWritesRead counts how often a watch of another controller returned a write of a transaction whose
	// response was lost.
	UnconfirmedWritesRead int
	// DelayedTransactions counts the transactions that a fault delayed. Each is counted after its delay, before it is
	// applied.
	DelayedTransactions int
	// TransactionCopies counts the copies of transactions that were delivered after these had been answered.
	TransactionCopies int
	// ReappliedKeys has the keys that such copies wrote or deleted.
	ReappliedKeys []string
}

// kvLease is a lease. The keys attached to it are deleted when it expires.
type kvLease struct {
	ttl    time.Duration
	expiry time.Time
}

// NewFakeKV returns an empty store with the given limits.
func NewFakeKV(limits config.KVLimits) *FakeKV {
	return &FakeKV{
		limits:     newKVLimits(limits),
		faults:     newKVFaults(),
		rows:       map[string]wire.KeyValue{},
		leases:     map[uint64]*kvLease{},
		eventAdded: make(chan struct{}),
	}
}

// LargestValue returns the size in bytes, as JSON, of the largest value under a prefix, and its key.
func (kv *FakeKV) LargestValue(prefix string) (size int, key string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for rowKey, row := range kv.rows {
		if n := wire.JSONSize(row.Value); strings.HasPrefix(rowKey, prefix) && n > size {
			size, key = n, rowKey
		}
	}
	return size, key
}

// Snapshot returns a copy of all rows.
func (kv *FakeKV) Snapshot() map[string]wire.KeyValue {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return maps.Clone(kv.rows)
}

// Row returns the row of a key, or the zero value if there is none.
func (kv *FakeKV) Row(key string) wire.KeyValue {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.rows[key]
}

// Restore replaces all rows by those of a snapshot that have no lease, and drops all leases and events. This
// simulates the loss of all writes since the snapshot. The store must not be in use during the call.
func (kv *FakeKV) Restore(rows map[string]wire.KeyValue) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.rows, kv.leases, kv.events = map[string]wire.KeyValue{}, map[uint64]*kvLease{}, nil
	kv.revision++
	for key, row := range rows {
		if row.LeaseID == 0 {
			kv.rows[key] = row
		}
	}
}

// expireLeases revokes the leases that have expired. During an outage of the store no lease expires.
func (kv *FakeKV) expireLeases() {
	now := time.Now()
	if now.Before(kv.faults.outageUntil) {
		return
	}
	for id, lease := range kv.leases {
		if now.After(lease.expiry) {
			kv.revokeLease(id)
		}
	}
}

// revokeLease deletes a lease and its keys. Each deletion of a key has a revision of its own.
func (kv *FakeKV) revokeLease(id uint64) {
	delete(kv.leases, id)
	var keys []string
	for key, row := range kv.rows {
		if row.LeaseID == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		kv.revision++
		delete(kv.rows, key)
		kv.appendEvent(wire.Event{DeleteKey: key, ModRevision: kv.revision})
	}
}

func (kv *FakeKV) appendEvent(event wire.Event) {
	kv.events = append(kv.events, event)
	if len(kv.events) > kvMaxEvents {
		kv.events = kv.events[len(kv.events)-kvMaxEvents:]
	}
	close(kv.eventAdded)
	kv.eventAdded = make(chan struct{})
}

// sleepUnlocked releases the lock, sleeps and acquires the lock again. Callers hold the lock.
func (kv *FakeKV) sleepUnlocked(duration time.Duration) {
	kv.mu.Unlock()
	time.Sleep(duration)
	kv.mu.Lock()
}
