package knownfailures

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
	"sableusher/internal/tuning"
)

func TestMain(m *testing.M) { testrand.Main(m) }

const (
	packageA = "./internal/a"
	packageB = "./internal/b"
)

// listFault is one fault of a list, with the lines that it adds and the error that it must give.
type listFault struct {
	name    string
	lines   []string
	want    error // nil: a LocationError
	alsoInA string
}

func listFaults() []listFault {
	faults := []listFault{
		{name: "no issue", lines: []string{"./internal/a TestOther, cause"}, want: ErrMalformedLine},
		{name: "no cause", lines: []string{"./internal/a TestOther, , #3"}, want: ErrMalformedLine},
		{name: "no package", lines: []string{"TestOther, cause, #3"}, want: ErrMalformedLine},
		{name: "subtest", lines: []string{"./internal/a TestOther/one, cause, #3"}, want: ErrMalformedLine},
		{name: "comment", lines: []string{"# a remark"}, want: ErrMalformedLine},
		{name: "absent", lines: []string{"./internal/a TestGone, cause, #3"}},
		{name: "elsewhere", lines: []string{"./internal/b TestOther, cause, #3"}},
		{name: "in two packages", lines: []string{"./internal/b TestElse, cause, #3"}, alsoInA: "TestElse"},
		{
			name:  "twice",
			lines: []string{"./internal/a TestOther, one, #3", "./internal/b TestOther, two, #3"},
			want:  ErrDuplicateTest,
		},
	}
	tooMany := listFault{name: "too many", want: ErrTooManyTests}
	for i := range tuning.KnownFailuresMax + 1 {
		tooMany.lines = append(tooMany.lines, fmt.Sprintf("./internal/a TestB%d, cause, #3", i))
	}
	return append(faults, tooMany)
}

// check fails unless reading a list, and holding it against what there is, gives the fault's error. A line
// that would be one too many may be found first.
func (f *listFault) check(t *rapid.T, listed int, err error) {
	if errors.Is(err, ErrTooManyTests) && listed+len(f.lines) > tuning.KnownFailuresMax {
		return
	}
	if location := new(LocationError); f.want == nil && !errors.As(err, &location) {
		t.Fatalf("%s: %v", f.name, err)
	}
	if line := new(LineError); f.want != nil && (!errors.Is(err, f.want) || !errors.As(err, &line)) {
		t.Fatalf("%s: %v", f.name, err)
	}
}

// TestLists draws lists with at most one fault each: every fault is an error of its own, every list without
// one skips its tests and no others.
func TestLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, tuning.KnownFailuresMax).Draw(t, "tests")
		var lines []string
		names := map[string][]string{packageA: {"TestOther", "TestA0b"}, packageB: {"TestElse"}}
		for i := range count {
			name := fmt.Sprintf("TestA%d", i)
			lines = append(lines, fmt.Sprintf("./internal/a %s, late, by two leases, #%d", name, 20+i))
			names[packageA] = append(names[packageA], name)
		}
		listed := slices.Clone(names[packageA][2:])
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
			fault.check(t, count, err)
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		checkSkipPattern(t, SkipPattern(tests), names[packageA], listed)
	})
}

func checkSkipPattern(t *rapid.T, pattern string, names, listed []string) {
	if len(listed) == 0 {
		if pattern != "" {
			t.Fatal("skips tests without a list")
		}
		return
	}
	skip := regexp.MustCompile(pattern)
	for _, name := range names {
		if skip.MatchString(name) != slices.Contains(listed, name) {
			t.Fatalf("%s: listed %v", name, slices.Contains(listed, name))
		}
	}
}
