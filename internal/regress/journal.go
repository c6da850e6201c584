// Package regress compares the bench's measurements of the sources as they stand
// with the last ones on record. It owns nothing durable: the journal is the
// bench's, and is only read.
package regress

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"

	"sableusher/internal/tuning"
)

// Objective is one aim of a day as the bench counted it.
type Objective struct {
	Text  string  // such as "submit 1000 ms: 0.98 (aim 0.995)"
	Score float64 // from 0 to 1
}

// UnmarshalJSON reads the journal's pair of text and worth.
func (a *Objective) UnmarshalJSON(b []byte) error {
	var worth *float64
	pair := []any{&a.Text, &worth}
	if err := json.Unmarshal(b, &pair); err != nil {
		return fmt.Errorf("aim: %w", err)
	}
	if len(pair) != 2 {
		return fmt.Errorf("aim: %d fields, not 2", len(pair))
	}
	a.Score = math.NaN() // not counted on that day
	if worth != nil {
		a.Score = *worth
	}
	return nil
}

// Name is the aim without its figures.
func (a Objective) Name() string {
	name, _, _ := strings.Cut(a.Text, ": ")
	return name
}

// Day is one day of an entry.
type Day struct {
	Name         string         `json:"name"`
	ID           string         `json:"day"` // of what the day holds, its seed included
	Seed         *uint64        `json:"seed"`
	Score        float64        `json:"G"`
	Violations   map[string]int `json:"rules"` // broken ones, with how often
	PlayError    string         `json:"fault"` // why the day could not be played; empty if it could
	Restarts     float64        `json:"restarts"`
	Objectives   []Objective    `json:"aims"`
	CPUTime      CPUTime        `json:"spent"`
	ServedShares []ServedShare  `json:"served"`
}

// ServedShare is the share of a class's or team's work that was served on a day.
type ServedShare struct {
	Group string
	Share float64
}

// UnmarshalJSON reads the journal's triple of whom, part of all work and share served.
func (s *ServedShare) UnmarshalJSON(b []byte) error {
	var part float64
	triple := []any{&s.Group, &part, &s.Share}
	if err := json.Unmarshal(b, &triple); err != nil {
		return fmt.Errorf("served: %w", err)
	}
	if len(triple) != 3 {
		return fmt.Errorf("served: %d fields, not 3", len(triple))
	}
	return nil
}

// LeastServed is who was served least; nobody on days recorded before the bench told it.
func (d *Day) LeastServed() (ServedShare, bool) {
	if len(d.ServedShares) == 0 {
		return ServedShare{}, false
	}
	return slices.MinFunc(d.ServedShares, func(a, b ServedShare) int { return cmp.Compare(a.Share, b.Share) }), true
}

// CPUTime is the processor time that a day took to play, in seconds: own code and kernel.
// Days recorded before the bench told it have none.
type CPUTime struct {
	Environment []float64 `json:"world"`
	Processes   []float64 `json:"processes"`
}

// Seconds is all of it.
func (s CPUTime) Seconds() float64 {
	sum := 0.0
	for _, x := range slices.Concat(s.Environment, s.Processes) {
		sum += x
	}
	return sum
}

// FailureReason says why a day failed whatever its figure is; empty if it did not.
func (d *Day) FailureReason() string {
	var why []string
	for rule, n := range d.Violations {
		why = append(why, fmt.Sprintf("rule %s broken %d times", rule, n))
	}
	slices.Sort(why)
	if d.PlayError != "" {
		why = append(why, d.PlayError)
	}
	if s := d.CPUTime.Seconds(); s > tuning.RegressSpent {
		why = append(why, fmt.Sprintf("took %.0f s of processor time to play, %d are allowed here", s, tuning.RegressSpent))
	}
	if l, ok := d.LeastServed(); ok && l.Share < tuning.RegressServed {
		why = append(why, fmt.Sprintf("only %.2f of %s served", l.Share, l.Group))
	}
	return strings.Join(why, "; ")
}

// Generated tells whether a day was drawn for one run only, so that no other has it.
func (d *Day) Generated() bool { return strings.HasPrefix(d.Name, "fresh-") }

// Entry is one entry of the journal.
type Entry struct {
	ID        string   `json:"id"`
	Interval  []string `json:"at"` // begin and end, in RFC 3339
	Command   string   `json:"cmd"`
	Arguments []string `json:"argv"`
	Site      string   `json:"site"`
	Commit    string   `json:"head"` // the commit measured, or the one that the sources came after
	Succeeded bool     `json:"ok"`
	Error     string   `json:"error"`
	Days      []Day    `json:"days"`
}

// isComparable tells whether an entry's figures are those of whole days as a score plays
// them, and so can be compared with a score's.
func (e *Entry) isComparable() bool {
	return (e.Command == "score" || e.Command == "run") && e.Succeeded &&
		!slices.ContainsFunc(e.Arguments, func(a string) bool { return a == "--small" || a == "--no-cpu" || strings.HasPrefix(a, "--until") })
}

// ReadJournal reads the entries of a journal, oldest first. A file that is no entry is an
// error that names it; folders are passed over.
func ReadJournal(journal fs.FS) ([]Entry, error) {
	names, err := fs.Glob(journal, "*.json")
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	slices.Sort(names) // they begin with the time
	var out []Entry
	var faults []error
	for _, n := range names {
		b, err := fs.ReadFile(journal, n)
		var e Entry
		if err == nil {
			err = json.Unmarshal(b, &e)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("journal: %s: %w", path.Base(n), err))
			continue
		}
		out = append(out, e)
	}
	return out, errors.Join(faults...)
}

// dayKey names a day of a site with its seed.
type dayKey struct{ site, day string }

// Baseline is the last figure of each day that was scored.
type Baseline map[dayKey]MeasuredDay

// MeasuredDay is a day with the entry that it stands in.
type MeasuredDay struct {
	Day
	Entry Entry
}

// LatestScores gathers the last plain figure of each day; later entries win. Only scores
// count, as single runs may have been made of anything.
func LatestScores(entries []Entry) Baseline {
	out := Baseline{}
	for _, e := range entries {
		if e.Command != "score" || !e.isComparable() {
			continue
		}
		for _, d := range e.Days {
			if !d.Generated() {
				out[dayKey{e.Site, d.ID}] = MeasuredDay{d, e}
			}
		}
	}
	return out
}

// SplitLatest gives the last score of each site, and the record as it was before it. Scores
// that were cut off have neither site nor days and don't count.
func SplitLatest(entries []Entry) (Baseline, []Entry) {
	last := map[string]int{}
	for i, e := range entries {
		if e.Command == "score" && e.isComparable() {
			last[e.Site] = i
		}
	}
	var before, now []Entry
	for i, e := range entries {
		if at, ok := last[e.Site]; ok && at == i {
			now = append(now, e)
		} else {
			before = append(before, e)
		}
	}
	return LatestScores(before), now
}

func formatScore(f float64) string { return strconv.FormatFloat(f, 'f', 3, 64) }
