package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// TestHeartbeats: a valid heartbeat is passed to the agent registry. A heartbeat that can't be decoded, or that names
// no machine or no session, is answered with 400.
func TestHeartbeats(t *testing.T) {
	for name, c := range map[string]struct {
		body []byte
		want int
	}{
		"complete":   {wire.MustEncode(wire.Heartbeat{Machine: "vm-1", Session: 1}), http.StatusOK},
		"no machine": {wire.MustEncode(wire.Heartbeat{Session: 1}), http.StatusBadRequest},
		"no session": {wire.MustEncode(wire.Heartbeat{Machine: "vm-1"}), http.StatusBadRequest},
		"not cbor":   {[]byte("{}"), http.StatusBadRequest},
		"too large":  {make([]byte, tuning.HTTPBodyMaxBytes+1), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			if status, _ := newTestServer().send(http.MethodPost, "/agent/beat", c.body); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
		})
	}
}

// TestConcurrencyLimit: requests beyond the limit are rejected at once; requests are served again when a slot is free.
func TestConcurrencyLimit(t *testing.T) {
	server := &Server{requestSlots: make(chan struct{}, 1)}
	status := func() int {
		recorder := httptest.NewRecorder()
		served := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		server.limitConcurrency(served).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		return recorder.Code
	}
	server.requestSlots <- struct{}{} // simulates another request that is being served
	if got := status(); got != http.StatusServiceUnavailable {
		t.Errorf("status %d beyond the limit", got)
	}
	<-server.requestSlots
	if got := status(); got != http.StatusOK || len(server.requestSlots) != 0 {
		t.Errorf("status %d within the limit, %d slots held afterwards", got, len(server.requestSlots))
	}
}
