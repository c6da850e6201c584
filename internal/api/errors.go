package api

import (
	"errors"
	"net/http"
	"strconv"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Errors of a question about a job. Users receive the text of errNoSuchJob, and that of
// errStoreUnavailable for the others.
var (
	errNoSuchJob = errors.New("no such job")
	// errDependencyUndecided: the job is cancelled with one that it depends on, or may be; until its
	// own record says so it must not be called pending.
	errDependencyUndecided = errors.New("the outcome of a dependency is undecided")
	// errOwnedByOtherCell: the job was offloaded from another cell, which alone answers its user.
	errOwnedByOtherCell = errors.New("another cell answers for the job")
)

// invalidRequestError is a request that can't be decoded.
type invalidRequestError struct {
	Err error
}

// Error gives the fault of form.
func (e *invalidRequestError) Error() string { return e.Err.Error() }

// Unwrap gives the decoder's error.
func (e *invalidRequestError) Unwrap() error { return e.Err }

// rejectedError is a job that can't be accepted, now or later.
type rejectedError struct {
	Reason string
}

// Error gives the reason, which is sent to the user.
func (e *rejectedError) Error() string { return e.Reason }

// unavailableError is a request that can't be answered now; the client is asked to repeat it.
type unavailableError struct {
	Reason string
}

// Error gives the reason, which is sent to the client.
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
