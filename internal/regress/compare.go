package regress

import (
	"fmt"
	"math"
)

// Verdict is what a comparison found of a day.
type Verdict string

// Verdicts, as the table has them.
const (
	VerdictUnchanged Verdict = "as before" // within the noise
	VerdictBetter    Verdict = "better"
	VerdictFirst     Verdict = "first"   // nothing to compare with
	VerdictRegressed Verdict = "fell"    // beyond the noise
	VerdictFailed    Verdict = "failed"  // a rule is broken, or the day could not be played
	VerdictNoise     Verdict = "noise"   // regressed once, but not on further seeds
	VerdictMissing   Verdict = "missing" // the bench gave no score
)

// String is the verdict as the table has it.
func (v Verdict) String() string { return string(v) }

// Comparison is one day held against the baseline.
type Comparison struct {
	Site, Day     string
	Seed          *uint64
	BaselineScore float64 // NaN where there is none
	Score         float64 // NaN where there is none
	CPUSeconds    float64 // processor time that the day took to play
	LeastServed   string  // the group that was served least, with its share
	Verdict       Verdict
	Reason        string    // the failure, or the objective that lost most
	SeedRuns      []SeedRun // on further seeds, where the day was repeated

	baselineEntry Entry // of the baseline's score
}

// SeedRun is a day's score on one seed, with the baseline's sources and with those measured.
type SeedRun struct {
	Seed          uint64
	BaselineScore float64
	Score         float64
}

// Blocking tells whether a comparison must stop a landing.
func (c *Comparison) Blocking() bool {
	return c.Verdict == VerdictRegressed || c.Verdict == VerdictFailed || c.Verdict == VerdictMissing
}

// Compare holds the days of some entries against the baseline; noise is the largest
// difference of scores that doesn't count.
func Compare(baseline Baseline, measured []Entry, noise float64) []Comparison {
	var comparisons []Comparison
	for _, entry := range measured {
		if !entry.Succeeded || len(entry.Days) == 0 {
			comparisons = append(comparisons, missing(entry))
			continue
		}
		for _, day := range entry.Days {
			comparisons = append(comparisons, compareDay(baseline, entry.Site, day, noise))
		}
	}
	return comparisons
}

// missing is the comparison of an entry without days.
func missing(entry Entry) Comparison {
	return Comparison{
		Site:          entry.Site,
		BaselineScore: math.NaN(),
		Score:         math.NaN(),
		Verdict:       VerdictMissing,
		Reason:        entry.Command + " ended without figures: " + entry.Error,
	}
}

func compareDay(baseline Baseline, site string, day Day, noise float64) Comparison {
	c := Comparison{
		Site:          site,
		Day:           day.Name,
		Seed:          day.Seed,
		BaselineScore: math.NaN(),
		Score:         day.Score,
		CPUSeconds:    day.CPUTime.Seconds(),
		Verdict:       VerdictFirst,
	}
	if least, ok := day.LeastServed(); ok {
		c.LeastServed = fmt.Sprintf("%.2f %s", least.Share, least.Group)
	}
	before, known := baseline[dayKey{site, day.ID}]
	if known {
		c.BaselineScore, c.baselineEntry = before.Score, before.Entry
	}
	reason := day.FailureReason()
	switch {
	case reason != "":
		c.Verdict, c.Reason = VerdictFailed, reason
	case !known:
	case day.Score < before.Score-noise:
		c.Verdict, c.Reason = VerdictRegressed, largestObjectiveLoss(before.Objectives, day.Objectives)
	case day.Score > before.Score+noise:
		c.Verdict = VerdictBetter
	default:
		c.Verdict = VerdictUnchanged
	}
	return c
}

// ConfirmWithSeeds decides a regression by further seeds: it counts only if the day is lower by
// more than the noise over all its runs, the first one included.
func (c *Comparison) ConfirmWithSeeds(runs []SeedRun, noise float64) {
	c.SeedRuns = runs
	difference := c.Score - c.BaselineScore
	for _, run := range runs {
		difference += run.Score - run.BaselineScore
	}
	if c.Verdict == VerdictRegressed && difference/float64(len(runs)+1) >= -noise {
		c.Verdict = VerdictNoise
	}
}
