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

// recordedEntries returns journal entries that the bench wrote.
func recordedEntries(t *testing.T) []Entry {
	t.Helper()
	entries, err := ReadJournal(os.DirFS("testdata/journal"))
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// scores returns the entries of the score command.
func scores(entries []Entry) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry Entry) bool { return entry.Command != commandScore })
}

// TestRecordedScoresAgainstThemselves compares recorded scores with themselves. Days must be
// unchanged, and generated days must have no baseline. Entries of hunts don't become part of the baseline.
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

// dayChange is a change to a recorded day with the expected verdict. change returns the expected prefix of the reason.
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
	{"not simulated", func(_ *rapid.T, day *Day) string {
		day.SimulationError = "too slow"
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

// loseObjective lowers a day's score by more than the noise, and the score of one objective most.
func loseObjective(t *rapid.T, day *Day) string {
	day.Score -= rapid.Float64Range(0.031, 0.5).Draw(t, "loss")
	day.Objectives = slices.Clone(day.Objectives)
	objective := &day.Objectives[rapid.IntRange(0, len(day.Objectives)-1).Draw(t, "objective")]
	objective.Score = -1
	return objective.Text
}

// TestRegressionsAreFound changes recorded days. Each change that regresses or fails a day must be
// reported with its reason, and no other day may be blocking.
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
			t.Fatalf("%s: verdict %s, want %s: %s", change.name, found.Verdict, change.verdict, found.Reason)
		}
		for _, other := range comparisons {
			if other.Day != found.Day && other.Blocking() {
				t.Fatalf("%s %s did not change, but its verdict is %s", other.Site, other.Day, other.Verdict)
			}
		}
	})
}

func findComparison(comparisons []Comparison, day Day) Comparison {
	return comparisons[slices.IndexFunc(comparisons, func(c Comparison) bool {
		return c.Day == day.Name && c.Score == day.Score
	})]
}

// TestRegressionIsConfirmedBySeeds checks that a regression on one seed of three is noise, and that one on all seeds
// is confirmed.
func TestRegressionIsConfirmedBySeeds(t *testing.T) {
	for _, c := range []struct {
		name string
		runs []SeedRun
		want Verdict
	}{
		{"unchanged on the other seeds", []SeedRun{{1, 0.80, 0.81}, {2, 0.70, 0.69}}, VerdictNoise},
		{"lower on all seeds", []SeedRun{{1, 0.80, 0.75}, {2, 0.70, 0.66}}, VerdictRegressed},
		{"within the noise on average", []SeedRun{{1, 0.80, 0.78}, {2, 0.70, 0.72}}, VerdictNoise},
	} {
		t.Run(c.name, func(t *testing.T) {
			comparison := Comparison{Verdict: VerdictRegressed, BaselineScore: 0.8, Score: 0.74}
			if comparison.ConfirmWithSeeds(c.runs, tuning.RegressNoise); comparison.Verdict != c.want {
				t.Errorf("%v: verdict %s, want %s", c.runs, comparison.Verdict, c.want)
			}
		})
	}
}
