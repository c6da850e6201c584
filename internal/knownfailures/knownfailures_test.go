package knownfailures

import (
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
)

func TestMain(m *testing.M) { testrand.Main(m) }

const (
	packageA = "./internal/a"
	packageB = "./internal/b"
)

// listFault is a fault of a list, with the lines that introduce it and the expected error.
type listFault struct {
	name    string
	lines   []string
	want    error  // nil if a LocationError is expected
	alsoInA string // test function that package A has in addition
}

// entry returns a line of the list for a test of package A.
func entry(name string) string { return entryOf(packageA, name) }

func entryOf(pkg, name string) string {
	return fmt.Sprintf("%s %s, `go test %s -run '^%s$'`, seed 5, late, by two leases, #3", pkg, name, pkg, name)
}

func listFaults() []listFault {
	const head = "./internal/a TestOther, "
	return []listFault{
		{name: "no issue", lines: []string{head + "`go test ./internal/a`, seed 5, late"}, want: ErrNoIssue},
		{name: "no symptom", lines: []string{head + "`go test ./internal/a`, seed 5, , #3"}, want: ErrNoIssue},
		{name: "no seed", lines: []string{head + "`go test ./internal/a`, late, #3"}, want: ErrNoSeed},
		{
			name: "seed without number", want: ErrNoSeed,
			lines: []string{head + "`go test ./internal/a`, seed x, late, #3"},
		},
		{name: "no command", lines: []string{head + "seed 5, late, #3"}, want: ErrNoCommand},
		{
			name: "command without test", want: ErrNoCommand,
			lines: []string{head + "`true ./internal/a`, seed 5, late, #3"},
		},
		{
			name: "other package", want: ErrNoCommand,
			lines: []string{head + "`go test ./internal/b`, seed 5, late, #3"},
		},
		{name: "earlier format", lines: []string{head + "cause, #3"}, want: ErrNoCommand},
		{
			name: "no package", want: ErrMalformedLine,
			lines: []string{"TestOther, `go test ./internal/a`, seed 5, late, #3"},
		},
		{name: "empty subtest", lines: []string{entry("TestOther/")}, want: ErrMalformedLine},
		{name: "comment", lines: []string{"# a remark"}, want: ErrMalformedLine},
		{name: "unknown test function", lines: []string{entry("TestGone")}},
		{name: "subtest of an unknown test function", lines: []string{entry("TestGone/4")}},
		{name: "test function of another package", lines: []string{entryOf(packageB, "TestOther")}},
		{name: "in two packages", lines: []string{entryOf(packageB, "TestElse")}, alsoInA: "TestElse"},
		{name: "twice", lines: []string{entry("TestOther/4"), entry("TestOther/4")}, want: ErrDuplicateTest},
		{
			name: "with its subtest", want: ErrDuplicateTest,
			lines: []string{entry("TestOther"), entry("TestOther/4")},
		},
		{
			name: "after its subtest", want: ErrDuplicateTest,
			lines: []string{entry("TestOther/4"), entry("TestOther")},
		},
	}
}

// check fails the test unless err, returned by Read or CheckExist, is the expected error.
func (f *listFault) check(t *rapid.T, err error) {
	if location := new(LocationError); f.want == nil && !errors.As(err, &location) {
		t.Fatalf("%s: got %v, want a LocationError", f.name, err)
	}
	if line := new(LineError); f.want != nil && (!errors.Is(err, f.want) || !errors.As(err, &line)) {
		t.Fatalf("%s: got %v, want the LineError of this fault", f.name, err)
	}
}

// TestLists draws lists with at most one fault each. A list with a fault must be rejected with the error of that fault.
// A list without a fault must be read completely.
func TestLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 5).Draw(t, "tests")
		var lines, listed []string
		names := map[string][]string{packageA: {"TestOther", "TestA0b"}, packageB: {"TestElse"}}
		for i := range count {
			name := fmt.Sprintf("TestA%d", i)
			names[packageA] = append(names[packageA], name)
			if rapid.Bool().Draw(t, "subtest") {
				name += "/" + rapid.SampledFrom([]string{"4", "cut,_a_restart", "a|b", "after_1.5s/x"}).Draw(t, "name")
			}
			listed = append(listed, name)
			lines = append(lines, entry(name))
		}
		fault := rapid.SampledFrom(append(listFaults(), listFault{})).Draw(t, "fault")
		lines = append(append(lines, ""), fault.lines...)
		if fault.alsoInA != "" {
			names[packageA] = append(names[packageA], fault.alsoInA)
		}
		tests, err := Read(strings.NewReader(strings.Join(lines, "\n")))
		if err == nil {
			err = CheckExist(tests, names)
		}
		if fault.name != "" {
			fault.check(t, err)
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		for i, test := range tests {
			if test.Name != listed[i] || test.Symptom != "late, by two leases" ||
				test.Seed != "5" || test.Issue != "#3" {
				t.Fatalf("%+v", test)
			}
		}
	})
}

// TestPatterns checks that go test, with the patterns of listed tests, skips or runs exactly these tests and subtests.
func TestPatterns(t *testing.T) {
	const program = "./testdata/days"
	tests := []Test{{Package: program, Name: "TestDays/4"}, {Package: program, Name: "TestPairs/cut,_a_restart"}}
	all := []string{
		"TestDays", "TestDays/4", "TestDays/40", "TestDays2", "TestPairs", "TestPairs/cut,_a_restart", "TestPairs/cut",
	}
	for _, c := range []struct {
		flag, pattern string
		want          []string
	}{
		{"-skip", SkipPattern(tests), []string{"TestDays", "TestDays/40", "TestDays2", "TestPairs", "TestPairs/cut"}},
		{"-run", tests[0].Pattern(), []string{"TestDays", "TestDays/4"}},
		{"-run", tests[1].Pattern(), []string{"TestPairs", "TestPairs/cut,_a_restart"}},
		{"-skip", SkipPattern(nil), all},
	} {
		output, err := exec.CommandContext(t.Context(), "go", "test", "-v", "-count=1", c.flag, c.pattern, program).
			CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, output)
		}
		for _, name := range all {
			if ran := reports(string(output), "=== RUN", name); ran != slices.Contains(c.want, name) {
				t.Errorf("%s %q: %s ran: %v", c.flag, c.pattern, name, ran)
			}
		}
	}
}

// TestOutcomeOf checks that only a failure of the test itself counts as the known failure. If the test was not run, the
// package did not build, or the test binary crashed or timed out, OutcomeOf must return an error.
func TestOutcomeOf(t *testing.T) {
	test := Test{Package: packageA, Name: "TestDays/4"}
	const (
		run    = "=== RUN   TestDays\n=== RUN   TestDays/4\n"
		failed = "--- FAIL: TestDays (1.00s)\n    --- FAIL: TestDays/4 (1.00s)\n"
	)
	for name, c := range map[string]struct {
		output    string
		succeeded bool
		want      Outcome
		wantErr   error
	}{
		"fails":             {run + failed + "FAIL\n", false, Fails, nil},
		"passes":            {run + "PASS\n", true, PassesNow, nil},
		"no such subtest":   {"=== RUN   TestDays\nPASS\n", true, Fails, ErrNotRun},
		"longer name":       {"=== RUN   TestDays/40\nPASS\n", true, Fails, ErrNotRun},
		"no such test":      {"testing: warning: no tests to run\nPASS\n", true, Fails, ErrNotRun},
		"does not build":    {"FAIL\t./internal/a [build failed]\n", false, Fails, ErrOtherFailure},
		"panics":            {run + failed + "panic: deadlock\n", false, Fails, ErrCrashed},
		"timeout":           {run + "panic: test timed out after 10m0s\n", false, Fails, ErrCrashed},
		"fatal error":       {run + "fatal error: all goroutines are asleep\n", false, Fails, ErrCrashed},
		"only parent fails": {run + "--- FAIL: TestDays (1.00s)\n", false, Fails, ErrOtherFailure},
	} {
		t.Run(name, func(t *testing.T) {
			outcome, err := OutcomeOf(test, c.output, c.succeeded)
			if outcome != c.want || !errors.Is(err, c.wantErr) {
				t.Errorf("%v, %v; want %v, %v", outcome, err, c.want, c.wantErr)
			}
		})
	}
}
