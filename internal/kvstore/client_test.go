package kvstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"sableusher/internal/wire"
)

// failingTransport is an http.RoundTripper that fails every request with err.
type failingTransport struct{ err error }

func (f failingTransport) RoundTrip(*http.Request) (*http.Response, error) { return nil, f.err }

// operations are calls of the client's methods, by the operation's name in a RejectedError.
var operations = map[string]func(context.Context, *Client) error{
	"get": func(ctx context.Context, c *Client) error {
		_, err := c.Get(ctx, "s/a")
		return err
	},
	"list": func(ctx context.Context, c *Client) error {
		_, err := c.List(ctx, cachedPrefix, "")
		return err
	},
	"watch": func(ctx context.Context, c *Client) error {
		_, err := c.Watch(ctx, WatchRequest{Prefix: cachedPrefix})
		return err
	},
	"transaction": func(ctx context.Context, c *Client) error {
		_, err := c.ExecuteTransaction(ctx, wire.TxnRequest{}, OrdinaryRequest)
		return err
	},
	"grant lease": func(ctx context.Context, c *Client) error {
		_, err := c.GrantLease(ctx, 0)
		return err
	},
	"renew lease": func(ctx context.Context, c *Client) error { return c.RenewLease(ctx, 1) },
}

// TestErrorsDistinguishNotExecutedFromUnknown checks the error of each operation
// for each kind of failure. A refused connection, a 429 and a 503 prove that the
// request was not executed; a response that is lost or can't be decoded proves
// nothing. Other statuses have a meaning only for the operations that define it.
func TestErrorsDistinguishNotExecutedFromUnknown(t *testing.T) {
	dialError := &net.OpError{Op: "dial", Err: errors.New("refused")}
	readError := &net.OpError{Op: "read", Err: errors.New("reset")}
	for name, c := range map[string]struct {
		transport http.RoundTripper
		want      error
		except    map[string]error // errors of the operations for which the failure has another meaning
	}{
		"connection refused": {failingTransport{dialError}, ErrUnavailable, nil},
		"connection reset":   {failingTransport{readError}, ErrOutcomeUnknown, nil},
		"timeout":            {failingTransport{context.DeadlineExceeded}, ErrOutcomeUnknown, nil},
		"too many requests":  {statusTransport(http.StatusTooManyRequests), ErrUnavailable, nil},
		"unavailable":        {statusTransport(http.StatusServiceUnavailable), ErrUnavailable, nil},
		"bad request":        {statusTransport(http.StatusBadRequest), ErrRejected, nil},
		"garbage":            {statusTransport(http.StatusOK), ErrOutcomeUnknown, map[string]error{"renew lease": nil}},
		"not found": {statusTransport(http.StatusNotFound), ErrRejected,
			map[string]error{"get": ErrNotFound, "renew lease": ErrNotFound}},
		"gone": {statusTransport(http.StatusGone), ErrRejected, map[string]error{"watch": ErrCompacted}},
		"conflict without a body": {statusTransport(http.StatusConflict), ErrRejected,
			map[string]error{"transaction": ErrOutcomeUnknown}},
	} {
		for operation, do := range operations {
			t.Run(name+" to "+operation, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					want := c.want
					if exception, ok := c.except[operation]; ok {
						want = exception
					}
					err := do(t.Context(), NewClient(testAddress, minimalLimits, c.transport))
					if !errors.Is(err, want) {
						t.Errorf("error %v, want %v", err, want)
					}
					var rejected *RejectedError
					if isRejected := errors.As(err, &rejected); isRejected != errors.Is(want, ErrRejected) {
						t.Errorf("error %v is a RejectedError: %v", err, isRejected)
					} else if isRejected && rejected.Operation != operation {
						t.Errorf("the error names the wrong operation %q", rejected.Operation)
					}
				})
			})
		}
	}
}
