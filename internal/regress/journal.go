package regress

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// Commands of the bench that the journal's entries name.
const (
	commandScore = "score"
	commandRun   = "run"
	commandHunt  = "hunt"
)

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

// isComparable tells whether an entry's scores are those of whole days as a score plays
// them, and so can be compared with a score's.
func (e *Entry) isComparable() bool {
	return (e.Command == commandScore || e.Command == commandRun) && e.Succeeded &&
		!slices.ContainsFunc(e.Arguments, changesDay)
}

// changesDay tells whether an argument of the bench makes a day another than it is.
func changesDay(argument string) bool {
	return argument == "--small" || argument == "--no-cpu" || strings.HasPrefix(argument, "--until")
}

// isScore tells whether an entry is a score that counts.
func (e *Entry) isScore() bool { return e.Command == commandScore && e.isComparable() }

// ReadJournal reads the entries of a journal, oldest first. A file that is no entry is an
// error that names it, beside the entries that could be read; folders are skipped.
func ReadJournal(journal fs.FS) ([]Entry, error) {
	names, err := fs.Glob(journal, "*.json")
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	slices.Sort(names) // they begin with the time
	var entries []Entry
	var errs []error
	for _, name := range names {
		entry, err := readEntry(journal, name)
		if err != nil {
			errs = append(errs, fmt.Errorf("journal: %s: %w", path.Base(name), err))
			continue
		}
		entries = append(entries, entry)
	}
	return entries, errors.Join(errs...)
}

func readEntry(journal fs.FS, name string) (entry Entry, err error) {
	data, err := fs.ReadFile(journal, name)
	if err != nil {
		return Entry{}, err
	}
	err = json.Unmarshal(data, &entry)
	return entry, err
}
