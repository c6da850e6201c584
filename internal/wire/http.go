package wire

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sableusher/internal/tuning"
)

// ContentType is the media type of every body of the protocol.
const ContentType = "application/cbor"

// ReadBody reads a body of at most limit bytes; a longer one is a BodyTooLargeError.
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

// WriteResponse writes an encoded value with an HTTP status. A nil value writes no body; a value
// that can't be encoded becomes an internal server error.
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
	_, _ = w.Write(body) // the client may be gone: there is nobody to report an error to
}

// NewTransport makes the transport of requests to one kind of counterpart. dialTimeout bounds
// dialling, maxIdlePerHost and maxIdle the idle connections that are kept for one host and for all.
func NewTransport(dialTimeout time.Duration, maxIdlePerHost, maxIdle int) http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     tuning.HTTPIdleTimeout,
		DisableCompression:  true,
	}
}
