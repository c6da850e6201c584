// Package store is the client of the state service: paced requests, group
// commit and a watched cache.
package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var (
	// ErrUnavailable: the request was certainly not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrUnknown: no answer; the request may have been executed, or may be later.
	ErrUnknown = errors.New("outcome unknown")
	// ErrGuard: a condition failed; nothing was changed.
	ErrGuard = errors.New("guard failed")
	// ErrNotFound: no such key or hold.
	ErrNotFound = errors.New("not found")
	// ErrTooOld: the watch's starting point is no longer kept.
	ErrTooOld = errors.New("revision too old")
	// ErrRefused: the request is malformed or names an ended hold.
	ErrRefused = errors.New("refused")
)

var refusals = promauto.NewCounterVec(prometheus.CounterOpts{Name: "sableusher_state_refusals_total",
	Help: "Requests that the state service refused: for its rate, or a transaction for its form or size."}, []string{"why"})

// Limits are the service's budget, of which a node uses the share that SetShare
// gives it, and its sizes.
type Limits struct {
	Share    float64 // at first
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

// Client speaks to the state service within a budget.
type Client struct {
	base   string
	http   *http.Client
	reqs   *rate.Limiter
	urgent *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	limits Limits  // as of now
	next   Limits  // those that are known to come, at most as large
	share  float64 // of the whole budget
	slow   float64 // of the share: lowered by refusals, back to 1 in time
	paced  time.Time
}

// NewClient makes a client of the service at addr.
func NewClient(addr string, l Limits, rt http.RoundTripper) *Client {
	if rt == nil {
		rt = wire.NewTransport(tuning.StateTimeout, tuning.IdleConns, tuning.IdleConns)
	}
	c := &Client{
		base: "http://" + addr, http: &http.Client{Transport: rt}, limits: l, slow: 1,
		reqs: rate.NewLimiter(0, 0), urgent: rate.NewLimiter(0, 0), writes: rate.NewLimiter(0, 0),
	}
	if l.Share == 0 {
		c.limits.Share = 1
	}
	c.next = c.limits
	c.SetShare(c.limits.Share)
	return c
}

// Expect tells the limits that the service will have from some moment on, none of
// them above those of today. Small
// transactions are taken by any service and read by any version, so they are kept
// to at once; records and rates follow with Lower.
func (c *Client) Expect(next Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next.Share = c.limits.Share
	c.next = next
	c.limits.TxnOps = next.TxnOps
}

// Lower keeps to the limits that are known to come from now on.
func (c *Client) Lower() {
	c.mu.Lock()
	c.limits = c.next
	share := c.share
	c.mu.Unlock()
	c.SetShare(share)
}

// TxnOps is how many changes a transaction may make.
func (c *Client) TxnOps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.TxnOps
}

// Room is what a record may take, in bytes of its JSON form.
func (c *Client) Room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limits.ValueKB * 1024 * tuning.JSONShare)
}

// LeastRoom is Room under the limits that are known to come: what is accepted
// must be held then too.
func (c *Client) LeastRoom() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.next.ValueKB * 1024 * tuning.JSONShare)
}

// refused lowers the pace of writes after a 429; each node that is refused does.
// It comes back by itself, so that a service that only had a bad second is used
// whole again.
func (c *Client) refused() {
	c.mu.Lock()
	now := time.Now()
	if now.Sub(c.paced) < tuning.PaceHold {
		c.mu.Unlock()
		return
	}
	c.slow, c.paced = max(c.slow*tuning.PaceCut, tuning.PaceLeast), now
	share := c.share
	c.mu.Unlock()
	c.SetShare(share)
}

// SetShare sets the share of the service's budget that this node uses.
func (c *Client) SetShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = share
	if c.slow < 1 && time.Since(c.paced) > tuning.PaceHold {
		c.slow, c.paced = min(1, c.slow+tuning.PaceBack), time.Now()
	}
	l := &c.limits
	set := func(lim *rate.Limiter, limit float64, burst int) {
		if lim.Limit() != rate.Limit(limit) {
			lim.SetLimit(rate.Limit(limit))
			lim.SetBurst(burst)
		}
	}
	reqs, writes := l.RPS*share, l.WriteRPS*share*c.slow
	set(c.reqs, reqs*(1-tuning.UrgentShare), max(int(reqs/2), 4))
	set(c.urgent, reqs*tuning.UrgentShare, max(int(reqs*tuning.UrgentShare), 4))
	set(c.writes, writes, max(int(writes), l.TxnOps))
}

// writable waits until the budget allows a write, and tells how many it allows.
func (c *Client) writable(ctx context.Context) (int, error) {
	for {
		n := c.writes.Tokens()
		if n >= 1 {
			return int(n), nil
		}
		pause := time.Duration((1 - n) / float64(c.writes.Limit()) * float64(time.Second))
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(min(max(pause, time.Millisecond), time.Second)):
		}
	}
}

// wrote takes writes off the budget.
func (c *Client) wrote(n int) { c.writes.ReserveN(time.Now(), n) }

func (c *Client) pace(ctx context.Context, urgent bool) error {
	if urgent && c.urgent.Allow() {
		return nil
	}
	if err := c.reqs.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// call sends one request and decodes a 200 into out; other statuses are
// returned with their body.
func (c *Client) call(ctx context.Context, method, path string, in, out any, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := wire.Encode(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("state request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	b, err := wire.ReadBody(resp.Body, tuning.StateBody)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out != nil {
			if err := wire.Decode(b, out); err != nil {
				return 0, nil, fmt.Errorf("%w: %w", ErrUnknown, err)
			}
		}
		return http.StatusOK, b, nil
	case http.StatusTooManyRequests:
		refusals.WithLabelValues("rate").Inc()
		c.refused()
		return resp.StatusCode, b, ErrUnavailable
	case http.StatusServiceUnavailable:
		return resp.StatusCode, b, ErrUnavailable
	}
	return resp.StatusCode, b, nil
}

// Get reads one key. A missing key gives ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	if err := c.pace(ctx, false); err != nil {
		return wire.KeyValue{}, err
	}
	var row wire.KeyValue
	status, _, err := c.call(ctx, http.MethodGet, "/store/"+key, nil, &row, tuning.StateTimeout)
	switch {
	case err != nil:
		return row, err
	case status == http.StatusNotFound:
		return row, ErrNotFound
	case status != http.StatusOK:
		return row, fmt.Errorf("%w: get: status %d", ErrRefused, status)
	}
	return row, nil
}

// Reader reads single records.
type Reader interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
}

// Read reads and decodes one record. ErrNotFound alone proves that it is not there.
func Read[T any](ctx context.Context, r Reader, key string) (T, error) {
	var rec T
	row, err := r.Get(ctx, key)
	if err == nil {
		err = wire.Decode(row.Value, &rec)
	}
	return rec, err
}

// List reads one page of the keys under prefix that come after a key.
func (c *Client) List(ctx context.Context, prefix, after string) (wire.RangeResponse, error) {
	if err := c.pace(ctx, false); err != nil {
		return wire.RangeResponse{}, err
	}
	q := url.Values{"under": {prefix}, "page": {fmt.Sprint(tuning.PageRows)}}
	if after != "" {
		q.Set("after", after)
	}
	var rows wire.RangeResponse
	status, _, err := c.call(ctx, http.MethodGet, "/store?"+q.Encode(), nil, &rows, 2*tuning.StateTimeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: list: status %d", ErrRefused, status)
	}
	return rows, err
}

// Watch waits for changes under prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration, urgent bool) (wire.WatchResponse, error) {
	if err := c.pace(ctx, urgent); err != nil {
		return wire.WatchResponse{}, err
	}
	q := url.Values{"under": {prefix}, "after": {fmt.Sprint(after)}, "hold_ms": {fmt.Sprint(hold.Milliseconds())}}
	var news wire.WatchResponse
	status, _, err := c.call(ctx, http.MethodGet, "/watch?"+q.Encode(), nil, &news, hold+tuning.StateTimeout)
	switch {
	case err != nil:
		return news, err
	case status == http.StatusGone:
		return news, ErrTooOld
	case status != http.StatusOK:
		return news, fmt.Errorf("%w: watch: status %d", ErrRefused, status)
	}
	return news, nil
}

// Txn runs one transaction; its caller keeps to the budget of writes. On
// ErrGuard the result names the failed keys.
func (c *Client) Txn(ctx context.Context, t wire.TxnRequest, urgent bool) (wire.TxnResponse, error) {
	if err := c.pace(ctx, urgent); err != nil {
		return wire.TxnResponse{}, err
	}
	var res wire.TxnResponse
	status, body, err := c.call(ctx, http.MethodPost, "/multi", t, &res, tuning.StateTimeout)
	switch {
	case err != nil:
		return res, err
	case status == http.StatusConflict:
		if err := wire.Decode(body, &res); err != nil {
			return res, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return res, ErrGuard
	case status != http.StatusOK:
		refusals.WithLabelValues("form").Inc()
		return res, fmt.Errorf("%w: transaction: status %d", ErrRefused, status)
	}
	return res, nil
}

// OpenHold opens a lease of the service.
func (c *Client) OpenHold(ctx context.Context, ttl time.Duration) (uint64, error) {
	if err := c.pace(ctx, true); err != nil {
		return 0, err
	}
	var res wire.LeaseResponse
	status, _, err := c.call(ctx, http.MethodPost, "/holds", wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, &res, tuning.StateTimeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: hold: status %d", ErrRefused, status)
	}
	return res.LeaseID, err
}

// CloseHold ends a lease, and with it what is attached to it.
func (c *Client) CloseHold(ctx context.Context, hold uint64) error {
	_, _, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", hold), nil, nil, tuning.StateTimeout)
	return err
}

// TouchHold renews a lease; ErrNotFound if it has ended.
func (c *Client) TouchHold(ctx context.Context, hold uint64) error {
	if err := c.pace(ctx, true); err != nil {
		return err
	}
	status, _, err := c.call(ctx, http.MethodPost, fmt.Sprintf("/holds/%d/touch", hold), nil, nil, tuning.StateTimeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNotFound
	case status != http.StatusOK:
		return fmt.Errorf("%w: touch: status %d", ErrRefused, status)
	}
	return nil
}
