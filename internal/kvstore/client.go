// Package kvstore is the client of the state service: paced requests, group
// commit and a watched cache.
package kvstore

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
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrGuard: a condition failed; nothing was changed.
	ErrConditionFailed = errors.New("guard failed")
	// ErrNotFound: no such key or hold.
	ErrNotFound = errors.New("not found")
	// ErrTooOld: the watch's starting point is no longer kept.
	ErrCompacted = errors.New("revision too old")
	// ErrRefused: the request is malformed or names an ended hold.
	ErrRejected = errors.New("refused")
)

var rejectedRequests = promauto.NewCounterVec(prometheus.CounterOpts{Name: "sableusher_state_refusals_total",
	Help: "Requests that the state service refused: for its rate, or a transaction for its form or size."}, []string{"why"})

// Limits are the service's budget, of which a node uses the share that SetShare
// gives it, and its sizes.
type Limits struct {
	BudgetShare       float64 // at first
	RequestsPerSecond float64
	WritesPerSecond   float64
	MaxValueKiB       float64
	MaxTransactionOps int
}

// Client speaks to the state service within a budget.
type Client struct {
	baseURL        string
	httpClient     *http.Client
	requestLimiter *rate.Limiter
	urgentLimiter  *rate.Limiter
	writeLimiter   *rate.Limiter

	mu               sync.Mutex
	limits           Limits  // as of now
	upcomingLimits   Limits  // those that are known to come, at most as large
	budgetShare      float64 // of the whole budget
	backoffFactor    float64 // of the share: lowered by refusals, back to 1 in time
	backoffChangedAt time.Time
}

// NewClient makes a client of the service at addr.
func NewClient(addr string, limits Limits, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = wire.NewTransport(tuning.StateTimeout, tuning.IdleConns, tuning.IdleConns)
	}
	c := &Client{
		baseURL: "http://" + addr, httpClient: &http.Client{Transport: transport}, limits: limits, backoffFactor: 1,
		requestLimiter: rate.NewLimiter(0, 0), urgentLimiter: rate.NewLimiter(0, 0), writeLimiter: rate.NewLimiter(0, 0),
	}
	if limits.BudgetShare == 0 {
		c.limits.BudgetShare = 1
	}
	c.upcomingLimits = c.limits
	c.SetBudgetShare(c.limits.BudgetShare)
	return c
}

// SetUpcomingLimits tells the limits that the service will have from some moment on, none of
// them above those of today. Small
// transactions are taken by any service and read by any version, so they are kept
// to at once; records and rates follow with Lower.
func (c *Client) SetUpcomingLimits(next Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next.BudgetShare = c.limits.BudgetShare
	c.upcomingLimits = next
	c.limits.MaxTransactionOps = next.MaxTransactionOps
}

// ApplyUpcomingLimits keeps to the limits that are known to come from now on.
func (c *Client) ApplyUpcomingLimits() {
	c.mu.Lock()
	c.limits = c.upcomingLimits
	share := c.budgetShare
	c.mu.Unlock()
	c.SetBudgetShare(share)
}

// MaxTransactionOps is how many changes a transaction may make.
func (c *Client) MaxTransactionOps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits.MaxTransactionOps
}

// MaxRecordBytes is what a record may take, in bytes of its JSON form.
func (c *Client) MaxRecordBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limits.MaxValueKiB * 1024 * tuning.JSONShare)
}

// UpcomingMaxRecordBytes is Room under the limits that are known to come: what is accepted
// must be held then too.
func (c *Client) UpcomingMaxRecordBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.upcomingLimits.MaxValueKiB * 1024 * tuning.JSONShare)
}

// reduceWriteRate lowers the pace of writes after a 429; each node that is refused does.
// It comes back by itself, so that a service that only had a bad second is used
// whole again.
func (c *Client) reduceWriteRate() {
	c.mu.Lock()
	now := time.Now()
	if now.Sub(c.backoffChangedAt) < tuning.PaceHold {
		c.mu.Unlock()
		return
	}
	c.backoffFactor, c.backoffChangedAt = max(c.backoffFactor*tuning.PaceCut, tuning.PaceLeast), now
	share := c.budgetShare
	c.mu.Unlock()
	c.SetBudgetShare(share)
}

// SetBudgetShare sets the share of the service's budget that this node uses.
func (c *Client) SetBudgetShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgetShare = share
	if c.backoffFactor < 1 && time.Since(c.backoffChangedAt) > tuning.PaceHold {
		c.backoffFactor, c.backoffChangedAt = min(1, c.backoffFactor+tuning.PaceBack), time.Now()
	}
	limits := &c.limits
	set := func(limiter *rate.Limiter, limit float64, burst int) {
		if limiter.Limit() != rate.Limit(limit) {
			limiter.SetLimit(rate.Limit(limit))
			limiter.SetBurst(burst)
		}
	}
	requestRate, writeRate := limits.RequestsPerSecond*share, limits.WritesPerSecond*share*c.backoffFactor
	set(c.requestLimiter, requestRate*(1-tuning.UrgentShare), max(int(requestRate/2), 4))
	set(c.urgentLimiter, requestRate*tuning.UrgentShare, max(int(requestRate*tuning.UrgentShare), 4))
	set(c.writeLimiter, writeRate, max(int(writeRate), limits.MaxTransactionOps))
}

// waitForWriteBudget waits until the budget allows a write, and tells how many it allows.
func (c *Client) waitForWriteBudget(ctx context.Context) (int, error) {
	for {
		tokens := c.writeLimiter.Tokens()
		if tokens >= 1 {
			return int(tokens), nil
		}
		pause := time.Duration((1 - tokens) / float64(c.writeLimiter.Limit()) * float64(time.Second))
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(min(max(pause, time.Millisecond), time.Second)):
		}
	}
}

// spendWriteBudget takes writes off the budget.
func (c *Client) spendWriteBudget(writes int) { c.writeLimiter.ReserveN(time.Now(), writes) }

func (c *Client) waitForRequestBudget(ctx context.Context, urgent bool) error {
	if urgent && c.urgentLimiter.Allow() {
		return nil
	}
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// roundTrip sends one request and decodes a 200 into out; other statuses are
// returned with their body.
func (c *Client) roundTrip(ctx context.Context, method, path string, in, out any, timeout time.Duration) (int, []byte, error) {
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
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("state request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	b, err := wire.ReadBody(resp.Body, tuning.StateBody)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out != nil {
			if err := wire.Decode(b, out); err != nil {
				return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
			}
		}
		return http.StatusOK, b, nil
	case http.StatusTooManyRequests:
		rejectedRequests.WithLabelValues("rate").Inc()
		c.reduceWriteRate()
		return resp.StatusCode, b, ErrUnavailable
	case http.StatusServiceUnavailable:
		return resp.StatusCode, b, ErrUnavailable
	}
	return resp.StatusCode, b, nil
}

// Get reads one key. A missing key gives ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	if err := c.waitForRequestBudget(ctx, false); err != nil {
		return wire.KeyValue{}, err
	}
	var entry wire.KeyValue
	status, _, err := c.roundTrip(ctx, http.MethodGet, "/store/"+key, nil, &entry, tuning.StateTimeout)
	switch {
	case err != nil:
		return entry, err
	case status == http.StatusNotFound:
		return entry, ErrNotFound
	case status != http.StatusOK:
		return entry, fmt.Errorf("%w: get: status %d", ErrRejected, status)
	}
	return entry, nil
}

// Reader reads single records.
type Reader interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
}

// ReadRecord reads and decodes one record. ErrNotFound alone proves that it is not there.
func ReadRecord[T any](ctx context.Context, reader Reader, key string) (T, error) {
	var record T
	entry, err := reader.Get(ctx, key)
	if err == nil {
		err = wire.Decode(entry.Value, &record)
	}
	return record, err
}

// List reads one page of the keys under prefix that come after a key.
func (c *Client) List(ctx context.Context, prefix, afterKey string) (wire.RangeResponse, error) {
	if err := c.waitForRequestBudget(ctx, false); err != nil {
		return wire.RangeResponse{}, err
	}
	query := url.Values{"under": {prefix}, "page": {fmt.Sprint(tuning.PageRows)}}
	if afterKey != "" {
		query.Set("after", afterKey)
	}
	var page wire.RangeResponse
	status, _, err := c.roundTrip(ctx, http.MethodGet, "/store?"+query.Encode(), nil, &page, 2*tuning.StateTimeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: list: status %d", ErrRejected, status)
	}
	return page, err
}

// Watch waits for changes under prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64, maxWait time.Duration, urgent bool) (wire.WatchResponse, error) {
	if err := c.waitForRequestBudget(ctx, urgent); err != nil {
		return wire.WatchResponse{}, err
	}
	query := url.Values{"under": {prefix}, "after": {fmt.Sprint(afterRevision)}, "hold_ms": {fmt.Sprint(maxWait.Milliseconds())}}
	var changes wire.WatchResponse
	status, _, err := c.roundTrip(ctx, http.MethodGet, "/watch?"+query.Encode(), nil, &changes, maxWait+tuning.StateTimeout)
	switch {
	case err != nil:
		return changes, err
	case status == http.StatusGone:
		return changes, ErrCompacted
	case status != http.StatusOK:
		return changes, fmt.Errorf("%w: watch: status %d", ErrRejected, status)
	}
	return changes, nil
}

// ExecuteTransaction runs one transaction; its caller keeps to the budget of writes. On
// ErrGuard the result names the failed keys.
func (c *Client) ExecuteTransaction(ctx context.Context, transaction wire.TxnRequest, urgent bool) (wire.TxnResponse, error) {
	if err := c.waitForRequestBudget(ctx, urgent); err != nil {
		return wire.TxnResponse{}, err
	}
	var result wire.TxnResponse
	status, body, err := c.roundTrip(ctx, http.MethodPost, "/multi", transaction, &result, tuning.StateTimeout)
	switch {
	case err != nil:
		return result, err
	case status == http.StatusConflict:
		if err := wire.Decode(body, &result); err != nil {
			return result, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return result, ErrConditionFailed
	case status != http.StatusOK:
		rejectedRequests.WithLabelValues("form").Inc()
		return result, fmt.Errorf("%w: transaction: status %d", ErrRejected, status)
	}
	return result, nil
}

// GrantLease opens a lease of the service.
func (c *Client) GrantLease(ctx context.Context, timeToLive time.Duration) (uint64, error) {
	if err := c.waitForRequestBudget(ctx, true); err != nil {
		return 0, err
	}
	var response wire.LeaseResponse
	status, _, err := c.roundTrip(ctx, http.MethodPost, "/holds", wire.LeaseRequest{TTLMs: timeToLive.Milliseconds()}, &response, tuning.StateTimeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: hold: status %d", ErrRejected, status)
	}
	return response.LeaseID, err
}

// RevokeLease ends a lease, and with it what is attached to it.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	_, _, err := c.roundTrip(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", leaseID), nil, nil, tuning.StateTimeout)
	return err
}

// RenewLease renews a lease; ErrNotFound if it has ended.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	if err := c.waitForRequestBudget(ctx, true); err != nil {
		return err
	}
	status, _, err := c.roundTrip(ctx, http.MethodPost, fmt.Sprintf("/holds/%d/touch", leaseID), nil, nil, tuning.StateTimeout)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNotFound
	case status != http.StatusOK:
		return fmt.Errorf("%w: touch: status %d", ErrRejected, status)
	}
	return nil
}
