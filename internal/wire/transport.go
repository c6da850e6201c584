package wire

import (
	"net"
	"net/http"
	"time"

	"sableusher/internal/tuning"
)

// Transport carries requests to one kind of outside system: dialling is
// bounded, and so are the connections kept for each host and for all.
func Transport(dial time.Duration, kept, all int) http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: kept,
		MaxIdleConns:        all,
		IdleConnTimeout:     tuning.IdleTimeout,
		DisableCompression:  true,
	}
}
