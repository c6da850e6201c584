package knownfailures

import (
	"errors"
	"fmt"
)

// What can be wrong with a line of the list.
var (
	ErrMalformedLine = errors.New(`not "./package TestName, cause, #issue"`)
	ErrDuplicateTest = errors.New("test listed twice")
	ErrTooManyTests  = errors.New("too many tests listed")
)

// LineError is a fault of one line of the list.
type LineError struct {
	Line int // from 1
	Text string
	Err  error // one of the errors above
}

// Error names the line and its fault.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %q: %v", e.Line, e.Text, e.Err) }

// Unwrap gives the fault.
func (e *LineError) Unwrap() error { return e.Err }

// LocationError is a listed test that does not exist just in its package.
type LocationError struct {
	Test     Test
	Packages []string // where it exists
}

// Error names the test, its package and where it exists.
func (e *LocationError) Error() string {
	return fmt.Sprintf("%s exists in %v, not just in %s", e.Test.Name, e.Packages, e.Test.Package)
}
