package knownfailures

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"sableusher/internal/tuning"
)

// Test is one line of the list: a test of a package, why it fails, and the issue that mends it.
type Test struct {
	Package string // as go test takes it, such as ./internal/scheduler
	Name    string
	Cause   string
	Issue   string // such as #12
}

// linePattern is "./internal/scheduler TestName, cause, #12"; the cause may hold commas.
var linePattern = regexp.MustCompile(`^(\./[a-z0-9/]+) (Test[A-Za-z0-9_]+), (\S.*\S), (#[0-9]+)$`)

// Read reads the list. Empty lines are skipped; any other line that is no test's, a test that is listed
// twice and a line too many give a LineError.
func Read(list io.Reader) ([]Test, error) {
	var tests []Test
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		test, err := parseLine(text, tests)
		if err != nil {
			return nil, &LineError{number, text, err}
		}
		tests = append(tests, test)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return tests, nil
}

// parseLine parses a line that follows those of other tests.
func parseLine(text string, before []Test) (Test, error) {
	fields := linePattern.FindStringSubmatch(text)
	if fields == nil {
		return Test{}, ErrMalformedLine
	}
	test := Test{Package: fields[1], Name: fields[2], Cause: fields[3], Issue: fields[4]}
	// Also in two packages: what is skipped is named without its package.
	if slices.ContainsFunc(before, func(other Test) bool { return other.Name == test.Name }) {
		return Test{}, ErrDuplicateTest
	}
	if len(before) == tuning.KnownFailuresMax {
		return Test{}, ErrTooManyTests
	}
	return test, nil
}

// SkipPattern is the pattern for go test -skip that skips the tests; empty if there are none.
func SkipPattern(tests []Test) string {
	if len(tests) == 0 {
		return ""
	}
	names := make([]string, len(tests))
	for i, test := range tests {
		names[i] = test.Name
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// CheckExist holds the list against what there is: names of tests by package, as go test -list prints them.
// A test that does not exist in its package, or that exists in another one as well, gives a LocationError.
func CheckExist(tests []Test, namesByPackage map[string][]string) error {
	for _, test := range tests {
		var packages []string
		for pkg, names := range namesByPackage {
			if slices.Contains(names, test.Name) {
				packages = append(packages, pkg)
			}
		}
		if len(packages) != 1 || packages[0] != test.Package {
			return &LocationError{test, packages}
		}
	}
	return nil
}
