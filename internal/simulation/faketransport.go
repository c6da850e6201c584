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

// Headers that the network and the fakes exchange. They are not part of any protocol.
const (
	sourceHeader       = "Simulation-Source"        // the host that sent a request
	responseLostHeader = "Simulation-Response-Lost" // the response never arrives
)

// hangPollInterval is the interval at which a request to a host that hangs checks whether the host is responsive.
const hangPollInterval = 100 * time.Millisecond

// loseResponse marks a response as lost: it never arrives, and the sender of the request waits until it times out.
func loseResponse(w http.ResponseWriter) { w.Header().Set(responseLostHeader, "1") }

func alwaysAlive() bool { return true }

// hostTransport sends the requests of one host over the network.
type hostTransport struct {
	network *FakeNetwork
	source  string
	alive   func() bool
}

// Transport returns the transport of a host. The function alive reports whether the process that uses the transport
// still runs.
func (n *FakeNetwork) Transport(host string, alive func() bool) http.RoundTripper {
	return hostTransport{n, host, alive}
}

// exchangeResult is the result of a request: a response or an error.
type exchangeResult struct {
	recorder *httptest.ResponseRecorder
	err      error
}

// RoundTrip executes one request. If the request's context ends, RoundTrip returns, but the receiver may still execute
// the request. The goroutine that carries it then exits on its own; if the receiver hangs, it exits at the latest when
// the host at that address changes.
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

// exchange sends a request to a host and the response back. It sends no result if the response is lost or the host
// is replaced while it hangs.
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
	// A process that exited before it could respond has reset its connections.
	if t.network.host(address) != host || !t.network.transmit(t.source, host.Name) {
		results <- exchangeResult{err: errConnectionReset}
		return
	}
	results <- exchangeResult{recorder: recorder}
}

// serve executes a request with the host's handler. Only a watch is cancelled with the context of its sender.
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
