// Package standin holds stand-ins for what surrounds the controllers: network,
// state service, cloud, workers and users, with an oracle that checks every
// rule of the protocol. It serves tests only.
package standin

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

const fromHeader = "Stand-In-From"

// lostHeader marks an answer that never arrives.
const lostHeader = "Stand-In-Lost"

// Cut interrupts what passes between two hosts, "*" matches any; or between some hosts,
// such as those of a zone, and all others.
type Cut struct {
	From, To string
	Inside   map[string]bool
	Hold     bool // deliver late; otherwise connections are reset
	Until    time.Time
}

// Net carries requests between hosts by calling handlers.
type Net struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	hosts map[string]*Host
	cuts  []Cut
	slow  time.Duration // what links add at most
	until time.Time     // for how long
}

// Host is one address.
type Host struct {
	Name    string
	Handler http.Handler
	Up      func() bool // false: silent, as without power
}

// NewNet makes an empty network.
func NewNet(rnd *rand.Rand) *Net { return &Net{rnd: rnd, hosts: map[string]*Host{}} }

// Listen puts a host at an address; nil takes it away, so that connections are refused.
func (n *Net) Listen(addr string, h *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h == nil {
		delete(n.hosts, addr)
	} else {
		n.hosts[addr] = h
	}
}

// Cut adds an interruption.
func (n *Net) Cut(c Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = append(n.cuts, c)
}

// Slow lets every packet take up to so much longer until a time.
func (n *Net) Slow(d time.Duration, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow, n.until = d, until
}

func (n *Net) cut(a, b string) (Cut, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	match := func(p, s string) bool { return p != "" && (p == "*" || p == s) }
	for _, c := range n.cuts {
		if time.Now().Before(c.Until) && (match(c.From, a) && match(c.To, b) || match(c.From, b) && match(c.To, a) || c.Inside[a] != c.Inside[b]) {
			return c, true
		}
	}
	return Cut{}, false
}

func (n *Net) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Duration(n.rnd.IntN(5)+1) * time.Millisecond
	if n.rnd.IntN(100) == 0 {
		d += 200 * time.Millisecond
	}
	if time.Now().Before(n.until) {
		d += time.Duration(n.rnd.Int64N(int64(n.slow)))
	}
	return d
}

// passes lets a packet travel between two hosts, and wait while a cut holds it
// back; false if a cut resets its connection.
func (n *Net) passes(a, b string) bool {
	time.Sleep(n.delay())
	c, ok := n.cut(a, b)
	if ok && c.Hold {
		time.Sleep(time.Until(c.Until) + n.delay())
	}
	return !ok || c.Hold
}

type dialer struct {
	net   *Net
	from  string
	alive func() bool
}

// From gives a host's way into the network; alive tells whether the process
// that uses it still runs.
func (n *Net) From(name string, alive func() bool) http.RoundTripper { return dialer{n, name, alive} }

var errReset = errors.New("connection reset")

type reply struct {
	rec *httptest.ResponseRecorder
	err error
}

// RoundTrip carries one request. What was sent may be executed though its
// sender has given up.
func (d dialer) RoundTrip(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	if !d.alive() {
		return nil, errReset
	}
	ctx := req.Context()
	addr := req.URL.Host
	d.net.mu.Lock()
	h := d.net.hosts[addr]
	d.net.mu.Unlock()
	if h == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("refused")}
	}
	out := make(chan reply, 1)
	go func() {
		if !d.net.passes(d.from, h.Name) {
			out <- reply{err: errReset}
			return
		}
		for !h.Up() { // hanging: it may go on later
			time.Sleep(100 * time.Millisecond)
			d.net.mu.Lock()
			gone := d.net.hosts[addr] != h
			d.net.mu.Unlock()
			if gone {
				return
			}
		}
		hctx := context.Background()
		if req.URL.Path == "/watch" {
			hctx = ctx
		}
		inner := httptest.NewRequestWithContext(hctx, req.Method, req.URL.RequestURI(), bytes.NewReader(body))
		inner.Header.Set(fromHeader, d.from)
		rec := httptest.NewRecorder()
		h.Handler.ServeHTTP(rec, inner)
		if rec.Header().Get(lostHeader) != "" {
			return // its sender waits until it gives up
		}
		d.net.mu.Lock()
		gone := d.net.hosts[addr] != h
		d.net.mu.Unlock()
		if gone {
			out <- reply{err: errReset} // the process ended before it could answer
			return
		}
		if !d.net.passes(d.from, h.Name) {
			out <- reply{err: errReset}
			return
		}
		out <- reply{rec: rec}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-out:
		if r.err != nil {
			return nil, r.err
		}
		if !d.alive() {
			return nil, errReset
		}
		return r.rec.Result(), nil
	}
}
