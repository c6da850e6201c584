package knownfailures

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Test is one line of the list. It identifies a test or subtest and describes its failure.
type Test struct {
	Package string // package pattern for go test, such as ./internal/scheduler
	Name    string // test function and subtest, such as TestDays/4
	Command string // command that reproduces the failure
	Seed    string // decimal number, or "none" if the test has no seed
	Symptom string // how the test failed
	Issue   string // issue that tracks the fault, such as #12
}

// topLevel returns the name of the test function.
func (t *Test) topLevel() string {
	name, _, _ := strings.Cut(t.Name, "/")
	return name
}

// covers reports whether other is the same test or a subtest of it.
func (t *Test) covers(other *Test) bool {
	return t.Name == other.Name || strings.HasPrefix(other.Name, t.Name+"/")
}

// Pattern returns the pattern for go test -run and -skip that matches only this test.
func (t *Test) Pattern() string {
	parts := strings.Split(t.Name, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// Parts of a line, in order; each pattern captures the rest of the line for the next one. The name of a test and the
// description of the failure may contain commas.
var (
	testPattern    = regexp.MustCompile(`^(\./[a-z0-9/]+) (Test[A-Za-z0-9_]+(?:/\S+)?), (.*)$`)
	commandPattern = regexp.MustCompile("^`([^`]*(?:go test|scripts/play) [^`]*)`, (.*)$")
	seedPattern    = regexp.MustCompile(`^seed (none|[0-9]+), (.*)$`)
	symptomPattern = regexp.MustCompile(`^(\S.*\S|\S), (#[0-9]+)$`)
)

// Read parses the list and skips empty lines. It returns a LineError for the first line that is malformed or that
// lists a test again.
func Read(list io.Reader) ([]Test, error) {
	var tests []Test
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		test, err := parseLine(text)
		if err == nil && slices.ContainsFunc(tests, func(other Test) bool {
			return other.covers(&test) || test.covers(&other)
		}) {
			err = ErrDuplicateTest
		}
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

func parseLine(text string) (Test, error) {
	head := testPattern.FindStringSubmatch(text)
	if head == nil {
		return Test{}, ErrMalformedLine
	}
	command := commandPattern.FindStringSubmatch(head[3])
	if command == nil || !slices.Contains(strings.Fields(command[1]), head[1]) {
		return Test{}, ErrNoCommand
	}
	seed := seedPattern.FindStringSubmatch(command[2])
	if seed == nil {
		return Test{}, ErrNoSeed
	}
	symptom := symptomPattern.FindStringSubmatch(seed[2])
	if symptom == nil {
		return Test{}, ErrNoIssue
	}
	return Test{
		Package: head[1], Name: head[2], Command: command[1], Seed: seed[1], Symptom: symptom[1], Issue: symptom[2],
	}, nil
}

// SkipPattern returns the pattern for go test -skip that skips only the given tests. It is empty if there are none. The
// pattern can't name packages, so only one package may have a test function of that name; CheckExist verifies this.
func SkipPattern(tests []Test) string {
	patterns := make([]string, len(tests))
	for i := range tests {
		patterns[i] = tests[i].Pattern()
	}
	return strings.Join(patterns, "|")
}

// CheckExist checks that the function of each listed test exists in the test's package and in no other one, and returns
// a LocationError otherwise. namesByPackage holds the names of test functions as go test -list prints them. A missing
// subtest is detected only when the test is run; see OutcomeOf.
func CheckExist(tests []Test, namesByPackage map[string][]string) error {
	for i := range tests {
		var packages []string
		for pkg, names := range namesByPackage {
			if slices.Contains(names, tests[i].topLevel()) {
				packages = append(packages, pkg)
			}
		}
		if len(packages) != 1 || packages[0] != tests[i].Package {
			return &LocationError{tests[i], packages}
		}
	}
	return nil
}
