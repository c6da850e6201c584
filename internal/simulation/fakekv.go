package simulation

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// FakeKV is a stand-in for the state service.
type FakeKV struct {
	mu           sync.Mutex
	revision     uint64
	rows         map[string]wire.KeyValue
	events       []wire.Event
	maxEvents    int // changes kept for watches
	leases       map[uint64]*kvLease
	lastLeaseID  uint64
	eventAdded   chan struct{}
	outageUntil  time.Time            // outage until
	refusedUntil map[string]time.Time // nodes refused until

	requestLimiter, writeLimiter tokenBucket
	RateLimited                  int // requests over a limit
	Violations                   []string
	maxTxnOps                    int
	maxValueKB                   float64
	limitsLowered                bool                                // limits have fallen: refusals for size may happen, though not again and again
	OversizeRequests             int                                 // refusals for size since
	OnWrite                      func(key string, old wire.RawValue) // called with what is about to be written

	lostAnswers       faultRate         // transactions that are carried out at once, and whose answer is lost
	lostAnswerWriters map[uint64]string // who wrote the revisions whose answer was lost
	LostAnswersRead   int               // how often another node read what such a transaction wrote

	lateWrites        faultRate // transactions that get no answer and are carried out later
	slowRequests      faultRate // requests that take long
	LateWritesApplied int       // transactions that were carried out late
}

type kvLease struct {
	ttl    time.Duration
	expiry time.Time
}

// faultRate is a share of messages that a trouble concerns, until a time. Its draws are its own.
type faultRate struct {
	share  float64
	until  time.Time
	random *rand.Rand
}

func (f *faultRate) occurs() bool {
	return time.Now().Before(f.until) && f.random.Float64() < f.share
}

// duration draws a time from a span.
func (f *faultRate) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(f.random.Float64()*float64(to-from))
}

type tokenBucket struct {
	rate, available float64
	refilledAt      time.Time
}

func (b *tokenBucket) take(n float64) bool {
	now := time.Now()
	b.available = min(b.rate, b.available+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

// NewFakeKV makes an empty state service that keeps so many changes for watches.
func NewFakeKV(rps, writeRPS float64, maxTxnOps int, maxValueKB float64, maxEvents int) *FakeKV {
	now := time.Now()
	return &FakeKV{rows: map[string]wire.KeyValue{}, leases: map[uint64]*kvLease{}, eventAdded: make(chan struct{}), maxEvents: maxEvents,
		refusedUntil: map[string]time.Time{}, lostAnswerWriters: map[uint64]string{}, requestLimiter: tokenBucket{rps, rps, now}, writeLimiter: tokenBucket{writeRPS, writeRPS, now},
		maxTxnOps: maxTxnOps, maxValueKB: maxValueKB}
}

// LowerLimits lets the limits fall without a word.
func (kv *FakeKV) LowerLimits(writeRPS float64, maxTxnOps int, maxValueKB float64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.writeLimiter.rate, kv.maxTxnOps, kv.maxValueKB, kv.limitsLowered = writeRPS, maxTxnOps, maxValueKB, true
}

// LargestValue is the size of the largest live record, as JSON.
func (kv *FakeKV) LargestValue(prefix string) (int, string) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	most, which := 0, ""
	for k, r := range kv.rows {
		if n := wire.JSONSize(r.Value); strings.HasPrefix(k, prefix) && n > most {
			most, which = n, k
		}
	}
	return most, which
}

// rejectOversize notes a request over the limits. Once they have fallen some are in
// order: nodes can't know.
func (kv *FakeKV) rejectOversize(w http.ResponseWriter, what string) {
	if kv.limitsLowered {
		kv.OversizeRequests++
	} else {
		kv.Violations = append(kv.Violations, what)
	}
	wire.WriteResponse(w, http.StatusBadRequest, nil)
}

// Snapshot keeps what stands now.
func (kv *FakeKV) Snapshot() map[string]wire.KeyValue {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return maps.Clone(kv.rows)
}

// Row gives what stands under a key.
func (kv *FakeKV) Row(key string) wire.KeyValue {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.rows[key]
}

// Restore puts back what a snapshot holds, as after a loss of writes; sessions are gone. Nobody
// may be using the service meanwhile.
func (kv *FakeKV) Restore(rows map[string]wire.KeyValue) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.rows, kv.leases, kv.events = map[string]wire.KeyValue{}, map[uint64]*kvLease{}, nil
	kv.revision++
	for k, r := range rows {
		if r.LeaseID == 0 {
			kv.rows[k] = r
		}
	}
}

// StartOutage refuses all requests until a time.
func (kv *FakeKV) StartOutage(until time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.outageUntil = until
	for _, h := range kv.leases {
		h.expiry = until.Add(h.ttl) // every hold has its full time again
	}
}

// RefuseNode refuses one node's requests until a time, while its holds run out.
func (kv *FakeKV) RefuseNode(node string, until time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.refusedUntil[node] = until
}

// DelayWrites lets a share of the transactions go without an answer until a time: they are carried
// out 2 to 12 s later, after newer ones of the same node.
func (kv *FakeKV) DelayWrites(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.lateWrites = faultRate{share, until, rand.New(rand.NewPCG(seed, 51))}
}

// LoseAnswers lets a share of the transactions be carried out at once while their answers are lost, until
// a time.
func (kv *FakeKV) LoseAnswers(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.lostAnswers = faultRate{share, until, rand.New(rand.NewPCG(seed, 54))}
}

// SlowRequests lets a share of the requests take up to 2 s until a time, most of them less than a node waits.
func (kv *FakeKV) SlowRequests(share float64, until time.Time, seed uint64) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.slowRequests = faultRate{share, until, rand.New(rand.NewPCG(seed, 52))}
}

func (kv *FakeKV) expireLeases() {
	now := time.Now()
	if now.Before(kv.outageUntil) {
		return
	}
	for id, h := range kv.leases {
		if now.After(h.expiry) {
			kv.revokeLease(id)
		}
	}
}

func (kv *FakeKV) revokeLease(id uint64) {
	delete(kv.leases, id)
	var keys []string
	for k, r := range kv.rows {
		if r.LeaseID == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		kv.revision++
		delete(kv.rows, k)
		kv.appendEvent(wire.Event{DeleteKey: k, ModRevision: kv.revision})
	}
}

func (kv *FakeKV) appendEvent(e wire.Event) {
	kv.events = append(kv.events, e)
	if len(kv.events) > kv.maxEvents {
		kv.events = kv.events[len(kv.events)-kv.maxEvents:]
	}
	close(kv.eventAdded)
	kv.eventAdded = make(chan struct{})
}

// ServeHTTP answers as the protocol says.
func (kv *FakeKV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.slowRequests.occurs() {
		d := kv.slowRequests.duration(50*time.Millisecond, 2*time.Second)
		kv.mu.Unlock()
		time.Sleep(d)
		kv.mu.Lock()
	}
	if r.URL.Path == "/multi" && kv.lateWrites.occurs() {
		d := kv.lateWrites.duration(2*time.Second, 12*time.Second)
		kv.mu.Unlock()
		time.Sleep(d)
		kv.mu.Lock()
		w.Header().Set(responseLostHeader, "1")
		kv.LateWritesApplied++
	}
	kv.expireLeases()
	now := time.Now()
	if now.Before(kv.outageUntil) || now.Before(kv.refusedUntil[r.Header.Get(sourceHeader)]) {
		wire.WriteResponse(w, http.StatusServiceUnavailable, nil)
		return
	}
	if !kv.requestLimiter.take(1) {
		kv.RateLimited++
		wire.WriteResponse(w, http.StatusTooManyRequests, nil)
		return
	}
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/watch":
		kv.watch(w, r, q.Get("under"), q.Get("after"), q.Get("hold_ms"))
	case r.Method == http.MethodGet && path == "/store":
		kv.list(w, q.Get("under"), q.Get("after"), q.Get("page"))
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		row, ok := kv.rows[strings.TrimPrefix(path, "/store/")]
		if !ok {
			wire.WriteResponse(w, http.StatusNotFound, wire.KeyValue{Revision: kv.revision})
			return
		}
		wire.WriteResponse(w, http.StatusOK, row)
	case path == "/multi":
		before := kv.revision
		kv.commit(w, body)
		if kv.lostAnswers.occurs() {
			w.Header().Set(responseLostHeader, "1")
			if kv.revision > before {
				kv.lostAnswerWriters[kv.revision] = r.Header.Get(sourceHeader)
			}
		}
	case path == "/holds":
		var h wire.LeaseRequest
		if wire.Decode(body, &h) != nil || h.TTLMs < 100 || h.TTLMs > 600000 {
			wire.WriteResponse(w, http.StatusBadRequest, nil)
			return
		}
		kv.lastLeaseID++
		ttl := time.Duration(h.TTLMs) * time.Millisecond
		kv.leases[kv.lastLeaseID] = &kvLease{ttl, now.Add(ttl)}
		wire.WriteResponse(w, http.StatusOK, wire.LeaseResponse{LeaseID: kv.lastLeaseID})
	case strings.HasPrefix(path, "/holds/"):
		id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		h := kv.leases[id]
		if h == nil {
			wire.WriteResponse(w, http.StatusNotFound, nil)
			return
		}
		if r.Method == http.MethodDelete {
			kv.revokeLease(id)
		} else {
			h.expiry = now.Add(h.ttl)
		}
		w.WriteHeader(http.StatusOK)
	default:
		wire.WriteResponse(w, http.StatusBadRequest, nil)
	}
}

func (kv *FakeKV) list(w http.ResponseWriter, prefix, after, page string) {
	limit, _ := strconv.Atoi(page)
	limit = min(max(limit, 1), 1000)
	var keys []string
	for k := range kv.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := wire.RangeResponse{Revision: kv.revision, KeyValues: []wire.KeyValue{}}
	for _, k := range keys {
		if len(out.KeyValues) == limit {
			out.HasMore = true
			break
		}
		out.KeyValues = append(out.KeyValues, kv.rows[k])
	}
	wire.WriteResponse(w, http.StatusOK, out)
}

func (kv *FakeKV) watch(w http.ResponseWriter, r *http.Request, prefix, after, waitMs string) {
	from, _ := strconv.ParseUint(after, 10, 64)
	ms, _ := strconv.Atoi(waitMs)
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		if len(kv.events) == kv.maxEvents && kv.events[0].ModRevision > from+1 {
			wire.WriteResponse(w, http.StatusGone, nil)
			return
		}
		out := wire.WatchResponse{Revision: kv.revision, Events: []wire.Event{}}
		for _, e := range kv.events {
			if e.ModRevision > from && (strings.HasPrefix(e.PutKey, prefix) && e.PutKey != "" || strings.HasPrefix(e.DeleteKey, prefix) && e.DeleteKey != "") {
				out.Events = append(out.Events, e)
			}
		}
		for _, e := range out.Events {
			if by := kv.lostAnswerWriters[e.ModRevision]; by != "" && by != r.Header.Get(sourceHeader) {
				kv.LostAnswersRead++
			}
		}
		if len(out.Events) > 0 || !time.Now().Before(end) {
			wire.WriteResponse(w, http.StatusOK, out)
			return
		}
		changed := kv.eventAdded
		kv.mu.Unlock()
		timer := time.NewTimer(min(time.Until(end), 50*time.Millisecond)) // ended holds show here too
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		kv.mu.Lock()
		kv.expireLeases()
		if r.Context().Err() != nil {
			return
		}
		for time.Now().Before(kv.outageUntil) || time.Now().Before(kv.refusedUntil[r.Header.Get(sourceHeader)]) {
			kv.mu.Unlock() // open watches remain open during an outage
			time.Sleep(50 * time.Millisecond)
			kv.mu.Lock()
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

func (kv *FakeKV) commit(w http.ResponseWriter, body []byte) {
	var t wire.TxnRequest
	if err := wire.Decode(body, &t); err != nil || len(t.Ops) > kv.maxTxnOps || len(t.Conditions) > 4*kv.maxTxnOps || len(body) > 64<<10 {
		kv.rejectOversize(w, "transaction over its limits or unreadable")
		return
	}
	if !kv.writeLimiter.take(float64(len(t.Ops))) {
		kv.RateLimited++
		wire.WriteResponse(w, http.StatusTooManyRequests, nil)
		return
	}
	for _, o := range t.Ops {
		if o.PutKey != "" && float64(wire.JSONSize(o.Value)) > kv.maxValueKB*1024 || o.Key() == "" || o.PutKey != "" && o.DeleteKey != "" {
			kv.rejectOversize(w, "value over its limit: "+o.Key())
			return
		}
		if o.LeaseID != 0 && kv.leases[o.LeaseID] == nil {
			wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorResponse{Message: "no such lease"})
			return
		}
	}
	var failed []string
	for _, g := range t.Conditions {
		if kv.rows[g.Key].ModRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		wire.WriteResponse(w, http.StatusConflict, wire.TxnResponse{FailedKeys: failed, Revision: kv.revision})
		return
	}
	if len(t.Ops) > 0 {
		kv.revision++
	}
	for _, o := range t.Ops {
		if o.PutKey != "" {
			if kv.OnWrite != nil {
				kv.OnWrite(o.PutKey, o.Value)
			}
			kv.rows[o.PutKey] = wire.KeyValue{Key: o.PutKey, Value: slices.Clone(o.Value), ModRevision: kv.revision, LeaseID: o.LeaseID}
			kv.appendEvent(wire.Event{PutKey: o.PutKey, Value: slices.Clone(o.Value), ModRevision: kv.revision})
		} else if _, ok := kv.rows[o.DeleteKey]; ok {
			delete(kv.rows, o.DeleteKey)
			kv.appendEvent(wire.Event{DeleteKey: o.DeleteKey, ModRevision: kv.revision})
		}
	}
	wire.WriteResponse(w, http.StatusOK, wire.TxnResponse{Revision: kv.revision})
}
