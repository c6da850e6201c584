package cloud

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"

	"sableusher/internal/wire"
)

// fakeTransport is an http.RoundTripper that answers requests without a network.
type fakeTransport func(*http.Request) (*http.Response, error)

func (f fakeTransport) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

func newResponse(status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}
}

func newTestClient(transport fakeTransport) *Client {
	return New(Options{Address: "cloud:1", RequestsPerSecond: 1e6, NodeCount: 1, Transport: transport})
}

// TestResponsesMapToErrors checks that each kind of response is returned as exactly one of the errors, since
// the errors differ in whether the request may have been executed.
func TestResponsesMapToErrors(t *testing.T) {
	noCapacity := wire.MustEncode(wire.ErrorResponse{Message: noCapacityMessage})
	busy := wire.MustEncode(wire.ErrorResponse{Message: "busy"})
	for name, c := range map[string]struct {
		status int
		body   []byte
		err    error
		want   error
	}{
		"no capacity": {status: http.StatusServiceUnavailable, body: noCapacity, want: ErrNoCapacity},
		"busy":        {status: http.StatusServiceUnavailable, body: busy, want: ErrUnavailable},
		"malformed":   {status: http.StatusBadRequest, want: ErrMalformedRequest},
		"failure":     {status: http.StatusInternalServerError, want: ErrUnavailable},
		"no response": {err: io.ErrUnexpectedEOF, want: ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(func(*http.Request) (*http.Response, error) {
				if c.err != nil {
					return nil, c.err
				}
				return newResponse(c.status, c.body), nil
			})
			machines, err := client.Rent(t.Context(), wire.RentalRequest{Name: "r", Count: 1})
			if !errors.Is(err, c.want) || len(machines) > 0 {
				t.Errorf("error %v with machines %v, want error %v and no machines", err, machines, c.want)
			}
			for _, other := range []error{ErrNoCapacity, ErrUnavailable, ErrMalformedRequest} {
				if !errors.Is(other, c.want) && errors.Is(err, other) {
					t.Errorf("error %v also matches %v", err, other)
				}
			}
		})
	}
}

// TestListFollowsPages checks that List reads page by page until there are no more.
func TestListFollowsPages(t *testing.T) {
	pages := map[string]wire.MachinePage{
		"":  {Machines: []wire.CloudMachine{{ID: "a"}, {ID: "b"}}, HasMore: true},
		"b": {Machines: []wire.CloudMachine{{ID: "c"}}},
	}
	client := newTestClient(func(req *http.Request) (*http.Response, error) {
		return newResponse(http.StatusOK, wire.MustEncode(pages[req.URL.Query().Get("after")])), nil
	})
	machines, err := client.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, machine := range machines {
		names = append(names, machine.ID)
	}
	if want := []string{"a", "b", "c"}; !slices.Equal(names, want) {
		t.Errorf("machines %v, want %v", names, want)
	}
}
