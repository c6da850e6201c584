package wire

import (
	"errors"
	"fmt"
)

// ErrNotAMap is returned for a submission that is not an encoded map.
var ErrNotAMap = errors.New("not a map")

// FieldError reports an invalid field of a submission. Its text is part of the response to the user.
type FieldError struct {
	Field   string // name of the field in the protocol
	Problem string
}

// Error returns the name of the field and the problem.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// BodyTooLargeError is returned for a message body that exceeds the size limit of its reader.
type BodyTooLargeError struct {
	LimitBytes int64
}

// Error returns a text with the limit in bytes.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("read body: over %d bytes", e.LimitBytes)
}
