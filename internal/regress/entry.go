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

// Aim is one aim of a day as the bench counted it.
type Aim struct {
	Text  string  // such as "submit 1000 ms: 0.98 (aim 0.995)"
	Worth float64 // from 0 to 1
}

// UnmarshalJSON reads the journal's pair of text and worth.
func (a *Aim) UnmarshalJSON(b []byte) error {
	var worth *float64
	pair := []any{&a.Text, &worth}
	if err := json.Unmarshal(b, &pair); err != nil {
		return fmt.Errorf("aim: %w", err)
	}
	if len(pair) != 2 {
		return fmt.Errorf("aim: %d fields, not 2", len(pair))
	}
	a.Worth = math.NaN() // not counted on that day
	if worth != nil {
		a.Worth = *worth
	}
	return nil
}

// Name is the aim without its figures.
func (a Aim) Name() string {
	name, _, _ := strings.Cut(a.Text, ": ")
	return name
}

// Day is one day of an entry.
type Day struct {
	Name     string         `json:"name"`
	ID       string         `json:"day"` // of what the day holds, its seed included
	Seed     *uint64        `json:"seed"`
	Figure   float64        `json:"G"`
	Rules    map[string]int `json:"rules"` // broken ones, with how often
	Fault    string         `json:"fault"` // why the day could not be played; empty if it could
	Restarts float64        `json:"restarts"`
	Aims     []Aim          `json:"aims"`
	Spent    Spent          `json:"spent"`
	Served   []Served       `json:"served"`
}

// Served is the share of a class's or team's work that was served on a day.
type Served struct {
	Whom  string
	Share float64
}

// UnmarshalJSON reads the journal's triple of whom, part of all work and share served.
func (s *Served) UnmarshalJSON(b []byte) error {
	var part float64
	triple := []any{&s.Whom, &part, &s.Share}
	if err := json.Unmarshal(b, &triple); err != nil {
		return fmt.Errorf("served: %w", err)
	}
	if len(triple) != 3 {
		return fmt.Errorf("served: %d fields, not 3", len(triple))
	}
	return nil
}

// Least is who was served least; nobody on days recorded before the bench told it.
func (d *Day) Least() (Served, bool) {
	if len(d.Served) == 0 {
		return Served{}, false
	}
	return slices.MinFunc(d.Served, func(a, b Served) int { return cmp.Compare(a.Share, b.Share) }), true
}

// Spent is the processor time that a day took to play, in seconds: own code and kernel.
// Days recorded before the bench told it have none.
type Spent struct {
	World     []float64 `json:"world"`
	Processes []float64 `json:"processes"`
}

// Seconds is all of it.
func (s Spent) Seconds() float64 {
	sum := 0.0
	for _, x := range slices.Concat(s.World, s.Processes) {
		sum += x
	}
	return sum
}

// Failed says why a day failed whatever its figure is; empty if it did not.
func (d *Day) Failed() string {
	var why []string
	for rule, n := range d.Rules {
		why = append(why, fmt.Sprintf("rule %s broken %d times", rule, n))
	}
	slices.Sort(why)
	if d.Fault != "" {
		why = append(why, d.Fault)
	}
	if s := d.Spent.Seconds(); s > tuning.RegressSpent {
		why = append(why, fmt.Sprintf("took %.0f s of processor time to play, %d are allowed here", s, tuning.RegressSpent))
	}
	if l, ok := d.Least(); ok && l.Share < tuning.RegressServed {
		why = append(why, fmt.Sprintf("only %.2f of %s served", l.Share, l.Whom))
	}
	return strings.Join(why, "; ")
}

// Drawn tells whether a day was drawn for one run only, so that no other has it.
func (d *Day) Drawn() bool { return strings.HasPrefix(d.Name, "fresh-") }

// Entry is one entry of the journal.
type Entry struct {
	ID   string   `json:"id"`
	At   []string `json:"at"` // begin and end, in RFC 3339
	Cmd  string   `json:"cmd"`
	Argv []string `json:"argv"`
	Site string   `json:"site"`
	Head string   `json:"head"` // the commit measured, or the one that the sources came after
	OK   bool     `json:"ok"`
	Err  string   `json:"error"`
	Days []Day    `json:"days"`
}

// plain tells whether an entry's figures are those of whole days as a score plays
// them, and so can be compared with a score's.
func (e *Entry) plain() bool {
	return (e.Cmd == "score" || e.Cmd == "run") && e.OK &&
		!slices.ContainsFunc(e.Argv, func(a string) bool { return a == "--small" || a == "--no-cpu" || strings.HasPrefix(a, "--until") })
}

// Read reads the entries of a journal, oldest first. A file that is no entry is an
// error that names it; folders are passed over.
func Read(journal fs.FS) ([]Entry, error) {
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

// key names a day of a site with its seed.
type key struct{ site, day string }

// Record is the last figure of each day that was scored.
type Record map[key]Measured

// Measured is a day with the entry that it stands in.
type Measured struct {
	Day
	Entry Entry
}

// Last gathers the last plain figure of each day; later entries win. Only scores
// count, as single runs may have been made of anything.
func Last(entries []Entry) Record {
	out := Record{}
	for _, e := range entries {
		if e.Cmd != "score" || !e.plain() {
			continue
		}
		for _, d := range e.Days {
			if !d.Drawn() {
				out[key{e.Site, d.ID}] = Measured{d, e}
			}
		}
	}
	return out
}

// Newest gives the last score of each site, and the record as it was before it. Scores
// that were cut off have neither site nor days and don't count.
func Newest(entries []Entry) (Record, []Entry) {
	last := map[string]int{}
	for i, e := range entries {
		if e.Cmd == "score" && e.plain() {
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
	return Last(before), now
}

func figure(f float64) string { return strconv.FormatFloat(f, 'f', 3, 64) }
