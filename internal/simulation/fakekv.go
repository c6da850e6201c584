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

// kvMaxEvents is how many events the store keeps for watches.
const kvMaxEvents = 600

// FakeKV is a fake of the key-value store: one linear history of revisions, compare-and-swap
// transactions, watches, and leases that delete their keys when they expire. It is safe for concurrent use.
type FakeKV struct {
	// OnWrite, unless nil, is called with each value that is about to be written. It is set before the
	// first request, and runs while the store is locked.
	OnWrite func(key string, value wire.RawValue)

	mu sync.Mutex // guards everything below; the exported fields are read once the day is over
	KVStatistics
	limits      kvLimits
	faults      kvFaults
	revision    uint64
	rows        map[string]wire.KeyValue
	leases      map[uint64]*kvLease
	lastLeaseID uint64
	events      []wire.Event
	eventAdded  chan struct{} // closed with each event, and replaced
}

// KVStatistics counts what a day's requests met.
type KVStatistics struct {
	// Violations lists requests over the limits that their sender knew.
	Violations []string
	// RateLimited counts the requests that were refused for their rate.
	RateLimited int
	// OversizeRequests counts the requests that were over the limits since those were lowered.
	OversizeRequests int
	// LostAnswersRead counts how often another controller read what a transaction wrote whose answer was lost.
	LostAnswersRead int
	// LateWritesApplied counts the transactions that were carried out late.
	LateWritesApplied int
}

// kvLease keeps keys alive until it expires.
type kvLease struct {
	ttl    time.Duration
	expiry time.Time
}

// NewFakeKV makes an empty store with limits.
func NewFakeKV(limits config.KVLimits) *FakeKV {
	return &FakeKV{
		limits:     newKVLimits(limits),
		faults:     newKVFaults(),
		rows:       map[string]wire.KeyValue{},
		leases:     map[uint64]*kvLease{},
		eventAdded: make(chan struct{}),
	}
}

// LargestValue gives the size in bytes, as JSON, of the largest value under a prefix, and its key.
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

// Snapshot gives a copy of all rows.
func (kv *FakeKV) Snapshot() map[string]wire.KeyValue {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return maps.Clone(kv.rows)
}

// Row gives the row of a key; the zero value if there is none.
func (kv *FakeKV) Row(key string) wire.KeyValue {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.rows[key]
}

// Restore puts the rows of a snapshot back, as after a loss of writes; rows with a lease are gone. Nobody
// may be using the store meanwhile.
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

// expireLeases revokes the leases that have run out. None runs out in an outage.
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

// revokeLease deletes a lease and its keys, each under a revision of its own.
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

// sleepUnlocked sleeps without the lock. Callers hold it.
func (kv *FakeKV) sleepUnlocked(duration time.Duration) {
	kv.mu.Unlock()
	time.Sleep(duration)
	kv.mu.Lock()
}
