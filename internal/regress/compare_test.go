package regress

import (
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sableusher/internal/testrand"
	"sableusher/internal/tuning"
)

func TestMain(m *testing.M) { testrand.Main(m) }

// recordedEntries reads entries as the bench wrote them.
func recordedEntries(t *testing.T) []Entry {
	t.Helper()
	entries, err := ReadJournal(os.DirFS("testdata/journal"))
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// scores gives the entries that are scores.
func scores(entries []Entry) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry Entry) bool { return entry.Command != commandScore })
}

// TestRecordedScoresAgainstThemselves: the same scores are as before, generated days
// have nothing to be compared with, hunts are no baseline.
func TestRecordedScoresAgainstThemselves(t *testing.T) {
	entries := recordedEntries(t)
	counts := map[Verdict]int{}
	for _, c := range Compare(LatestScores(entries), scores(entries), tuning.RegressNoise) {
		counts[c.Verdict]++
		generated := strings.HasPrefix(c.Day, "fresh-")
		if generated != (c.Verdict == VerdictFirst) || !generated && (c.BaselineScore != c.Score || c.Blocking()) {
			t.Errorf("%s %s: %s, %v to %v", c.Site, c.Day, c.Verdict, c.BaselineScore, c.Score)
		}
	}
	if counts[VerdictUnchanged] != 4 || counts[VerdictFirst] != 2 {
		t.Errorf("verdicts %v", counts)
	}
	for _, c := range Compare(Baseline{}, entries, tuning.RegressNoise) {
		if c.Blocking() {
			t.Errorf("%s %s is %s though no rule was broken", c.Site, c.Day, c.Verdict)
		}
	}
}

// dayChange is a change of a recorded day, with the verdict that it must give and the beginning of the reason.
type dayChange struct {
	name    string
	change  func(t *rapid.T, day *Day) (reason string)
	verdict Verdict
}

var dayChanges = []dayChange{
	{"regression", loseObjective, VerdictRegressed},
	{"noise", func(t *rapid.T, day *Day) string {
		day.Score -= rapid.Float64Range(0, 0.029).Draw(t, "noise")
		return ""
	}, VerdictUnchanged},
	{"violation", func(_ *rapid.T, day *Day) string {
		day.Score, day.Violations = 0, map[string]int{"ran_twice": 2}
		return ""
	}, VerdictFailed},
	{"not played", func(_ *rapid.T, day *Day) string {
		day.PlayError = "too slow"
		return ""
	}, VerdictFailed},
	{"improvement", func(_ *rapid.T, day *Day) string {
		day.Score += 0.04
		return ""
	}, VerdictBetter},
	{"processor time", func(_ *rapid.T, day *Day) string {
		day.CPUTime = CPUTime{Environment: []float64{60, 5}, Processes: []float64{240, 1}}
		return "took 306 s"
	}, VerdictFailed},
	{"served share", func(_ *rapid.T, day *Day) string {
		day.ServedShares = []ServedShare{{"one", 0.99}, {"other", 0.49}}
		return "only 0.49 of other"
	}, VerdictFailed},
}

// loseObjective lowers a day's score beyond the noise, and most of all one objective.
func loseObjective(t *rapid.T, day *Day) string {
	day.Score -= rapid.Float64Range(0.031, 0.5).Draw(t, "loss")
	day.Objectives = slices.Clone(day.Objectives)
	objective := &day.Objectives[rapid.IntRange(0, len(day.Objectives)-1).Draw(t, "objective")]
	objective.Score = -1
	return objective.Text
}

// TestRegressionsAreFound changes recorded days: each regression beyond the noise, violation
// and unplayed day must be found and named, and nothing else.
func TestRegressionsAreFound(t *testing.T) {
	entries := recordedEntries(t)
	baseline := LatestScores(entries)
	rapid.Check(t, func(t *rapid.T) {
		measured := scores(entries)
		entry := &measured[rapid.IntRange(0, len(measured)-1).Draw(t, "entry")]
		entry.Days = slices.Clone(entry.Days)
		day := &entry.Days[0]
		change := dayChanges[rapid.IntRange(0, len(dayChanges)-1).Draw(t, "change")]
		reason := change.change(t, day)
		comparisons := Compare(baseline, measured, tuning.RegressNoise)
		found := findComparison(comparisons, *day)
		blocking := change.verdict == VerdictRegressed || change.verdict == VerdictFailed
		if found.Verdict != change.verdict || found.Blocking() != blocking || !strings.HasPrefix(found.Reason, reason) {
			t.Fatalf("%s: %s, not %s: %s", change.name, found.Verdict, change.verdict, found.Reason)
		}
		for _, other := range comparisons {
			if other.Day != found.Day && other.Blocking() {
				t.Fatalf("%s %s is %s", other.Site, other.Day, other.Verdict)
			}
		}
	})
}

func findComparison(comparisons []Comparison, day Day) Comparison {
	return comparisons[slices.IndexFunc(comparisons, func(c Comparison) bool {
		return c.Day == day.Name && c.Score == day.Score
	})]
}

// TestRegressionIsConfirmedBySeeds: one bad seed of three is noise, a regression on all is none.
func TestRegressionIsConfirmedBySeeds(t *testing.T) {
	for _, c := range []struct {
		name string
		runs []SeedRun
		want Verdict
	}{
		{"as before on the others", []SeedRun{{1, 0.80, 0.81}, {2, 0.70, 0.69}}, VerdictNoise},
		{"lower on all", []SeedRun{{1, 0.80, 0.75}, {2, 0.70, 0.66}}, VerdictRegressed},
		{"within the noise in sum", []SeedRun{{1, 0.80, 0.78}, {2, 0.70, 0.72}}, VerdictNoise},
	} {
		t.Run(c.name, func(t *testing.T) {
			comparison := Comparison{Verdict: VerdictRegressed, BaselineScore: 0.8, Score: 0.74}
			if comparison.ConfirmWithSeeds(c.runs, tuning.RegressNoise); comparison.Verdict != c.want {
				t.Errorf("%v: %s, not %s", c.runs, comparison.Verdict, c.want)
			}
		})
	}
}
