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

// Commands of the bench, as journal entries name them.
const (
	commandScore = "score"
	commandRun   = "run"
	commandHunt  = "hunt"
)

// Entry is a journal entry, which records one run of the bench.
type Entry struct {
	ID        string   `json:"id"`
	Interval  []string `json:"at"` // start and end time, in RFC 3339
	Command   string   `json:"cmd"`
	Arguments []string `json:"argv"`
	Site      string   `json:"site"`
	Commit    string   `json:"head"` // the measured commit, or the parent of uncommitted sources
	Succeeded bool     `json:"ok"`
	Error     string   `json:"error"`
	Days      []Day    `json:"days"`
}

// isComparable reports whether the entry's scores can be compared with those of the score
// command: the run succeeded and simulated whole, unchanged days.
func (e *Entry) isComparable() bool {
	return (e.Command == commandScore || e.Command == commandRun) && e.Succeeded &&
		!slices.ContainsFunc(e.Arguments, changesDay)
}

// changesDay reports whether an argument makes the bench simulate a day that differs from the site's.
func changesDay(argument string) bool {
	return argument == "--small" || argument == "--no-cpu" || strings.HasPrefix(argument, "--until")
}

// isScore reports whether the entry is a comparable entry of the score command.
func (e *Entry) isScore() bool { return e.Command == commandScore && e.isComparable() }

// ReadJournal returns the entries of a journal, oldest first. If a file is not a valid entry,
// ReadJournal returns an error that names it, together with the entries that it could read.
// It does not descend into folders.
func ReadJournal(journal fs.FS) ([]Entry, error) {
	names, err := fs.Glob(journal, "*.json")
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	slices.Sort(names) // file names begin with the time
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
