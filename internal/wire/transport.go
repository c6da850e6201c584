package wire

import (
	"net"
	"net/http"
	"time"

	"sableusher/internal/tuning"
)

// NewTransport carries requests to one kind of outside system: dialling is
// bounded, and so are the connections kept for each host and for all.
func NewTransport(dialTimeout time.Duration, maxIdlePerHost, maxIdle int) http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}
