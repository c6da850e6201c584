package cloud

import (
	"errors"
	"fmt"
)

var (
	// ErrNoCapacity says that the cloud has none of the machines asked for just now. Nothing was
	// rented.
	ErrNoCapacity = errors.New("no capacity")
	// ErrMalformedRequest says that the cloud will never accept the request. Nothing was done.
	ErrMalformedRequest = errors.New("malformed request")
	// ErrUnavailable says that the cloud gave no usable answer. The request may have been carried
	// out all the same.
	ErrUnavailable = errors.New("cloud unavailable")
)

// StatusError is an answer with an unexpected HTTP status. It is an ErrUnavailable.
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
