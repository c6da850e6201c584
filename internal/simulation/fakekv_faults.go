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
	// lateWrites are transactions that get no answer and are carried out later.
	lateWrites faultRate
	// lostAnswers are transactions that are carried out at once and get no answer.
	lostAnswers       faultRate
	lostAnswerWriters map[uint64]string // who wrote a revision whose answer was lost
}

func newKVFaults() kvFaults {
	return kvFaults{refusedUntil: map[string]time.Time{}, lostAnswerWriters: map[uint64]string{}}
}

// StartOutage refuses all requests until a time. Then every lease has its full time again.
func (kv *FakeKV) StartOutage(until time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.outageUntil = until
	for _, lease := range kv.leases {
		lease.expiry = until.Add(lease.ttl)
	}
}

// RefuseNode refuses one controller's requests until a time, while its leases run out.
func (kv *FakeKV) RefuseNode(node string, until time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.refusedUntil[node] = until
}

// DelayWrites leaves a share of the transactions without an answer until a time: they are carried
// out 2 to 12 s later, after newer ones of the same controller.
func (kv *FakeKV) DelayWrites(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.lateWrites = newFaultRate(share, until, seed, streamDelayedWrites)
}

// LoseAnswers carries a share of the transactions out at once and loses their answers, until a time.
func (kv *FakeKV) LoseAnswers(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.lostAnswers = newFaultRate(share, until, seed, streamLostAnswers)
}

// SlowRequests lets a share of the requests take up to 2 s until a time, most of them less than a
// controller waits.
func (kv *FakeKV) SlowRequests(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults.slowRequests = newFaultRate(share, until, seed, streamSlowRequests)
}

// refuses tells whether a controller's requests are refused now.
func (f *kvFaults) refuses(node string) bool {
	now := time.Now()
	return now.Before(f.outageUntil) || now.Before(f.refusedUntil[node])
}

// delayRequest holds a request up if a fault concerns it.
func (kv *FakeKV) delayRequest(w http.ResponseWriter, r *http.Request) {
	if kv.faults.slowRequests.occurs() {
		kv.sleepUnlocked(kv.faults.slowRequests.duration(50*time.Millisecond, 2*time.Second))
	}
	if r.URL.Path == pathTransaction && kv.faults.lateWrites.occurs() {
		kv.sleepUnlocked(kv.faults.lateWrites.duration(2*time.Second, 12*time.Second))
		loseResponse(w)
		kv.LateWritesApplied++
	}
}
