package cloud

import (
	"errors"
	"fmt"
)

var (
	// ErrNoCapacity is returned if the cloud has none of the requested machines available at the
	// moment. Nothing was rented.
	ErrNoCapacity = errors.New("no capacity")
	// ErrMalformedRequest is returned if the cloud refuses the request as malformed. The request was
	// not executed, and a retry would be refused too.
	ErrMalformedRequest = errors.New("malformed request")
	// ErrUnavailable is returned if there was no response from the cloud, or one with an unexpected
	// status. The request may have been executed nevertheless.
	ErrUnavailable = errors.New("cloud unavailable")
)

// StatusError is a response with an unexpected HTTP status. It wraps ErrUnavailable.
type StatusError struct {
	Method string
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%v: %s %s: status %d", ErrUnavailable, e.Method, e.Path, e.Status)
}

// Unwrap returns ErrUnavailable.
func (e *StatusError) Unwrap() error { return ErrUnavailable }
