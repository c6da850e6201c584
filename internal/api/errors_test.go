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
		{errDependencyUndecided, http.StatusServiceUnavailable, "state service away"},
	} {
		recorder := httptest.NewRecorder()
		writeError(recorder, c.err)
		var answer wire.ErrorResponse
		if err := wire.Decode(recorder.Body.Bytes(), &answer); err != nil {
			t.Fatal(err)
		}
		if recorder.Code != c.status || answer.Message != c.message {
			t.Errorf("%v: %d %q, want %d %q", c.err, recorder.Code, answer.Message, c.status, c.message)
		}
		mayRepeat := recorder.Header().Get("Retry-After") != ""
		if mayRepeat != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%v: Retry-After %t", c.err, mayRepeat)
		}
	}
}
