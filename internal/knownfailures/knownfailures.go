package knownfailures

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Test is one line of the list: a test of a package or a subtest, how to play it, what was seen of its failure, and
// the issue that mends it.
type Test struct {
	Package string // as go test takes it, such as ./internal/scheduler
	Name    string // with its subtest, such as TestDays/4
	Command string // that plays it
	Seed    string // "none": it has none
	Seen    string
	Issue   string // such as #12
}

// topLevel is the test function's name.
func (t *Test) topLevel() string {
	name, _, _ := strings.Cut(t.Name, "/")
	return name
}

// covers tells whether a test is the other one, or the other is a subtest of it.
func (t *Test) covers(other *Test) bool {
	return t.Name == other.Name || strings.HasPrefix(other.Name, t.Name+"/")
}

// Pattern is the pattern for go test -run and -skip that matches the test and no other one.
func (t *Test) Pattern() string {
	parts := strings.Split(t.Name, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// Parts of a line, in their order. The name of a test may hold commas, and so may what was seen.
var (
	testPattern    = regexp.MustCompile(`^(\./[a-z0-9/]+) (Test[A-Za-z0-9_]+(?:/\S+)?), (.*)$`)
	commandPattern = regexp.MustCompile("^`([^`]*(?:go test|scripts/play) [^`]*)`, (.*)$")
	seedPattern    = regexp.MustCompile(`^seed (none|[0-9]+), (.*)$`)
	seenPattern    = regexp.MustCompile(`^(\S.*\S|\S), (#[0-9]+)$`)
)

// Read reads the list. Empty lines are skipped; any other line that is no test's, and a test that is listed twice,
// give a LineError.
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
	seen := seenPattern.FindStringSubmatch(seed[2])
	if seen == nil {
		return Test{}, ErrNoIssue
	}
	return Test{
		Package: head[1], Name: head[2], Command: command[1], Seed: seed[1], Seen: seen[1], Issue: seen[2],
	}, nil
}

// SkipPattern is the pattern for go test -skip that skips the tests and no others; empty if there are none. It names
// no packages, so a test function's name must be of one package alone, as CheckExist has it.
func SkipPattern(tests []Test) string {
	patterns := make([]string, len(tests))
	for i := range tests {
		patterns[i] = tests[i].Pattern()
	}
	return strings.Join(patterns, "|")
}

// CheckExist holds the list against what there is: names of test functions by package, as go test -list prints them.
// A test whose function does not exist in its package, or exists in another one as well, gives a LocationError.
// Whether a subtest exists shows only when it is run: see Judge.
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
