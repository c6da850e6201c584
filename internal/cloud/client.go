// Package cloud is the client of the cloud that machines are rented from.
package cloud

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"golang.org/x/time/rate"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

var (
	// ErrNoCapacity: the cloud has none of the kind just now; nothing was rented.
	ErrNoCapacity = errors.New("no capacity")
	// ErrTrouble: the cloud did not carry out the request.
	ErrUnavailable = errors.New("cloud trouble")
	// ErrMalformed: the cloud will never take the request.
	ErrMalformedRequest = errors.New("malformed request")
)

// Client is the client of the cloud, within a rate.
type Client struct {
	baseURL      string
	httpClient   *http.Client
	limiter      *rate.Limiter
	leaderRate   float64 // the leader's rate, which rents and lists for all
	followerRate float64 // another node's, which only returns its parts' machines
}

// New makes a client of the cloud at addr; all nodes together keep to rps.
func New(addr string, rps float64, nodes int, rt http.RoundTripper) *Client {
	if rt == nil {
		rt = wire.NewTransport(tuning.CloudTimeout, tuning.IdleConns, tuning.IdleConns)
	}
	c := &Client{baseURL: "http://" + addr, httpClient: &http.Client{Transport: rt}, leaderRate: rps * tuning.CloudShare}
	if nodes > 1 {
		c.followerRate = c.leaderRate * (1 - tuning.CloudLead) / float64(nodes-1)
		c.leaderRate *= tuning.CloudLead
	}
	c.limiter = rate.NewLimiter(rate.Limit(c.followerRate), tuning.CloudBurst)
	c.SetLeader(nodes == 1)
	return c
}

// SetLeader sets the rate by whether this node leads.
func (c *Client) SetLeader(leads bool) {
	limit := c.followerRate
	if leads {
		limit = c.leaderRate
	}
	if c.limiter.Limit() != rate.Limit(limit) {
		c.limiter.SetLimit(rate.Limit(limit))
		c.limiter.SetBurst(max(tuning.CloudBurst, int(limit)))
	}
}

// HasSpareCall tells whether a call now would leave one for what can't wait.
func (c *Client) HasSpareCall() bool { return c.limiter.Tokens() >= tuning.CloudBurst }

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	var body io.Reader
	if in != nil {
		b, err := wire.Encode(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("cloud request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	b, err := wire.ReadBody(resp.Body, tuning.StateBody)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return wire.Decode(b, out)
	case http.StatusBadRequest:
		return ErrMalformedRequest
	case http.StatusServiceUnavailable:
		var p wire.ErrorResponse
		if wire.Decode(b, &p) == nil && p.Message == "no capacity" {
			return ErrNoCapacity
		}
	}
	return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var out wire.Catalog
	err := c.call(ctx, http.MethodGet, "/catalog", nil, &out)
	return out, err
}

// Rent asks for machines. The same name gives the same answer.
func (c *Client) Rent(ctx context.Context, r wire.RentalRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.call(ctx, http.MethodPost, "/machines", r, &out)
	return out.Names, err
}

// Return deletes machines; once it returns nil they are gone.
func (c *Client) Return(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", wire.MachineNames{Names: names}, nil)
}

// List reads all machines.
func (c *Client) List(ctx context.Context) ([]wire.CloudMachine, error) {
	var out []wire.CloudMachine
	after := ""
	for {
		var page wire.MachinePage
		q := url.Values{"page": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		if err := c.call(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		out = append(out, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return out, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
