package regress

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Verdict is what a comparison found of a day.
type Verdict string

// Verdicts.
const (
	VerdictUnchanged Verdict = "as before" // within the noise
	VerdictBetter    Verdict = "better"
	VerdictFirst     Verdict = "first"   // nothing to compare with
	VerdictRegressed Verdict = "fell"    // beyond the noise
	VerdictFailed    Verdict = "failed"  // a rule is broken, or the day could not be played
	VerdictNoise     Verdict = "noise"   // fell once, but not on further seeds
	VerdictMissing   Verdict = "missing" // the bench gave no figure
)

// Comparison is one day's comparison.
type Comparison struct {
	Site, Day     string
	Seed          *uint64
	BaselineScore float64 // NaN where there is none
	Score         float64
	CPUSeconds    float64 // processor time that the day took to play, in seconds
	LeastServed   string  // who was served least, with the share
	Verdict       Verdict
	Reason        string    // the failure, or the aim that fell most
	SeedRuns      []SeedRun // further seeds, where the day was repeated

	baselineEntry Entry // of the figure before
}

// SeedRun is a day's figure on one seed, before and now.
type SeedRun struct {
	Seed                 uint64
	BaselineScore, Score float64
}

// Blocking tells whether a row must stop a landing.
func (r *Comparison) Blocking() bool {
	return r.Verdict == VerdictRegressed || r.Verdict == VerdictFailed || r.Verdict == VerdictMissing
}

// Compare holds the days of some entries against the record; fall is the largest
// difference that counts as noise, in points of a figure.
func Compare(record Baseline, now []Entry, fall float64) []Comparison {
	var rows []Comparison
	for _, e := range now {
		if !e.Succeeded || len(e.Days) == 0 {
			rows = append(rows, Comparison{Site: e.Site, BaselineScore: math.NaN(), Score: math.NaN(), Verdict: VerdictMissing, Reason: e.Command + " ended without figures: " + e.Error})
			continue
		}
		for _, d := range e.Days {
			rows = append(rows, compareDay(record, e, d, fall))
		}
	}
	return rows
}

func compareDay(record Baseline, e Entry, d Day, fall float64) Comparison {
	r := Comparison{Site: e.Site, Day: d.Name, Seed: d.Seed, BaselineScore: math.NaN(), Score: d.Score, CPUSeconds: d.CPUTime.Seconds(), Verdict: VerdictFirst}
	if l, ok := d.LeastServed(); ok {
		r.LeastServed = fmt.Sprintf("%.2f %s", l.Share, l.Group)
	}
	old, known := record[dayKey{e.Site, d.ID}]
	if known {
		r.BaselineScore, r.baselineEntry = old.Score, old.Entry
	}
	switch why := d.FailureReason(); {
	case why != "":
		r.Verdict, r.Reason = VerdictFailed, why
	case !known:
	case d.Score < old.Score-fall:
		r.Verdict, r.Reason = VerdictRegressed, largestObjectiveLoss(old.Objectives, d.Objectives)
	case d.Score > old.Score+fall:
		r.Verdict = VerdictBetter
	default:
		r.Verdict = VerdictUnchanged
	}
	return r
}

// largestObjectiveLoss names the aim that lost most.
func largestObjectiveLoss(before, now []Objective) string {
	old := map[string]Objective{}
	for _, a := range before {
		old[a.Name()] = a
	}
	text, most := "no aim alone", 0.0
	for _, a := range now {
		if o, ok := old[a.Name()]; ok && o.Score-a.Score > most {
			most = o.Score - a.Score
			text = fmt.Sprintf("%s, before %s", a.Text, o.Text)
		}
	}
	return text
}

// ConfirmWithSeeds decides a fall by further seeds: it counts only if the day is lower by
// more than fall over all its pairs, the first one included.
func (r *Comparison) ConfirmWithSeeds(again []SeedRun, fall float64) {
	r.SeedRuns = again
	sum, n := r.Score-r.BaselineScore, 1
	for _, p := range again {
		sum += p.Score - p.BaselineScore
		n++
	}
	if r.Verdict == VerdictRegressed && sum/float64(n) >= -fall {
		r.Verdict = VerdictNoise
	}
}

// PrintTable writes the rows as a table.
func PrintTable(w io.Writer, rows []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tday\tbefore\tnow\tprocessor s\tserved least\tverdict\twhy")
	for _, r := range rows {
		before := "-"
		if !math.IsNaN(r.BaselineScore) {
			before = formatScore(r.BaselineScore)
		}
		why := r.Reason
		for _, p := range r.SeedRuns {
			why += fmt.Sprintf("; seed %d %s to %s", p.Seed, formatScore(p.BaselineScore), formatScore(p.Score))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\n", r.Site, r.Day, before, formatScore(r.Score), r.CPUSeconds, r.LeastServed, r.Verdict, why)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
