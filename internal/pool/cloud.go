// Package pool rents and returns machines: the client of the cloud, and the
// leader's sizing of the fleet.
package pool

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
	ErrTrouble = errors.New("cloud trouble")
	// ErrMalformed: the cloud will never take the request.
	ErrMalformed = errors.New("malformed request")
)

// Cloud is the client of the cloud, within a rate.
type Cloud struct {
	base   string
	http   *http.Client
	pace   *rate.Limiter
	lead   float64 // the leader's rate, which rents and lists for all
	follow float64 // another node's, which only returns its parts' machines
}

// NewCloud makes a client of the cloud at addr; all nodes together keep to rps.
func NewCloud(addr string, rps float64, nodes int, rt http.RoundTripper) *Cloud {
	if rt == nil {
		rt = wire.Transport(tuning.CloudTimeout, tuning.IdleConns, tuning.IdleConns)
	}
	c := &Cloud{base: "http://" + addr, http: &http.Client{Transport: rt}, lead: rps * tuning.CloudShare}
	if nodes > 1 {
		c.follow = c.lead * (1 - tuning.CloudLead) / float64(nodes-1)
		c.lead *= tuning.CloudLead
	}
	c.pace = rate.NewLimiter(rate.Limit(c.follow), tuning.CloudBurst)
	c.Lead(nodes == 1)
	return c
}

// Lead sets the rate by whether this node leads.
func (c *Cloud) Lead(leads bool) {
	limit := c.follow
	if leads {
		limit = c.lead
	}
	if c.pace.Limit() != rate.Limit(limit) {
		c.pace.SetLimit(rate.Limit(limit))
		c.pace.SetBurst(max(tuning.CloudBurst, int(limit)))
	}
}

// Spare tells whether a call now would leave one for what can't wait.
func (c *Cloud) Spare() bool { return c.pace.Tokens() >= tuning.CloudBurst }

func (c *Cloud) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	if err := c.pace.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrTrouble, err)
	}
	var body io.Reader
	if in != nil {
		b, err := wire.Encode(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("cloud request: %w", err)
	}
	req.Header.Set("Content-Type", wire.ContentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTrouble, err)
	}
	defer resp.Body.Close()
	b, err := wire.ReadBody(resp.Body, tuning.StateBody)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTrouble, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return wire.Decode(b, out)
	case http.StatusBadRequest:
		return ErrMalformed
	case http.StatusServiceUnavailable:
		var p wire.Problem
		if wire.Decode(b, &p) == nil && p.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	return fmt.Errorf("%w: status %d", ErrTrouble, resp.StatusCode)
}

// Catalog reads the machine types.
func (c *Cloud) Catalog(ctx context.Context) (wire.Catalog, error) {
	var out wire.Catalog
	err := c.call(ctx, http.MethodGet, "/catalog", nil, &out)
	return out, err
}

// Rent asks for machines. The same name gives the same answer.
func (c *Cloud) Rent(ctx context.Context, r wire.Rental) ([]string, error) {
	var out wire.Fleet
	err := c.call(ctx, http.MethodPost, "/machines", r, &out)
	return out.Machines, err
}

// Return deletes machines; once it returns nil they are gone.
func (c *Cloud) Return(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", wire.Fleet{Machines: names}, nil)
}

// List reads all machines.
func (c *Cloud) List(ctx context.Context) ([]wire.Listed, error) {
	var out []wire.Listed
	after := ""
	for {
		var page wire.List
		q := url.Values{"page": {"500"}}
		if after != "" {
			q.Set("after", after)
		}
		if err := c.call(ctx, http.MethodGet, "/machines?"+q.Encode(), nil, &page); err != nil {
			return nil, err
		}
		out = append(out, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return out, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
