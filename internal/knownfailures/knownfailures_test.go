package knownfailures

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
	"sableusher/internal/tuning"
)

func TestMain(m *testing.M) { testrand.Main(m) }

// TestLists draws lists with at most one fault each: every fault is an error, every list without
// one passes over its tests and no others.
func TestLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, tuning.KnownRedMost).Draw(t, "tests")
		var lines []string
		there := map[string][]string{"./internal/a": {"TestOther", "TestA0b"}, "./internal/b": {"TestElse"}}
		for i := range n {
			name := fmt.Sprintf("TestA%d", i)
			lines = append(lines, fmt.Sprintf("./internal/a %s, late, by two leases, #%d", name, 20+i))
			there["./internal/a"] = append(there["./internal/a"], name)
		}
		fault := rapid.SampledFrom([]string{"", "no issue", "no cause", "no package", "subtest", "comment", "twice", "too many", "absent", "elsewhere", "in two"}).Draw(t, "fault")
		extra := map[string]string{
			"no issue": "./internal/a TestOther, cause", "no cause": "./internal/a TestOther, , #3", "no package": "TestOther, cause, #3",
			"subtest": "./internal/a TestOther/one, cause, #3", "comment": "# a remark", "absent": "./internal/a TestGone, cause, #3",
			"elsewhere": "./internal/b TestOther, cause, #3", "in two": "./internal/b TestElse, cause, #3",
		}[fault]
		switch fault {
		case "twice":
			lines = append(lines, "./internal/a TestOther, one, #3", "./internal/b TestOther, two, #3")
		case "too many":
			for i := range tuning.KnownRedMost + 1 {
				lines = append(lines, fmt.Sprintf("./internal/a TestB%d, cause, #3", i))
			}
		case "in two":
			there["./internal/a"] = append(there["./internal/a"], "TestElse")
		}
		if extra != "" {
			lines = append(lines, "", extra)
		}
		tests, err := Read(strings.NewReader(strings.Join(lines, "\n")))
		if err == nil {
			err = CheckExist(tests, there)
		}
		if (err != nil) != (fault != "") {
			t.Fatalf("fault %q: %v", fault, err)
		}
		if err != nil {
			return
		}
		if len(tests) == 0 {
			if SkipPattern(tests) != "" {
				t.Fatal("passes over tests without a list")
			}
			return
		}
		skip := regexp.MustCompile(SkipPattern(tests))
		for _, name := range there["./internal/a"] {
			listed := strings.Contains(strings.Join(lines, "\n"), " "+name+",")
			if skip.MatchString(name) != listed {
				t.Fatalf("%s: listed %v", name, listed)
			}
		}
	})
}
