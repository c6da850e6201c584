package main

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// Limits of the protocol for the key-value store.
const (
	storeMaxEvents  = 10_000
	storeMaxPage    = 1000
	storeMaxRequest = 64 << 10
	storeTick       = 20 * time.Millisecond
)

// storeLimits are the limits that the settings name.
type storeLimits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

// latency is how long a request takes on its way to the store and how long the answer takes on its way back.
type latency struct{ request, answer time.Duration }

// store is a key-value store with one history of revisions. It is safe for concurrent use.
type store struct {
	limits storeLimits
	// delay returns the latency of a request; it must be set before the first request.
	delay func(node int, r *http.Request) latency

	mu        sync.Mutex // guards the fields below
	requests  bucket
	writes    bucket
	revision  uint64
	rows      map[string]wire.KeyValue
	leases    map[uint64]*storeLease
	lastLease uint64
	events    []wire.Event
	changed   chan struct{}
}

type storeLease struct {
	ttl    time.Duration
	expiry time.Time
}

// bucket limits a rate, with bursts of the tokens of one second.
type bucket struct {
	rate, tokens float64
	filledAt     time.Time
}

func (b *bucket) take(count float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens < count {
		return false
	}
	b.tokens -= count
	return true
}

func newStore(limits storeLimits) *store {
	now := time.Now()
	return &store{
		limits:   limits,
		delay:    func(int, *http.Request) latency { return latency{2 * time.Millisecond, 2 * time.Millisecond} },
		requests: bucket{limits.rps, limits.rps, now},
		writes:   bucket{limits.writeRPS, limits.writeRPS, now},
		rows:     map[string]wire.KeyValue{},
		leases:   map[uint64]*storeLease{},
		changed:  make(chan struct{}),
	}
}

// handler returns the handler of the address that one node uses.
func (s *store) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, storeMaxRequest+1))
		if err != nil {
			return
		}
		delay := s.delay(node, r)
		time.Sleep(delay.request)
		status, answer := s.serve(r, body)
		time.Sleep(delay.answer)
		wire.WriteResponse(w, status, answer)
	})
}

func (s *store) serve(r *http.Request, body []byte) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	switch {
	case !s.requests.take(1):
		return http.StatusTooManyRequests, nil
	case r.URL.Path == "/watch":
		return s.watch(r.Context(), r.URL.Query())
	case r.URL.Path == "/store":
		return s.list(r)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		row, ok := s.rows[strings.TrimPrefix(r.URL.Path, "/store/")]
		if !ok {
			return http.StatusNotFound, wire.KeyValue{Revision: s.revision}
		}
		return http.StatusOK, row
	case r.URL.Path == "/multi":
		return s.transaction(body)
	case r.URL.Path == "/holds":
		return s.grant(body)
	case strings.HasPrefix(r.URL.Path, "/holds/"):
		return s.lease(r)
	}
	return http.StatusBadRequest, nil
}

func (s *store) list(r *http.Request) (status int, answer any) {
	query := r.URL.Query()
	page, _ := strconv.Atoi(query.Get("page"))
	page = min(max(page, 1), storeMaxPage)
	out := wire.RangeResponse{Revision: s.revision, KeyValues: []wire.KeyValue{}}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(key, query.Get("under")) || key <= query.Get("after") {
			continue
		}
		if len(out.KeyValues) == page {
			out.HasMore = true
			break
		}
		out.KeyValues = append(out.KeyValues, s.rows[key])
	}
	return http.StatusOK, out
}

func (s *store) transaction(body []byte) (status int, answer any) {
	var txn wire.TxnRequest
	if wire.Decode(body, &txn) != nil || len(txn.Ops) > s.limits.txnOps ||
		len(txn.Conditions) > 4*s.limits.txnOps || wire.JSONSize(body) > storeMaxRequest {
		return http.StatusBadRequest, nil
	}
	if !s.writes.take(float64(len(txn.Ops))) {
		return http.StatusTooManyRequests, nil
	}
	if !s.valid(txn.Ops) {
		return http.StatusBadRequest, wire.ErrorResponse{Message: "no such lease"}
	}
	var failed []string
	for _, condition := range txn.Conditions {
		if s.rows[condition.Key].ModRevision != condition.ModRevision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{FailedKeys: failed, Revision: s.revision}
	}
	if len(txn.Ops) > 0 {
		s.revision++
	}
	for _, op := range txn.Ops {
		s.apply(op)
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// valid reports whether the values of operations are within the limit and their leases live.
func (s *store) valid(ops []wire.Op) bool {
	for _, op := range ops {
		if op.PutKey != "" && float64(wire.JSONSize(op.Value)) > s.limits.valueKB*1024 ||
			op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return false
		}
	}
	return true
}

func (s *store) apply(op wire.Op) {
	if op.PutKey == "" {
		s.remove(op.DeleteKey)
		return
	}
	s.rows[op.PutKey] = wire.KeyValue{
		Key: op.PutKey, Value: op.Value, ModRevision: s.revision, LeaseID: op.LeaseID,
	}
	s.addEvent(wire.Event{PutKey: op.PutKey, Value: op.Value, ModRevision: s.revision})
}

func (s *store) remove(key string) {
	if _, ok := s.rows[key]; ok {
		delete(s.rows, key)
		s.addEvent(wire.Event{DeleteKey: key, ModRevision: s.revision})
	}
}

func (s *store) addEvent(event wire.Event) {
	s.events = append(s.events, event)
	if len(s.events) > storeMaxEvents {
		s.events = slices.Delete(s.events, 0, len(s.events)-storeMaxEvents)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) grant(body []byte) (status int, answer any) {
	var request wire.LeaseRequest
	if wire.Decode(body, &request) != nil || request.TTLMs < 100 || request.TTLMs > 600_000 {
		return http.StatusBadRequest, nil
	}
	s.lastLease++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, wire.LeaseResponse{LeaseID: s.lastLease}
}

func (s *store) lease(r *http.Request) (status int, answer any) {
	number, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/holds/"), "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	lease := s.leases[id]
	if lease == nil {
		return http.StatusNotFound, nil
	}
	if r.Method == http.MethodDelete {
		s.revoke(id)
	} else {
		lease.expiry = time.Now().Add(lease.ttl)
	}
	return http.StatusOK, nil
}

func (s *store) expireLeases() {
	for id, lease := range s.leases {
		if time.Now().After(lease.expiry) {
			s.revoke(id)
		}
	}
}

func (s *store) revoke(id uint64) {
	delete(s.leases, id)
	for key, row := range s.rows {
		if row.LeaseID == id {
			s.revision++
			s.remove(key)
		}
	}
}

// watch waits for events under a prefix. The caller holds the lock, which is released while it waits.
func (s *store) watch(ctx context.Context, query url.Values) (status int, answer any) {
	prefix := query.Get("under")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	deadline := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for ctx.Err() == nil {
		if len(s.events) == storeMaxEvents && s.events[0].ModRevision > after+1 {
			return http.StatusGone, nil
		}
		out := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
		for _, event := range s.events {
			if event.ModRevision > after && strings.HasPrefix(event.PutKey+event.DeleteKey, prefix) {
				out.Events = append(out.Events, event)
			}
		}
		if len(out.Events) > 0 || !time.Now().Before(deadline) {
			return http.StatusOK, out
		}
		s.waitForChange(ctx, deadline)
	}
	return http.StatusServiceUnavailable, nil
}

// waitForChange releases the lock until something may have changed.
func (s *store) waitForChange(ctx context.Context, deadline time.Time) {
	changed := s.changed
	s.mu.Unlock()
	timer := time.NewTimer(min(max(time.Until(deadline), time.Millisecond), storeTick))
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	s.mu.Lock()
	s.expireLeases()
}
