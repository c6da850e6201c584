package knownfailures

import (
	"regexp"
	"strings"
)

// Outcome is the outcome of the separate run of a listed test.
type Outcome int

// The outcomes of a listed test.
const (
	Fails     Outcome = iota // fails as listed
	PassesNow                // no longer fails
)

// String returns the outcome as CI prints it.
func (o Outcome) String() string {
	return [...]string{"fails", "passes now: remove it from the list"}[o]
}

// crashPattern matches the output of a test binary that crashed. A timeout is reported as a panic.
var crashPattern = regexp.MustCompile(`(?m)^(panic: |fatal error: )`)

// OutcomeOf determines the outcome of a listed test from the output of go test -v and from whether go test succeeded.
// It returns a RunError if the run does not show whether the known failure persists: the test was not run, the test
// binary crashed or timed out, or something other than the test failed.
func OutcomeOf(test Test, output string, succeeded bool) (Outcome, error) {
	crashed := crashPattern.MatchString(output)
	switch {
	case !succeeded && crashed:
		return Fails, &RunError{test, ErrCrashed}
	case succeeded && !reports(output, "=== RUN", test.Name):
		return Fails, &RunError{test, ErrNotRun}
	case succeeded:
		return PassesNow, nil
	case !reports(output, "--- FAIL:", test.Name):
		return Fails, &RunError{test, ErrOtherFailure}
	}
	return Fails, nil
}

// reports reports whether a line of the output of go test contains an event, such as "--- FAIL:", of the named test.
func reports(output, event, name string) bool {
	for line := range strings.Lines(output) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), event+" ")
		if found && len(strings.Fields(rest)) > 0 && strings.Fields(rest)[0] == name {
			return true
		}
	}
	return false
}
