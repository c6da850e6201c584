package kvstore

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable reports a request that was certainly not executed.
	ErrUnavailable = errors.New("key-value store unavailable")
	// ErrOutcomeUnknown reports a request without an answer: it may have been
	// executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrConditionFailed reports a transaction of which a condition did not hold;
	// nothing was changed.
	ErrConditionFailed = errors.New("condition failed")
	// ErrNotFound reports a key or a lease that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrCompacted reports a watch from a revision that the store no longer keeps.
	ErrCompacted = errors.New("revision compacted")
	// ErrRejected reports an answer with any other status: the request is malformed
	// or names an expired lease, and is taken for not executed. Errors that match it
	// are of type *RejectedError.
	ErrRejected = errors.New("request rejected")
)

// RejectedError is an answer whose status the operation has no meaning for. It
// matches ErrRejected.
type RejectedError struct {
	Operation string
	Status    int // of HTTP
}

// Error names the operation and the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%v: %s: status %d", ErrRejected, e.Operation, e.Status)
}

// Unwrap gives ErrRejected.
func (e *RejectedError) Unwrap() error { return ErrRejected }
