package knownfailures

import (
	"regexp"
	"strings"
)

// Outcome is what came of a listed test that was run apart.
type Outcome int

// Outcomes of a run apart.
const (
	Fails Outcome = iota
	PassesNow
)

// String says the outcome in CI's output.
func (o Outcome) String() string {
	return [...]string{"fails", "passes now: take it off the list"}[o]
}

// crashPattern matches what go test prints of a program that did not end by itself; a time-out is a panic.
var crashPattern = regexp.MustCompile(`(?m)^(panic: |fatal error: )`)

// Judge gives the outcome of a listed test from the output of go test -v and whether it succeeded. A run that did not
// run the test, crashed, timed out or failed in another way gives a RunError: it says nothing of the known failure.
func Judge(test Test, output string, succeeded bool) (Outcome, error) {
	crashed := crashPattern.MatchString(output)
	switch {
	case !succeeded && crashed:
		return Fails, &RunError{test, ErrCrashed}
	case succeeded && !reports(output, "=== RUN", test.Name):
		return Fails, &RunError{test, ErrNotRun}
	case succeeded:
		return PassesNow, nil
	case !reports(output, "--- FAIL:", test.Name):
		return Fails, &RunError{test, ErrBroken}
	}
	return Fails, nil
}

// reports tells whether a line of go test's output says an event of a test.
func reports(output, event, name string) bool {
	for line := range strings.Lines(output) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), event+" ")
		if found && len(strings.Fields(rest)) > 0 && strings.Fields(rest)[0] == name {
			return true
		}
	}
	return false
}
