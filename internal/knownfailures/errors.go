package knownfailures

import (
	"errors"
	"fmt"
)

// What can be wrong with a line of the list.
var (
	ErrMalformedLine = errors.New("not \"./package TestName/subtest, `command`, seed N, what was seen, #issue\"")
	ErrNoCommand     = errors.New("no command in backquotes that plays a test of the package")
	ErrNoSeed        = errors.New(`no "seed N" or "seed none" after the command`)
	ErrNoIssue       = errors.New("no #issue at the end")
	ErrDuplicateTest = errors.New("test listed twice, or with a test that it is part of")
)

// What can be wrong with a run apart: it shows something else than the known failure.
var (
	ErrNotRun  = errors.New("there is no such test: nothing was run")
	ErrCrashed = errors.New("the run crashed or timed out")
	ErrBroken  = errors.New("the run failed, this test did not: a package that does not build, or another test")
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

// RunError is a run apart that shows something else than the known failure.
type RunError struct {
	Test Test
	Err  error // one of the errors above
}

// Error names the test and what is wrong.
func (e *RunError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Test.Package, e.Test.Name, e.Err)
}

// Unwrap gives what is wrong.
func (e *RunError) Unwrap() error { return e.Err }
