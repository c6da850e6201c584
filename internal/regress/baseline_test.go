package regress

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/fstest"

	"sableusher/internal/tuning"
)

// withScores returns a copy of the entries with changed scores.
func withScores(entries []Entry, change func(score float64) float64) []Entry {
	changed := slices.Clone(entries)
	for i := range changed {
		changed[i].Days = slices.Clone(changed[i].Days)
		for k := range changed[i].Days {
			changed[i].Days[k].Score = change(changed[i].Days[k].Score)
		}
	}
	return changed
}

// TestLatestAgainstEarlierScores checks that the latest score of each site is compared with the
// baseline before it, even if the entries of several sites alternate, and that the entry of an
// interrupted run is skipped.
func TestLatestAgainstEarlierScores(t *testing.T) {
	const loss = 0.04
	entries := scores(recordedEntries(t))
	var history []Entry
	for i := range 3 {
		later := withScores(entries, func(score float64) float64 { return score - loss*float64(i) })
		for k := range later {
			later[k].ID += strconv.Itoa(i)
		}
		history = append(history, later...)
	}
	history = append(history, Entry{Command: commandScore, Error: "cut off"})
	baseline, latest := SplitLatest(history)
	comparisons := Compare(baseline, latest, tuning.RegressNoise)
	regressed := 0
	for _, c := range comparisons {
		if c.Verdict == VerdictRegressed && math.Abs(c.BaselineScore-c.Score-loss) < 1e-9 {
			regressed++
		}
	}
	if len(latest) != len(entries) || regressed != 4 {
		t.Errorf("%d scores, %d regressed: %+v", len(latest), regressed, comparisons)
	}
}

// TestBaseline checks that only scores of unchanged days count, that the latest one counts, and that a
// bench run without scores or an unreadable entry is not mistaken for a run without regressions.
func TestBaseline(t *testing.T) {
	entries := recordedEntries(t)
	baseline := LatestScores(entries)
	later := withScores(entries, func(score float64) float64 { return score / 2 })
	t.Run("days at reduced size don't count", func(t *testing.T) {
		small := slices.Clone(later)
		for i := range small {
			small[i].Arguments = append(slices.Clone(small[i].Arguments), "--small")
		}
		sameScore := func(a, b MeasuredDay) bool { return a.Score == b.Score }
		if got := LatestScores(append(slices.Clone(entries), small...)); !maps.EqualFunc(got, baseline, sameScore) {
			t.Error("days at reduced size count")
		}
	})
	t.Run("the latest score counts", func(t *testing.T) {
		for key, day := range LatestScores(append(slices.Clone(entries), later...)) {
			if day.Score != baseline[key].Score/2 {
				t.Errorf("%v: %v is not the latest score", key, day.Score)
			}
		}
	})
	t.Run("an entry without scores", func(t *testing.T) {
		interrupted := []Entry{{Site: "s", Command: commandScore, Error: "cut off"}}
		comparisons := Compare(baseline, interrupted, tuning.RegressNoise)
		if len(comparisons) != 1 || !comparisons[0].Blocking() || !math.IsNaN(comparisons[0].Score) {
			t.Errorf("%+v", comparisons)
		}
	})
	t.Run("an unreadable entry", func(t *testing.T) {
		journal := fstest.MapFS{"x.json": {Data: []byte("{")}, "y.json": {Data: []byte(`{"id":"y"}`)}}
		if _, err := ReadJournal(journal); err == nil || !strings.Contains(err.Error(), "x.json") {
			t.Errorf("%v", err)
		}
	})
}
