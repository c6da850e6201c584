package api

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"sableusher/internal/wire"
)

// TestWriteError: each kind of error has its status and message; only 503 responses have a Retry-After header.
func TestWriteError(t *testing.T) {
	for _, c := range []struct {
		err     error
		status  int
		message string
	}{
		{&invalidRequestError{Err: errors.New("not a map")}, http.StatusBadRequest, "not a map"},
		{errNoSuchJob, http.StatusNotFound, "no such job"},
		{&rejectedError{Reason: "unknown team"}, http.StatusUnprocessableEntity, "unknown team"},
		{errBusy, http.StatusServiceUnavailable, "busy"},
		{fmt.Errorf("wrapped: %w", errTasksStopping), http.StatusServiceUnavailable, "its tasks are being stopped"},
		{errOwnedByOtherCell, http.StatusServiceUnavailable, "state service away"},
		{errStateUndecided, http.StatusServiceUnavailable, "state service away"},
	} {
		recorder := httptest.NewRecorder()
		writeError(recorder, c.err)
		var response wire.ErrorResponse
		if err := wire.Decode(recorder.Body.Bytes(), &response); err != nil {
			t.Fatal(err)
		}
		if recorder.Code != c.status || response.Message != c.message {
			t.Errorf("%v: status %d, message %q, want %d, %q",
				c.err, recorder.Code, response.Message, c.status, c.message)
		}
		hasRetryAfter := recorder.Header().Get("Retry-After") != ""
		if hasRetryAfter != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%v: Retry-After header present: %t", c.err, hasRetryAfter)
		}
	}
}
