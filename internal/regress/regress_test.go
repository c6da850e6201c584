package regress

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/fstest"

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

func scores(entries []Entry) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Command != "score" })
}

// TestRecordedScoresAgainstThemselves: the same figures are as before, drawn days
// have nothing to be compared with, hunts are no record.
func TestRecordedScoresAgainstThemselves(t *testing.T) {
	entries := recordedEntries(t)
	rows := Compare(LatestScores(entries), scores(entries), tuning.RegressFall)
	count := map[Verdict]int{}
	for _, r := range rows {
		count[r.Verdict]++
		if drawn := strings.HasPrefix(r.Day, "fresh-"); drawn != (r.Verdict == VerdictFirst) || !drawn && (r.BaselineScore != r.Score || r.Blocking()) {
			t.Errorf("%s %s: %s, %v to %v", r.Site, r.Day, r.Verdict, r.BaselineScore, r.Score)
		}
	}
	if count[VerdictUnchanged] != 4 || count[VerdictFirst] != 2 {
		t.Errorf("verdicts %v", count)
	}
	for _, r := range Compare(Baseline{}, entries, tuning.RegressFall) {
		if r.Blocking() {
			t.Errorf("%s %s is %s though no rule was broken", r.Site, r.Day, r.Verdict)
		}
	}
}

// TestRegressionsAreFound changes recorded days: each fall beyond the noise, broken rule
// and unplayed day must be found and named, and nothing else.
func TestRegressionsAreFound(t *testing.T) {
	entries := recordedEntries(t)
	record := LatestScores(entries)
	rapid.Check(t, func(t *rapid.T) {
		now := scores(entries)
		e := rapid.IntRange(0, len(now)-1).Draw(t, "entry")
		now[e].Days = slices.Clone(now[e].Days)
		day := &now[e].Days[0]
		day.Objectives = slices.Clone(day.Objectives)
		want, named := VerdictUnchanged, ""
		switch rapid.IntRange(0, 6).Draw(t, "change") {
		case 0:
			day.Score -= rapid.Float64Range(0.031, 0.5).Draw(t, "fall")
			aim := &day.Objectives[rapid.IntRange(0, len(day.Objectives)-1).Draw(t, "aim")]
			aim.Score = -1
			want, named = VerdictRegressed, aim.Text
		case 1:
			day.Score -= rapid.Float64Range(0, 0.029).Draw(t, "noise")
		case 2:
			day.Score, day.Violations, want = 0, map[string]int{"ran_twice": 2}, VerdictFailed
		case 3:
			day.PlayError, want = "too slow", VerdictFailed
		case 4:
			day.Score, want = day.Score+0.04, VerdictBetter
		case 5:
			day.CPUTime, want, named = CPUTime{Environment: []float64{60, 5}, Processes: []float64{240, 1}}, VerdictFailed, "took 306 s"
		case 6:
			day.ServedShares, want, named = []ServedShare{{"one", 0.99}, {"other", 0.49}}, VerdictFailed, "only 0.49 of other"
		}
		rows := Compare(record, now, tuning.RegressFall)
		r := findComparison(rows, *day)
		if r.Verdict != want || r.Blocking() != (want == VerdictRegressed || want == VerdictFailed) || !strings.HasPrefix(r.Reason, named) {
			t.Fatalf("%s, not %s: %s", r.Verdict, want, r.Reason)
		}
		for _, o := range rows {
			if o.Day != r.Day && o.Blocking() {
				t.Fatalf("%s %s is %s", o.Site, o.Day, o.Verdict)
			}
		}
	})
}

func findComparison(rows []Comparison, d Day) Comparison {
	return rows[slices.IndexFunc(rows, func(r Comparison) bool { return r.Day == d.Name && r.Score == d.Score })]
}

// TestFallIsRepeated: one bad seed of three is noise, a fall on all is none.
func TestRegressionIsConfirmedBySeeds(t *testing.T) {
	for _, c := range []struct {
		again []SeedRun
		want  Verdict
	}{
		{[]SeedRun{{1, 0.80, 0.81}, {2, 0.70, 0.69}}, VerdictNoise},
		{[]SeedRun{{1, 0.80, 0.75}, {2, 0.70, 0.66}}, VerdictRegressed},
		{[]SeedRun{{1, 0.80, 0.78}, {2, 0.70, 0.72}}, VerdictNoise},
	} {
		r := Comparison{Verdict: VerdictRegressed, BaselineScore: 0.8, Score: 0.74}
		if r.ConfirmWithSeeds(c.again, tuning.RegressFall); r.Verdict != c.want {
			t.Errorf("%v: %s, not %s", c.again, r.Verdict, c.want)
		}
	}
}

// TestNewestAgainstThoseBefore: each site's last score is held against the record before
// it, however the sites' scores lie between each other; one that was cut off is passed over.
func TestLatestAgainstEarlierScores(t *testing.T) {
	entries := scores(recordedEntries(t))
	var history []Entry
	for i := range 3 {
		for _, e := range entries {
			e.ID = e.ID + strconv.Itoa(i)
			e.Days = slices.Clone(e.Days)
			for k := range e.Days {
				e.Days[k].Score -= 0.04 * float64(i)
			}
			history = append(history, e)
		}
	}
	history = append(history, Entry{Command: "score", Error: "cut off"})
	record, now := SplitLatest(history)
	rows := Compare(record, now, tuning.RegressFall)
	fell := 0
	for _, r := range rows {
		if r.Verdict == VerdictRegressed && math.Abs(r.BaselineScore-r.Score-0.04) < 1e-9 {
			fell++
		}
	}
	if len(now) != len(entries) || fell != 4 {
		t.Errorf("%d scores, %d fell: %+v", len(now), fell, rows)
	}
}

// TestRecord: only whole scores count, the last one wins, and a bench that gave no
// figures is never taken for one without a fall.
func TestBaseline(t *testing.T) {
	entries := recordedEntries(t)
	first := LatestScores(entries)
	later := slices.Clone(entries)
	for i := range later {
		later[i].Days = slices.Clone(later[i].Days)
		for k := range later[i].Days {
			later[i].Days[k].Score /= 2
		}
	}
	small := slices.Clone(later)
	for i := range small {
		small[i].Arguments = append(slices.Clone(small[i].Arguments), "--small")
	}
	if got := LatestScores(append(slices.Clone(entries), small...)); !maps.EqualFunc(got, first, func(a, b MeasuredDay) bool { return a.Score == b.Score }) {
		t.Error("days at a small size count")
	}
	for k, m := range LatestScores(append(slices.Clone(entries), later...)) {
		if m.Score != first[k].Score/2 {
			t.Errorf("%v: %v is not the last figure", k, m.Score)
		}
	}
	cut := Entry{Site: "s", Command: "score", Error: "cut off"}
	if rows := Compare(first, []Entry{cut}, tuning.RegressFall); len(rows) != 1 || !rows[0].Blocking() || !math.IsNaN(rows[0].Score) {
		t.Errorf("an entry without figures: %+v", rows)
	}
	if _, err := ReadJournal(fstest.MapFS{"x.json": {Data: []byte("{")}, "y.json": {Data: []byte(`{"id":"y"}`)}}); err == nil || !strings.Contains(err.Error(), "x.json") {
		t.Errorf("an unreadable entry: %v", err)
	}
}

// TestSites: each plan plays its own sites, each of them once; a hunt those where two troubles meet.
func TestSites(t *testing.T) {
	given := t.TempDir()
	for _, f := range []string{"next/a-grown.toml", "next/wire.json", "change/a-next.toml", "more/fleet/a-fleet.toml", "more/hunt/a-hunt.toml", "more/hunt/b-hunt.toml", "more/hunt/a-hunt.days", "added/new.toml", "sites/a.toml"} {
		path := filepath.Join(given, "kit", f)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, nil, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		plan Plan
		want string
	}{
		{Plan{}, "a-grown a-next new"},
		{Plan{IncludeFleetSites: true}, "a-grown a-next new a-fleet"},
		{Plan{AllSites: true}, "a-grown a-next new a-fleet a-hunt b-hunt"},
		{Plan{HuntDays: 3}, "a-hunt b-hunt"},
	} {
		c.plan.KitDir = given
		var got []string
		for _, f := range c.plan.siteFiles() {
			got = append(got, strings.TrimSuffix(filepath.Base(f), ".toml"))
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%+v plays %v", c.plan, got)
		}
	}
}
