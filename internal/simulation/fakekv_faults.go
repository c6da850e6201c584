package simulation

import (
	"net/http"
	"time"
)

// kvFaults are the faults of the key-value store.
type kvFaults struct {
	outageUntil  time.Time
	refusedUntil map[string]time.Time // by controller
	slowRequests faultRate
	// lateWrites selects transactions that are executed after a delay and get no response.
	lateWrites faultRate
	// lostResponses selects transactions that are executed immediately and get no response.
	lostResponses       faultRate
	lostResponseWriters map[uint64]string // by revision: the controller whose response was lost
	// duplicateWrites selects transactions that are answered, and executed again later.
	duplicateWrites faultRate
}

func newKVFaults() kvFaults {
	return kvFaults{refusedUntil: map[string]time.Time{}, lostResponseWriters: map[uint64]string{}}
}

// StartOutage makes the store refuse all requests until a time. When the outage ends, every lease has its full TTL
// left.
func (kv *FakeKV) StartOutage(until time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.outageUntil = until
	for _, lease := range kv.leases {
		lease.expiry = until.Add(lease.ttl)
	}
}

// RefuseNode makes the store refuse one controller's requests until a time. The controller's leases expire
// meanwhile.
func (kv *FakeKV) RefuseNode(node string, until time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.refusedUntil[node] = until
}

// DelayWrites delays a share of the transactions until a time. They are executed 2 to 12 s later, after newer
// transactions of the same controller, and get no response.
func (kv *FakeKV) DelayWrites(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.lateWrites = newFaultRate(share, until, seed, streamDelayedWrites)
}

// DropResponses drops the responses to a share of the transactions until a time. The transactions are executed
// immediately.
func (kv *FakeKV) DropResponses(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.lostResponses = newFaultRate(share, until, seed, streamLostResponses)
}

// DuplicateWrites executes a share of the transactions again until a time, 2 to 30 s after they were executed and
// answered, if their conditions hold again.
func (kv *FakeKV) DuplicateWrites(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.duplicateWrites = newFaultRate(share, until, seed, streamWriteCopies)
}

// SlowRequests delays a share of the requests by up to 2 s until a time. Most of the delays are shorter than a
// controller's timeout.
func (kv *FakeKV) SlowRequests(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.slowRequests = newFaultRate(share, until, seed, streamSlowRequests)
}

// refuses reports whether the store currently refuses a controller's requests.
func (f *kvFaults) refuses(node string) bool {
	now := time.Now()
	return now.Before(f.outageUntil) || now.Before(f.refusedUntil[node])
}

// delayRequest delays a request if a fault selects it, and drops the response to a late write. Callers hold the lock,
// which is released during the delay.
func (kv *FakeKV) delayRequest(w http.ResponseWriter, r *http.Request) {
	if kv.faults.slowRequests.occurs() {
		kv.sleepUnlocked(kv.faults.slowRequests.duration(50*time.Millisecond, 2*time.Second))
	}
	if r.URL.Path == pathTransaction && kv.faults.lateWrites.occurs() {
		kv.sleepUnlocked(kv.faults.lateWrites.duration(2*time.Second, 12*time.Second))
		loseResponse(w)
		kv.DelayedTransactions++
	}
}
