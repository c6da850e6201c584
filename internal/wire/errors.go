package wire

import (
	"errors"
	"fmt"
)

// ErrNotAMap is the error of a submission that is not an encoded map.
var ErrNotAMap = errors.New("not a map")

// FieldError says what is wrong with a field of a submission. Its text is part of the answer to
// the user.
type FieldError struct {
	Field   string // as the protocol names it
	Problem string
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// BodyTooLargeError is the error of a body that is longer than its reader accepts.
type BodyTooLargeError struct {
	LimitBytes int64
}

// Error gives the limit in bytes.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("read body: over %d bytes", e.LimitBytes)
}
