// Package knownfailures reads the list of tests that are known to fail for a fault that is not
// mended yet. CI passes over just these, runs them apart and prints what came of them. Whatever is
// wrong with the list fails CI: a test that nobody runs must not hide behind a slip of the pen.
package knownfailures

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"

	"sableusher/internal/tuning"
)

// Test is one line of the list: a test of a package, why it fails, and the issue that mends it.
type Test struct {
	Package string // as go test takes it, such as ./internal/place
	Name    string
	Cause   string
	Issue   string
}

// linePattern is "./internal/place TestName, cause, #12"; the cause may hold commas.
var linePattern = regexp.MustCompile(`^(\./[a-z0-9/]+) (Test[A-Za-z0-9_]+), (\S.*\S), (#[0-9]+)$`)

// Read reads the list. Empty lines are passed over; anything else that is no test's line, a test that
// is named twice and a line too many are errors.
func Read(r io.Reader) ([]Test, error) {
	var out []Test
	names := map[string]bool{}
	in := bufio.NewScanner(r)
	for n := 1; in.Scan(); n++ {
		text := strings.TrimSpace(in.Text())
		if text == "" {
			continue
		}
		m := linePattern.FindStringSubmatch(text)
		switch {
		case m == nil:
			return nil, fmt.Errorf("line %d: %q is not \"./package TestName, cause, #issue\"", n, text)
		case names[m[2]]:
			// Also in two packages: what is passed over is named without its package.
			return nil, fmt.Errorf("line %d: %s is named twice", n, m[2])
		case len(out) == tuning.KnownRedMost:
			return nil, fmt.Errorf("line %d: more than %d tests", n, tuning.KnownRedMost)
		}
		names[m[2]] = true
		out = append(out, Test{m[1], m[2], m[3], m[4]})
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return out, nil
}

// SkipPattern is the pattern for go test -skip that passes over the tests; empty if there are none.
func SkipPattern(tests []Test) string {
	if len(tests) == 0 {
		return ""
	}
	var names []string
	for _, t := range tests {
		names = append(names, t.Name)
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// CheckExist holds the list against what there is: tests by package, as go test -list prints them. A
// test that does not exist in its package, or that exists in another one as well, is an error.
func CheckExist(tests []Test, packages map[string][]string) error {
	for _, t := range tests {
		var in []string
		for p, names := range packages {
			for _, n := range names {
				if n == t.Name {
					in = append(in, p)
				}
			}
		}
		if len(in) != 1 || in[0] != t.Package {
			return fmt.Errorf("%s stands in %v, not just in %s", t.Name, in, t.Package)
		}
	}
	return nil
}
