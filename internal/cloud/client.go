package cloud

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// noCapacityMessage is the cloud's error message when it has none of the requested machines available.
const noCapacityMessage = "no capacity"

// Options configures a Client.
type Options struct {
	// Address is the cloud's host and port.
	Address string
	// RequestsPerSecond is the request rate that the cloud allows for all controller nodes together.
	RequestsPerSecond float64
	// NodeCount is the number of controller nodes.
	NodeCount int
	// Transport sends the requests. If it is nil, New creates a network transport.
	Transport http.RoundTripper
}

// Client sends rate-limited requests to the cloud. It is safe for concurrent use.
type Client struct {
	baseURL      string
	httpClient   *http.Client
	limiter      *rate.Limiter
	leaderRate   rate.Limit // of the leader, which rents and lists machines for all nodes
	followerRate rate.Limit // of any other node, which only deletes machines of its shards
}

// New returns a client. It starts with the rate of a follower, or of the leader if there is only one node.
func New(options Options) *Client {
	transport := options.Transport
	if transport == nil {
		transport = wire.NewTransport(tuning.CloudTimeout, tuning.MaxIdleConnsPerHost, tuning.MaxIdleConnsPerHost)
	}
	leaderRate, followerRate := options.RequestsPerSecond*tuning.CloudBudgetShare, 0.0
	if options.NodeCount > 1 {
		followerRate = leaderRate * (1 - tuning.CloudLeaderShare) / float64(options.NodeCount-1)
		leaderRate *= tuning.CloudLeaderShare
	}
	c := &Client{
		baseURL:      "http://" + options.Address,
		httpClient:   &http.Client{Transport: transport},
		limiter:      rate.NewLimiter(rate.Limit(followerRate), tuning.CloudCallBurst),
		leaderRate:   rate.Limit(leaderRate),
		followerRate: rate.Limit(followerRate),
	}
	c.SetLeader(options.NodeCount == 1)
	return c
}

// SetLeader sets the request rate to that of the leader or that of a follower.
func (c *Client) SetLeader(isLeader bool) {
	limit := c.followerRate
	if isLeader {
		limit = c.leaderRate
	}
	if c.limiter.Limit() != limit {
		c.limiter.SetLimit(limit)
		c.limiter.SetBurst(max(tuning.CloudCallBurst, int(limit)))
	}
}

// HasSpareCall reports whether the rate limit allows a call now and would still allow one urgent call after it.
func (c *Client) HasSpareCall() bool { return c.limiter.Tokens() >= tuning.CloudCallBurst }

// call waits for the rate limiter, sends a request with the encoded input as its body, and decodes
// the response into output. Both input and output may be nil.
func (c *Client) call(ctx context.Context, method, path string, input, output any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req, err := c.newRequest(ctx, method, path, input)
	if err != nil {
		return err
	}
	status, body, err := c.send(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch {
	case status == http.StatusOK && output == nil:
		return nil
	case status == http.StatusOK:
		return wire.Decode(body, output)
	case status == http.StatusBadRequest:
		return fmt.Errorf("%s %s: %w", method, path, ErrMalformedRequest)
	case status == http.StatusServiceUnavailable && isNoCapacity(body):
		return ErrNoCapacity
	default:
		return &StatusError{Method: method, Path: path, Status: status}
	}
}

func (c *Client) newRequest(ctx context.Context, method, path string, input any) (*http.Request, error) {
	var body io.Reader
	if input != nil {
		encoded, err := wire.Encode(input)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, fmt.Errorf("cloud request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	return req, nil
}

// send sends a request and returns the status and the whole body of the response.
func (c *Client) send(req *http.Request) (status int, body []byte, err error) {
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	// The body has been read by then, so an error from Close is irrelevant.
	defer func() { _ = resp.Body.Close() }()
	body, err = wire.ReadBody(resp.Body, tuning.HTTPBodyMaxBytes)
	return resp.StatusCode, body, err
}

// isNoCapacity reports whether an error response has the noCapacityMessage.
func isNoCapacity(body []byte) bool {
	var response wire.ErrorResponse
	return wire.Decode(body, &response) == nil && response.Message == noCapacityMessage
}
