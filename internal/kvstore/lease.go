package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// GrantLease requests a new lease and returns its ID. The store deletes the keys
// attached to the lease when it expires.
func (c *Client) GrantLease(ctx context.Context, timeToLive time.Duration) (uint64, error) {
	if err := c.waitForRequestBudget(ctx, UrgentRequest); err != nil {
		return 0, err
	}
	var granted wire.LeaseResponse
	reply, err := c.roundTrip(ctx, request{
		method: http.MethodPost, path: "/holds", timeout: tuning.KVRequestTimeout,
		body: wire.LeaseRequest{TTLMs: timeToLive.Milliseconds()},
	}, &granted)
	if err == nil {
		err = reply.rejection("grant lease")
	}
	return granted.LeaseID, err
}

// RenewLease renews a lease for its time to live. It returns ErrNotFound if the
// lease has expired.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	if err := c.waitForRequestBudget(ctx, UrgentRequest); err != nil {
		return err
	}
	reply, err := c.roundTrip(ctx, request{
		method: http.MethodPost, path: fmt.Sprintf("/holds/%d/touch", leaseID), timeout: tuning.KVRequestTimeout,
	}, nil)
	switch {
	case err != nil:
		return err
	case reply.status == http.StatusNotFound:
		return ErrNotFound
	}
	return reply.rejection("renew lease")
}

// RevokeLease ends a lease and deletes the keys attached to it. It is not subject
// to the request budget, and revoking an expired lease is not an error.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	_, err := c.roundTrip(ctx, request{
		method: http.MethodDelete, path: fmt.Sprintf("/holds/%d", leaseID), timeout: tuning.KVRequestTimeout,
	}, nil)
	return err
}
