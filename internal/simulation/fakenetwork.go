// Package simulation holds stand-ins for what surrounds the controllers: network,
// state service, cloud, workers and users, with an oracle that checks every
// rule of the protocol. It serves tests only.
package simulation

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const sourceHeader = "Stand-In-From"

// responseLostHeader marks an answer that never arrives.
const responseLostHeader = "Stand-In-Lost"

// Partition interrupts what passes between two hosts, "*" matches any; or between some hosts,
// such as those of a zone, and all others.
type Partition struct {
	From, To      string
	IsolatedHosts map[string]bool
	DeliverLate   bool // deliver late; otherwise connections are reset
	Until         time.Time
}

// FakeNetwork carries requests between hosts by calling handlers.
type FakeNetwork struct {
	mu                sync.Mutex
	random            *rand.Rand
	hosts             map[string]*Host
	partitions        []Partition
	maxExtraLatency   time.Duration // what links add at most
	extraLatencyUntil time.Time     // for how long
}

// Host is one address.
type Host struct {
	Name       string
	Handler    http.Handler
	Responsive func() bool // false: silent, as without power
}

// NewFakeNetwork makes an empty network.
func NewFakeNetwork(rnd *rand.Rand) *FakeNetwork {
	return &FakeNetwork{random: rnd, hosts: map[string]*Host{}}
}

// Listen puts a host at an address; nil takes it away, so that connections are refused.
func (n *FakeNetwork) Listen(addr string, h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h == nil {
		delete(n.hosts, addr)
	} else {
		n.hosts[addr] = h
	}
}

// AddPartition adds an interruption.
func (n *FakeNetwork) AddPartition(c Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions = append(n.partitions, c)
}

// AddLatency lets every packet take up to so much longer until a time.
func (n *FakeNetwork) AddLatency(d time.Duration, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraLatency, n.extraLatencyUntil = d, until
}

func (n *FakeNetwork) activePartition(source, destination string) (Partition, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	match := func(p, s string) bool { return p != "" && (p == "*" || p == s) }
	for _, c := range n.partitions {
		if time.Now().Before(c.Until) && (match(c.From, source) && match(c.To, destination) || match(c.From, destination) && match(c.To, source) || c.IsolatedHosts[source] != c.IsolatedHosts[destination]) {
			return c, true
		}
	}
	return Partition{}, false
}

func (n *FakeNetwork) latency() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Duration(n.random.IntN(5)+1) * time.Millisecond
	if n.random.IntN(100) == 0 {
		d += 200 * time.Millisecond
	}
	if time.Now().Before(n.extraLatencyUntil) {
		d += time.Duration(n.random.Int64N(int64(n.maxExtraLatency)))
	}
	return d
}

// transmit lets a packet travel between two hosts, and wait while a cut holds it
// back; false if a cut resets its connection.
func (n *FakeNetwork) transmit(source, destination string) bool {
	time.Sleep(n.latency())
	c, ok := n.activePartition(source, destination)
	if ok && c.DeliverLate {
		time.Sleep(time.Until(c.Until) + n.latency())
	}
	return !ok || c.DeliverLate
}

type hostTransport struct {
	network *FakeNetwork
	source  string
	alive   func() bool
}

// Transport gives a host's way into the network; alive tells whether the process
// that uses it still runs.
func (n *FakeNetwork) Transport(name string, alive func() bool) http.RoundTripper {
	return hostTransport{n, name, alive}
}

var errConnectionReset = errors.New("connection reset")

type exchangeResult struct {
	recorder *httptest.ResponseRecorder
	err      error
}

// RoundTrip carries one request. What was sent may be executed though its
// sender has given up.
func (t hostTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	if !t.alive() {
		return nil, errConnectionReset
	}
	ctx := req.Context()
	addr := req.URL.Host
	t.network.mu.Lock()
	h := t.network.hosts[addr]
	t.network.mu.Unlock()
	if h == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("refused")}
	}
	out := make(chan exchangeResult, 1)
	go func() {
		if !t.network.transmit(t.source, h.Name) {
			out <- exchangeResult{err: errConnectionReset}
			return
		}
		for !h.Responsive() { // hanging: it may go on later
			time.Sleep(100 * time.Millisecond)
			t.network.mu.Lock()
			gone := t.network.hosts[addr] != h
			t.network.mu.Unlock()
			if gone {
				return
			}
		}
		hctx := context.Background()
		if req.URL.Path == "/watch" {
			hctx = ctx
		}
		inner := httptest.NewRequestWithContext(hctx, req.Method, req.URL.RequestURI(), bytes.NewReader(body))
		inner.Header.Set(sourceHeader, t.source)
		rec := httptest.NewRecorder()
		h.Handler.ServeHTTP(rec, inner)
		if rec.Header().Get(responseLostHeader) != "" {
			return // its sender waits until it gives up
		}
		t.network.mu.Lock()
		gone := t.network.hosts[addr] != h
		t.network.mu.Unlock()
		if gone {
			out <- exchangeResult{err: errConnectionReset} // the process ended before it could answer
			return
		}
		if !t.network.transmit(t.source, h.Name) {
			out <- exchangeResult{err: errConnectionReset}
			return
		}
		out <- exchangeResult{recorder: rec}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-out:
		if r.err != nil {
			return nil, r.err
		}
		if !t.alive() {
			return nil, errConnectionReset
		}
		return r.recorder.Result(), nil
	}
}
