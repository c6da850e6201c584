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
	Same   Verdict = "as before" // within the noise
	Better Verdict = "better"
	New    Verdict = "first"   // nothing to compare with
	Fell   Verdict = "fell"    // beyond the noise
	Failed Verdict = "failed"  // a rule is broken, or the day could not be played
	Noise  Verdict = "noise"   // fell once, but not on further seeds
	Absent Verdict = "missing" // the bench gave no figure
)

// Row is one day's comparison.
type Row struct {
	Site, Day string
	Seed      *uint64
	Before    float64 // NaN where there is none
	Now       float64
	Spent     float64 // processor time that the day took to play, in seconds
	Least     string  // who was served least, with the share
	Verdict   Verdict
	Why       string // the failure, or the aim that fell most
	Again     []Pair // further seeds, where the day was repeated

	base Entry // of the figure before
}

// Pair is a day's figure on one seed, before and now.
type Pair struct {
	Seed        uint64
	Before, Now float64
}

// Bad tells whether a row must stop a landing.
func (r *Row) Bad() bool {
	return r.Verdict == Fell || r.Verdict == Failed || r.Verdict == Absent
}

// Compare holds the days of some entries against the record; fall is the largest
// difference that counts as noise, in points of a figure.
func Compare(record Record, now []Entry, fall float64) []Row {
	var rows []Row
	for _, e := range now {
		if !e.OK || len(e.Days) == 0 {
			rows = append(rows, Row{Site: e.Site, Before: math.NaN(), Now: math.NaN(), Verdict: Absent, Why: e.Cmd + " ended without figures: " + e.Err})
			continue
		}
		for _, d := range e.Days {
			rows = append(rows, compare(record, e, d, fall))
		}
	}
	return rows
}

func compare(record Record, e Entry, d Day, fall float64) Row {
	r := Row{Site: e.Site, Day: d.Name, Seed: d.Seed, Before: math.NaN(), Now: d.Figure, Spent: d.Spent.Seconds(), Verdict: New}
	if l, ok := d.Least(); ok {
		r.Least = fmt.Sprintf("%.2f %s", l.Share, l.Whom)
	}
	old, known := record[key{e.Site, d.ID}]
	if known {
		r.Before, r.base = old.Figure, old.Entry
	}
	switch why := d.Failed(); {
	case why != "":
		r.Verdict, r.Why = Failed, why
	case !known:
	case d.Figure < old.Figure-fall:
		r.Verdict, r.Why = Fell, worst(old.Aims, d.Aims)
	case d.Figure > old.Figure+fall:
		r.Verdict = Better
	default:
		r.Verdict = Same
	}
	return r
}

// worst names the aim that lost most.
func worst(before, now []Aim) string {
	old := map[string]Aim{}
	for _, a := range before {
		old[a.Name()] = a
	}
	text, most := "no aim alone", 0.0
	for _, a := range now {
		if o, ok := old[a.Name()]; ok && o.Worth-a.Worth > most {
			most = o.Worth - a.Worth
			text = fmt.Sprintf("%s, before %s", a.Text, o.Text)
		}
	}
	return text
}

// Settle decides a fall by further seeds: it counts only if the day is lower by
// more than fall over all its pairs, the first one included.
func (r *Row) Settle(again []Pair, fall float64) {
	r.Again = again
	sum, n := r.Now-r.Before, 1
	for _, p := range again {
		sum += p.Now - p.Before
		n++
	}
	if r.Verdict == Fell && sum/float64(n) >= -fall {
		r.Verdict = Noise
	}
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tday\tbefore\tnow\tprocessor s\tserved least\tverdict\twhy")
	for _, r := range rows {
		before := "-"
		if !math.IsNaN(r.Before) {
			before = figure(r.Before)
		}
		why := r.Why
		for _, p := range r.Again {
			why += fmt.Sprintf("; seed %d %s to %s", p.Seed, figure(p.Before), figure(p.Now))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.0f\t%s\t%s\t%s\n", r.Site, r.Day, before, figure(r.Now), r.Spent, r.Least, r.Verdict, why)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
