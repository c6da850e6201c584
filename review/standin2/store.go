package main

import (
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sableusher/internal/wire"
)

// keptChanges is the number of changes that the state service keeps for watches.
const keptChanges = 10_000

// storeLimits are the limits of the state service.
type storeLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

// storeEntry is a key of the state service.
type storeEntry struct {
	value  wire.RawValue
	stamp  uint64
	permit uint64
}

// storeEvent is a change of a key as a watch shows it.
type storeEvent struct {
	Set   string        `cbor:"set,omitempty"`
	Value wire.RawValue `cbor:"value,omitempty"`
	Drop  string        `cbor:"drop,omitempty"`
	Stamp uint64        `cbor:"stamp"`
}

func (e *storeEvent) key() string { return e.Set + e.Drop }

// storeLease is a lease of the state service.
type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store stands in for the state service.
type store struct {
	mu        sync.Mutex
	entries   map[string]storeEntry
	events    []storeEvent
	dropped   uint64 // revision of the newest change that is no longer kept
	revision  uint64
	leases    map[uint64]*storeLease
	nextLease uint64
	limits    storeLimits
	requests  *rate.Limiter
	writes    *rate.Limiter
	changed   chan struct{} // closed and replaced at each change
	rejected  func(node, what string)
}

func newStore(limits storeLimits, rejected func(node, what string)) *store {
	s := &store{
		entries: map[string]storeEntry{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
		rejected: rejected,
	}
	s.setLimits(limits)
	return s
}

// setLimits puts limits in force.
func (s *store) setLimits(limits storeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.requests = rate.NewLimiter(rate.Limit(limits.rps), int(limits.rps))
	s.writes = rate.NewLimiter(rate.Limit(limits.writeRPS), int(limits.writeRPS))
}

// expireLeases ends the leases that were not renewed. The world calls it several times a second.
func (s *store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var attached []string
	for key, entry := range s.entries {
		if entry.permit == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	s.revision++
	for _, key := range attached {
		delete(s.entries, key)
		s.addEvent(storeEvent{Drop: key, Stamp: s.revision})
	}
	s.notify()
}

// addEvent keeps a change for watches. The caller holds mu.
func (s *store) addEvent(event storeEvent) {
	s.events = append(s.events, event)
	if len(s.events) > keptChanges {
		s.dropped = s.events[0].Stamp
		s.events = s.events[1:]
	}
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves one node.
func (s *store) handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("GET /store/", s.get)
	mux.HandleFunc("POST /multi", func(w http.ResponseWriter, r *http.Request) { s.multi(w, r, node) })
	mux.HandleFunc("POST /holds", s.grant)
	mux.HandleFunc("POST /holds/{id}/touch", s.touch)
	mux.HandleFunc("DELETE /holds/{id}", s.endHold)
	mux.HandleFunc("GET /watch", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * time.Millisecond) // usual time of an answer
		s.mu.Lock()
		allowed := s.requests.Allow()
		s.mu.Unlock()
		if !allowed {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

type storeRow struct {
	Path   string        `cbor:"path"`
	Value  wire.RawValue `cbor:"value"`
	Stamp  uint64        `cbor:"stamp"`
	Permit uint64        `cbor:"permit,omitempty"`
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/store/")
	s.mu.Lock()
	entry, ok := s.entries[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		wire.WriteResponse(w, http.StatusNotFound, map[string]any{"ledger": revision})
		return
	}
	wire.WriteResponse(w, http.StatusOK, storeRow{key, entry.value, entry.stamp, entry.permit})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	under, after := query.Get("under"), query.Get("after")
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, under) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size := []storeRow{}, 0
	for _, key := range keys {
		entry := s.entries[key]
		size += wire.JSONSize(entry.value) + len(key) + 40
		if len(rows) >= page || size > 512<<10 {
			break
		}
		rows = append(rows, storeRow{key, entry.value, entry.stamp, entry.permit})
	}
	wire.WriteResponse(w, http.StatusOK, map[string]any{
		"rows": rows, "more": len(rows) < len(keys), "ledger": s.revision,
	})
}

// multi executes a transaction.
func (s *store) multi(w http.ResponseWriter, r *http.Request, node string) {
	body, err := wire.ReadBody(r.Body, 1<<20)
	var txn wire.TxnRequest
	if err == nil {
		err = wire.Decode(body, &txn)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if problem := s.problemOf(&txn, body); problem != "" {
		s.rejected(node, problem)
		wire.WriteResponse(w, http.StatusBadRequest, map[string]any{"error": problem})
		return
	}
	if !s.writes.AllowN(time.Now(), len(txn.Ops)) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	failed := []string{}
	for _, guard := range txn.Conditions {
		if s.entries[guard.Key].stamp != guard.ModRevision {
			failed = append(failed, guard.Key)
		}
	}
	if len(failed) > 0 {
		wire.WriteResponse(w, http.StatusConflict, map[string]any{"failed": failed, "ledger": s.revision})
		return
	}
	s.apply(txn.Ops)
	wire.WriteResponse(w, http.StatusOK, map[string]any{"ledger": s.revision})
}

// problemOf returns why a transaction is answered with 400, or "". The caller holds mu.
func (s *store) problemOf(txn *wire.TxnRequest, body []byte) string {
	if len(txn.Ops) > s.limits.txnOps || len(txn.Conditions) > 4*s.limits.txnOps {
		return "too many changes or guards"
	}
	if wire.JSONSize(body) > 64<<10 {
		return "transaction too large"
	}
	for _, op := range txn.Ops {
		key := op.Key()
		if key == "" || len(key) > 200 || strings.Contains(key, " ") {
			return "malformed key"
		}
		if op.PutKey != "" && float64(wire.JSONSize(op.Value)) > s.limits.valueKB*1024 {
			return "value too large: " + key
		}
		if _, ok := s.leases[op.LeaseID]; op.LeaseID != 0 && !ok {
			return "no such lease"
		}
	}
	return ""
}

// apply applies changes at a new revision. The caller holds mu.
func (s *store) apply(ops []wire.Op) {
	if len(ops) == 0 {
		return
	}
	s.revision++
	for _, op := range ops {
		if op.PutKey != "" {
			s.entries[op.PutKey] = storeEntry{op.Value, s.revision, op.LeaseID}
			s.addEvent(storeEvent{Set: op.PutKey, Value: op.Value, Stamp: s.revision})
			continue
		}
		if _, ok := s.entries[op.DeleteKey]; ok {
			delete(s.entries, op.DeleteKey)
			s.addEvent(storeEvent{Drop: op.DeleteKey, Stamp: s.revision})
		}
	}
	s.notify()
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body, 1<<16)
	var request wire.LeaseRequest
	if err == nil {
		err = wire.Decode(body, &request)
	}
	if err != nil || request.TTLMs < 100 || request.TTLMs > 600_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl, time.Now().Add(ttl)}
	wire.WriteResponse(w, http.StatusOK, map[string]any{"permit": s.nextLease})
}

func (s *store) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	wire.WriteResponse(w, http.StatusOK, map[string]any{"permit": id})
}

func (s *store) endHold(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}

// watch waits for changes.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	under, after, hold := watchParameters(r.URL.Query())
	until := time.NewTimer(hold)
	defer until.Stop()
	expired := hold == 0
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		gone, news := after < s.dropped, s.newsSince(under, after)
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(news) > 0 || expired:
			wire.WriteResponse(w, http.StatusOK, map[string]any{"ledger": revision, "news": news})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-until.C:
			expired = true
		}
	}
}

func watchParameters(query url.Values) (under string, after uint64, hold time.Duration) {
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("hold_ms"))
	return query.Get("under"), after, time.Duration(min(ms, 60_000)) * time.Millisecond
}

// newsSince returns the kept changes under a prefix after a revision. The caller holds mu.
func (s *store) newsSince(under string, after uint64) []storeEvent {
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Stamp > after })
	news := []storeEvent{}
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.key(), under) {
			news = append(news, event)
		}
	}
	return news
}
