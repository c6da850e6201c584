package simulation

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"sableusher/internal/wire"
)

// Paths of the key-value store.
const (
	pathWatch       = "/watch"
	pathRange       = "/store"
	pathTransaction = "/multi"
	pathLeases      = "/holds"
	pathLease       = "/holds/" // followed by the lease ID
)

// Bounds of requests to the key-value store.
const (
	minLeaseTTLMs = 100
	maxLeaseTTLMs = 600_000
	maxRangePage  = 1000 // rows per response
)

// ServeHTTP serves the store's HTTP API.
func (kv *FakeKV) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.delayRequest(w, r)
	kv.expireLeases()
	if kv.faults.refuses(r.Header.Get(sourceHeader)) {
		wire.WriteResponse(w, http.StatusServiceUnavailable, nil)
		return
	}
	if !kv.limits.requests.take(1) {
		kv.RateLimited++
		wire.WriteResponse(w, http.StatusTooManyRequests, nil)
		return
	}
	kv.route(w, r, body)
}

func (kv *FakeKV) route(w http.ResponseWriter, r *http.Request, body []byte) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == pathWatch:
		kv.serveWatch(w, r)
	case r.Method == http.MethodGet && path == pathRange:
		kv.serveRange(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, pathRange+"/"):
		kv.serveGet(w, strings.TrimPrefix(path, pathRange+"/"))
	case path == pathTransaction:
		kv.serveTransaction(w, r, body)
	case path == pathLeases:
		kv.serveLeaseGrant(w, body)
	case strings.HasPrefix(path, pathLease):
		kv.serveLease(w, r)
	default:
		wire.WriteResponse(w, http.StatusBadRequest, nil)
	}
}

func (kv *FakeKV) serveGet(w http.ResponseWriter, key string) {
	row, ok := kv.rows[key]
	if !ok {
		wire.WriteResponse(w, http.StatusNotFound, wire.KeyValue{Revision: kv.revision})
		return
	}
	wire.WriteResponse(w, http.StatusOK, row)
}

func (kv *FakeKV) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("under"), query.Get("after")
	limit, _ := strconv.Atoi(query.Get("page"))
	limit = min(max(limit, 1), maxRangePage)
	var keys []string
	for key := range kv.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := wire.RangeResponse{Revision: kv.revision, KeyValues: []wire.KeyValue{}}
	for _, key := range keys {
		if len(out.KeyValues) == limit {
			out.HasMore = true
			break
		}
		out.KeyValues = append(out.KeyValues, kv.rows[key])
	}
	wire.WriteResponse(w, http.StatusOK, out)
}

func (kv *FakeKV) serveLeaseGrant(w http.ResponseWriter, body []byte) {
	var request wire.LeaseRequest
	if wire.Decode(body, &request) != nil || request.TTLMs < minLeaseTTLMs || request.TTLMs > maxLeaseTTLMs {
		wire.WriteResponse(w, http.StatusBadRequest, nil)
		return
	}
	kv.lastLeaseID++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	kv.leases[kv.lastLeaseID] = &kvLease{ttl, time.Now().Add(ttl)}
	wire.WriteResponse(w, http.StatusOK, wire.LeaseResponse{LeaseID: kv.lastLeaseID})
}

// serveLease renews a lease or revokes it.
func (kv *FakeKV) serveLease(w http.ResponseWriter, r *http.Request) {
	number, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathLease), "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	lease := kv.leases[id]
	if lease == nil {
		wire.WriteResponse(w, http.StatusNotFound, nil)
		return
	}
	if r.Method == http.MethodDelete {
		kv.revokeLease(id)
	} else {
		lease.expiry = time.Now().Add(lease.ttl)
	}
	w.WriteHeader(http.StatusOK)
}
