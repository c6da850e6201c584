package knownfailures

import (
	"errors"
	"fmt"
)

// Faults of a line of the list; LineError wraps them.
var (
	ErrMalformedLine = errors.New("not \"./package TestName/subtest, `command`, seed N, what was seen, #issue\"")
	ErrNoCommand     = errors.New("no command in backquotes that runs a test of the package")
	ErrNoSeed        = errors.New(`no "seed N" or "seed none" after the command`)
	ErrNoIssue       = errors.New("no #issue at the end")
	ErrDuplicateTest = errors.New("test listed twice, or listed together with its parent test")
)

// Reasons why the separate run of a listed test does not show the known failure; RunError wraps them.
var (
	ErrNotRun       = errors.New("no such test: go test ran nothing")
	ErrCrashed      = errors.New("the test binary crashed or timed out")
	ErrOtherFailure = errors.New(
		"go test failed for a reason other than this test, such as a build error or another test")
)

// LineError is returned for an invalid line of the list.
type LineError struct {
	Line int // line number, from 1
	Text string
	Err  error // one of the errors above, such as ErrMalformedLine
}

// Error names the line and its fault.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %q: %v", e.Line, e.Text, e.Err) }

// Unwrap returns the fault.
func (e *LineError) Unwrap() error { return e.Err }

// LocationError is returned for a listed test whose function does not exist in its package, or exists in others too.
type LocationError struct {
	Test     Test
	Packages []string // packages that have the test function
}

// Error names the test, its package and the packages that have the test function.
func (e *LocationError) Error() string {
	return fmt.Sprintf("%s exists in %v, want only %s", e.Test.Name, e.Packages, e.Test.Package)
}

// RunError is returned for the separate run of a listed test that does not show the known failure.
type RunError struct {
	Test Test
	Err  error // ErrNotRun, ErrCrashed or ErrBroken
}

// Error names the test and the reason.
func (e *RunError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Test.Package, e.Test.Name, e.Err)
}

// Unwrap returns the reason.
func (e *RunError) Unwrap() error { return e.Err }
