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

// InvalidRequestError is a request that can't be decoded.
type InvalidRequestError struct {
	Err error
}

// Error gives the fault of form.
func (e *InvalidRequestError) Error() string { return e.Err.Error() }

// Unwrap gives the decoder's error.
func (e *InvalidRequestError) Unwrap() error { return e.Err }

// RejectedError is a job that can't be accepted, now or later.
type RejectedError struct {
	Reason string
}

// Error gives the reason, which is sent to the user.
func (e *RejectedError) Error() string { return e.Reason }

// UnavailableError is a request that can't be answered now; the client is asked to repeat it.
type UnavailableError struct {
	Reason string
}

// Error gives the reason, which is sent to the client.
func (e *UnavailableError) Error() string { return e.Reason }

// Reasons for which a request can't be answered now.
var (
	errBusy                 = &UnavailableError{Reason: "busy"}
	errStoreUnavailable     = &UnavailableError{Reason: "state service away"}
	errStateStale           = &UnavailableError{Reason: "no view of the state service"}
	errMachineTypesUnknown  = &UnavailableError{Reason: "machine types not known yet"}
	errDependenciesInactive = &UnavailableError{Reason: "not all nodes know of awaited jobs yet"}
	errRetryLimitsInactive  = &UnavailableError{Reason: "not all nodes count repeats yet"}
	errTasksStopping        = &UnavailableError{Reason: "its tasks are being stopped"}
)

// writeError answers a request with the status and message of an error.
func writeError(w http.ResponseWriter, err error) {
	var (
		invalid     *InvalidRequestError
		rejected    *RejectedError
		unavailable *UnavailableError
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

func writeUnavailable(w http.ResponseWriter, err *UnavailableError) {
	w.Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
	writeMessage(w, http.StatusServiceUnavailable, err.Reason)
}

func writeMessage(w http.ResponseWriter, status int, message string) {
	wire.WriteResponse(w, status, wire.ErrorResponse{Message: message})
}
