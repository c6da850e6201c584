package api

import (
	"errors"
	"net/http"
	"strconv"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Errors of status requests. Users receive the text of errNoSuchJob; for the other errors they receive the text of
// errStoreUnavailable.
var (
	errNoSuchJob = errors.New("no such job")
	// errStateUndecided is returned while a job may be about to be cancelled because a job that it depends on was
	// cancelled, or while a cancellation of the job itself can be neither confirmed nor denied. No state of the job
	// may be reported until its own record settles it; in particular, it must not be reported as pending.
	errStateUndecided = errors.New("the outcome of a dependency is undecided")
	// errOwnedByOtherCell is returned for a job that was offloaded from another cell: only that cell answers users.
	errOwnedByOtherCell = errors.New("another cell answers for the job")
)

// invalidRequestError reports a request that can't be decoded.
type invalidRequestError struct {
	Err error
}

// Error returns the decoder's message, which is sent to the client.
func (e *invalidRequestError) Error() string { return e.Err.Error() }

// Unwrap returns the decoder's error.
func (e *invalidRequestError) Unwrap() error { return e.Err }

// rejectedError reports a submission that is refused. Unlike after an unavailableError, the client is not asked to
// retry it.
type rejectedError struct {
	Reason string
}

// Error returns the reason, which is sent to the user.
func (e *rejectedError) Error() string { return e.Reason }

// unavailableError reports a request that can't be answered now; the client is asked to retry it.
type unavailableError struct {
	Reason string
}

// Error returns the reason, which is sent to the client.
func (e *unavailableError) Error() string { return e.Reason }

// Reasons for which a request can't be answered now.
var (
	errBusy                 = &unavailableError{Reason: "busy"}
	errStoreUnavailable     = &unavailableError{Reason: "state service away"}
	errStateStale           = &unavailableError{Reason: "no view of the state service"}
	errMachineTypesUnknown  = &unavailableError{Reason: "machine types not known yet"}
	errDependenciesInactive = &unavailableError{Reason: "not all nodes know of awaited jobs yet"}
	errRetryLimitsInactive  = &unavailableError{Reason: "not all nodes count repeats yet"}
	errOwnersUnsettled      = &unavailableError{Reason: "work is changing hands between nodes"}
	errTasksStopping        = &unavailableError{Reason: "its tasks are being stopped"}
)

// writeError answers a request with the status and message of an error.
func writeError(w http.ResponseWriter, err error) {
	var (
		invalid     *invalidRequestError
		rejected    *rejectedError
		unavailable *unavailableError
	)
	switch {
	case errors.As(err, &invalid):
		writeMessage(w, http.StatusBadRequest, invalid.Error())
	case errors.Is(err, errNoSuchJob):
		writeMessage(w, http.StatusNotFound, errNoSuchJob.Error())
	case errors.As(err, &rejected):
		writeMessage(w, http.StatusUnprocessableEntity, rejected.Reason)
	case errors.As(err, &unavailable):
		writeUnavailable(w, unavailable)
	default:
		writeUnavailable(w, errStoreUnavailable)
	}
}

func writeUnavailable(w http.ResponseWriter, err *unavailableError) {
	w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterSeconds))
	writeMessage(w, http.StatusServiceUnavailable, err.Reason)
}

func writeMessage(w http.ResponseWriter, status int, message string) {
	wire.WriteResponse(w, status, wire.ErrorResponse{Message: message})
}
