package wire

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sableusher/internal/tuning"
)

// ContentType is the media type of all request and response bodies of the protocol.
const ContentType = "application/cbor"

// ReadBody reads a body of at most limit bytes. For a longer one it returns a BodyTooLargeError.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, &BodyTooLargeError{LimitBytes: limit}
	}
	return body, nil
}

// WriteResponse writes an HTTP response with the status and the encoded value as its body. If value
// is nil, the response has no body. If value can't be encoded, the status is 500 (internal server error).
func WriteResponse(w http.ResponseWriter, status int, value any) {
	if value == nil {
		w.WriteHeader(status)
		return
	}
	body, err := Encode(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // on an error the client has disconnected, so nobody can be informed
}

// NewTransport returns an HTTP transport. dialTimeout bounds the time to establish a connection;
// maxIdlePerHost and maxIdle bound the number of idle connections per host and in total.
func NewTransport(dialTimeout time.Duration, maxIdlePerHost, maxIdle int) http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     tuning.HTTPIdleTimeout,
		DisableCompression:  true,
	}
}
