package regress

import (
	"fmt"
	"math"
)

// Verdict is the result of comparing a day with the baseline.
type Verdict string

// The verdicts, with the texts that the table shows.
const (
	VerdictUnchanged Verdict = "as before" // within the noise
	VerdictBetter    Verdict = "better"
	VerdictFirst     Verdict = "first"   // no baseline score
	VerdictRegressed Verdict = "fell"    // lower by more than the noise
	VerdictFailed    Verdict = "failed"  // a rule was broken, or another reason of Day.FailureReason
	VerdictNoise     Verdict = "noise"   // regressed once, but not over all seeds together
	VerdictMissing   Verdict = "missing" // the bench returned no scores
)

// String returns the text that the table shows.
func (v Verdict) String() string { return string(v) }

// Comparison is the comparison of one day with the baseline.
type Comparison struct {
	Site, Day     string
	Seed          *uint64
	BaselineScore float64 // NaN if there is none
	Score         float64 // NaN if there is none
	CPUSeconds    float64 // processor time of the simulated day
	LeastServed   string  // the smallest served share and its group; empty if not measured
	Verdict       Verdict
	Reason        string    // the failure, or the objective whose score dropped most
	SeedRuns      []SeedRun // on additional seeds, if the day was repeated

	baselineEntry Entry // journal entry of BaselineScore
}

// SeedRun holds the scores of a day on one seed, with the baseline's sources and with the current ones.
type SeedRun struct {
	Seed          uint64
	BaselineScore float64
	Score         float64
}

// Blocking reports whether the comparison must prevent the sources from being merged.
func (c *Comparison) Blocking() bool {
	return c.Verdict == VerdictRegressed || c.Verdict == VerdictFailed || c.Verdict == VerdictMissing
}

// Compare compares the days of entries with the baseline. noise is the largest difference of
// scores that doesn't count as a change.
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

// missing returns the comparison for an entry that failed or has no days.
func missing(entry Entry) Comparison {
	return Comparison{
		Site:          entry.Site,
		BaselineScore: math.NaN(),
		Score:         math.NaN(),
		Verdict:       VerdictMissing,
		Reason:        entry.Command + " ended without scores: " + entry.Error,
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

// ConfirmWithSeeds adds the runs on additional seeds and changes VerdictRegressed to VerdictNoise
// unless the mean score over all runs, including the first one, is lower by more than the noise.
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
