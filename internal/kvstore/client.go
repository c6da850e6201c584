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
	"strconv"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Client sends requests to the key-value store and limits their rate to this
// node's budget. It is safe for concurrent use.
type Client struct {
	*budget

	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the store at address. If transport is nil, it
// creates a network transport.
func NewClient(address string, limits Limits, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = wire.NewTransport(tuning.KVRequestTimeout, tuning.MaxIdleConnsPerHost, tuning.MaxIdleConnsPerHost)
	}
	return &Client{
		budget:     newBudget(limits),
		baseURL:    "http://" + address,
		httpClient: &http.Client{Transport: transport},
	}
}

// Reader reads single keys.
type Reader interface {
	Get(ctx context.Context, key string) (wire.KeyValue, error)
}

// ReadRecord reads one key and decodes its value. Only ErrNotFound proves that
// the key does not exist.
func ReadRecord[T any](ctx context.Context, reader Reader, key string) (T, error) {
	var record T
	entry, err := reader.Get(ctx, key)
	if err == nil {
		err = wire.Decode(entry.Value, &record)
	}
	return record, err
}

// Get reads one key. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.KeyValue, error) {
	if err := c.waitForRequestBudget(ctx, OrdinaryRequest); err != nil {
		return wire.KeyValue{}, err
	}
	var entry wire.KeyValue
	reply, err := c.roundTrip(ctx, request{
		method: http.MethodGet, path: "/store/" + key, timeout: tuning.KVRequestTimeout,
	}, &entry)
	if err == nil && reply.status == http.StatusNotFound {
		err = ErrNotFound
	}
	if err == nil {
		err = reply.rejection("get")
	}
	return entry, err
}

// List reads one page of the keys under prefix that follow afterKey. An empty
// afterKey selects the first page.
func (c *Client) List(ctx context.Context, prefix, afterKey string) (wire.RangeResponse, error) {
	if err := c.waitForRequestBudget(ctx, OrdinaryRequest); err != nil {
		return wire.RangeResponse{}, err
	}
	query := url.Values{"under": {prefix}, "page": {strconv.Itoa(tuning.ListPageSize)}}
	if afterKey != "" {
		query.Set("after", afterKey)
	}
	var page wire.RangeResponse
	reply, err := c.roundTrip(ctx, request{
		method: http.MethodGet, path: "/store?" + query.Encode(), timeout: 2 * tuning.KVRequestTimeout,
	}, &page)
	if err == nil {
		err = reply.rejection("list")
	}
	return page, err
}

// WatchRequest requests the changes of the keys under Prefix after AfterRevision.
type WatchRequest struct {
	Prefix        string
	AfterRevision uint64
	MaxWait       time.Duration // how long the store waits for a change; 0 means that it responds at once
	Priority      RequestPriority
}

// Watch waits for changes and returns them. It returns ErrCompacted if the store
// has compacted changes after watch.AfterRevision.
func (c *Client) Watch(ctx context.Context, watch WatchRequest) (wire.WatchResponse, error) {
	if err := c.waitForRequestBudget(ctx, watch.Priority); err != nil {
		return wire.WatchResponse{}, err
	}
	query := url.Values{
		"under":   {watch.Prefix},
		"after":   {strconv.FormatUint(watch.AfterRevision, 10)},
		"hold_ms": {strconv.FormatInt(watch.MaxWait.Milliseconds(), 10)},
	}
	var changes wire.WatchResponse
	reply, err := c.roundTrip(ctx, request{
		method: http.MethodGet, path: "/watch?" + query.Encode(), timeout: watch.MaxWait + tuning.KVRequestTimeout,
	}, &changes)
	if err == nil && reply.status == http.StatusGone {
		err = ErrCompacted
	}
	if err == nil {
		err = reply.rejection("watch")
	}
	return changes, err
}

// ExecuteTransaction sends one transaction. It applies the request budget; the
// caller is responsible for the write budget. If it returns ErrConditionFailed,
// the result contains the keys whose conditions failed.
func (c *Client) ExecuteTransaction(
	ctx context.Context, transaction wire.TxnRequest, priority RequestPriority,
) (wire.TxnResponse, error) {
	if err := c.waitForRequestBudget(ctx, priority); err != nil {
		return wire.TxnResponse{}, err
	}
	var result wire.TxnResponse
	reply, err := c.roundTrip(ctx, request{
		method: http.MethodPost, path: "/multi", body: transaction, timeout: tuning.KVRequestTimeout,
	}, &result)
	switch {
	case err != nil:
		return result, err
	case reply.status == http.StatusConflict:
		if err := wire.Decode(reply.body, &result); err != nil {
			return result, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return result, ErrConditionFailed
	case reply.status != http.StatusOK:
		rejectedRequests.WithLabelValues(rejectedForForm).Inc()
	}
	return result, reply.rejection("transaction")
}

// request is one HTTP request to the store.
type request struct {
	method  string
	path    string
	body    any // encoded as CBOR; nil for none
	timeout time.Duration
}

// response is an HTTP response with a status other than 429 and 503.
type response struct {
	status int
	body   []byte
}

// rejection returns a RejectedError, or nil if the status is 200.
func (r response) rejection(operation string) error {
	if r.status == http.StatusOK {
		return nil
	}
	return &RejectedError{Operation: operation, Status: r.status}
}

// roundTrip sends one request and, if the status is 200 and out is not nil,
// decodes the body into out. It returns ErrUnavailable if the request was
// certainly not executed, and ErrOutcomeUnknown if there is no usable response.
func (c *Client) roundTrip(ctx context.Context, r request, out any) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	httpRequest, err := c.newHTTPRequest(ctx, r)
	if err != nil {
		return response{}, err
	}
	httpResponse, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return response{}, transportError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }() // an error is irrelevant: the body was read, or reading it failed
	body, err := wire.ReadBody(httpResponse.Body, tuning.HTTPBodyMaxBytes)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch httpResponse.StatusCode {
	case http.StatusOK:
		if out == nil {
			break
		}
		if err := wire.Decode(body, out); err != nil {
			return response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	case http.StatusTooManyRequests:
		rejectedRequests.WithLabelValues(rejectedForRate).Inc()
		c.reduceWriteRate()
		return response{}, ErrUnavailable
	case http.StatusServiceUnavailable:
		return response{}, ErrUnavailable
	}
	return response{status: httpResponse.StatusCode, body: body}, nil
}

func (c *Client) newHTTPRequest(ctx context.Context, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		encoded, err := wire.Encode(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, body)
	if err != nil {
		return nil, fmt.Errorf("key-value store request: %w", err)
	}
	httpRequest.Header.Set("Content-Type", wire.ContentType)
	return httpRequest, nil
}

// transportError returns ErrUnavailable for a request that was never sent because
// no connection could be established, and ErrOutcomeUnknown for any other
// transport error, after which the request may have been executed.
func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}
