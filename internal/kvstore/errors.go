package kvstore

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable is returned for a request that was certainly not executed.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrOutcomeUnknown is returned for a request without a usable response: it
	// may have been executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrConditionFailed is returned for a transaction with a condition that did
	// not hold; nothing was changed.
	ErrConditionFailed = errors.New("condition failed")
	// ErrNotFound is returned for a key or a lease that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted is returned for a watch from a revision that the store has compacted.
	ErrCompacted = errors.New("revision compacted")
	// ErrRejected is returned for a response with any other status than expected,
	// for example because the request is malformed or names an expired lease. The
	// request counts as not executed. Errors that match ErrRejected are of type
	// *RejectedError.
	ErrRejected = errors.New("request rejected")
)

// RejectedError is a response with a status that has no defined meaning for the
// operation. It wraps ErrRejected.
type RejectedError struct {
	Operation string
	Status    int // HTTP status code
}

// Error returns a text with the operation and the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%v: %s: status %d", ErrRejected, e.Operation, e.Status)
}

// Unwrap returns ErrRejected.
func (e *RejectedError) Unwrap() error { return ErrRejected }
