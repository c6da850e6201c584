package simulation

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// Headers by which the network and the fakes know more of a message than its receiver.
const (
	sourceHeader       = "Simulation-Source"        // the host that sent a request
	responseLostHeader = "Simulation-Response-Lost" // the answer never arrives
)

// hangPollInterval is how often a request to a host that hangs looks whether it goes on.
const hangPollInterval = 100 * time.Millisecond

// loseResponse lets the answer never arrive: its sender waits until it gives up.
func loseResponse(w http.ResponseWriter) { w.Header().Set(responseLostHeader, "1") }

func alwaysAlive() bool { return true }

// hostTransport is one host's way into the network.
type hostTransport struct {
	network *FakeNetwork
	source  string
	alive   func() bool
}

// Transport gives a host's way into the network; alive tells whether the process that uses it still runs.
func (n *FakeNetwork) Transport(host string, alive func() bool) http.RoundTripper {
	return hostTransport{n, host, alive}
}

// exchangeResult is what became of a request.
type exchangeResult struct {
	recorder *httptest.ResponseRecorder
	err      error
}

// RoundTrip carries one request. It may be executed though its sender has given up: its goroutine then ends
// by itself, at the latest when the host at its address changes.
func (t hostTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	if !t.alive() {
		return nil, errConnectionReset
	}
	host := t.network.host(request.URL.Host)
	if host == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errConnectionRefused}
	}
	results := make(chan exchangeResult, 1)
	go t.exchange(request, body, host, results)
	ctx := request.Context()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-results:
		if result.err != nil {
			return nil, result.err
		}
		if !t.alive() {
			return nil, errConnectionReset
		}
		return result.recorder.Result(), nil
	}
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	body, err := io.ReadAll(request.Body)
	if closeErr := request.Body.Close(); err == nil {
		err = closeErr
	}
	return body, err
}

// exchange carries a request to a host and the answer back. It gives no result if nothing ever arrives.
func (t hostTransport) exchange(request *http.Request, body []byte, host *Host, results chan<- exchangeResult) {
	address := request.URL.Host
	if !t.network.transmit(t.source, host.Name) {
		results <- exchangeResult{err: errConnectionReset}
		return
	}
	for !host.Responsive() {
		time.Sleep(hangPollInterval)
		if t.network.host(address) != host {
			return
		}
	}
	recorder := t.serve(request, body, host)
	if recorder.Header().Get(responseLostHeader) != "" {
		return
	}
	// A process that ended before it could answer has reset its connections.
	if t.network.host(address) != host || !t.network.transmit(t.source, host.Name) {
		results <- exchangeResult{err: errConnectionReset}
		return
	}
	results <- exchangeResult{recorder: recorder}
}

// serve lets a host's handler execute a request. Only a watch ends with the context of its sender.
func (t hostTransport) serve(request *http.Request, body []byte, host *Host) *httptest.ResponseRecorder {
	ctx := request.Context()
	if request.URL.Path != pathWatch {
		ctx = context.WithoutCancel(ctx)
	}
	received := httptest.NewRequestWithContext(ctx, request.Method, request.URL.RequestURI(), bytes.NewReader(body))
	received.Header.Set(sourceHeader, t.source)
	recorder := httptest.NewRecorder()
	host.Handler.ServeHTTP(recorder, received)
	return recorder
}
