package regress

import (
	"errors"
	"fmt"
)

// ErrNoJournalEntry is returned if the bench succeeds without adding an entry to the journal.
var ErrNoJournalEntry = errors.New("the bench added no entry to the journal")

// NoSiteFilesError is returned for a folder that does not contain the operators' site files.
type NoSiteFilesError struct{ KitDir string }

// Error names the folder and the flag that sets it.
func (e *NoSiteFilesError) Error() string {
	return fmt.Sprintf("no site files under %s: name the folder that holds kit/ with --given", e.KitDir)
}

// NoScoreError is returned if the bench returns no score for a day on a seed.
type NoScoreError struct {
	Site, Day string
	Seed      uint64
}

// Error names the day and its seed.
func (e *NoScoreError) Error() string {
	return fmt.Sprintf("%s %s on seed %d has no score", e.Site, e.Day, e.Seed)
}

// FieldCountError is returned for a list in the journal with an unexpected number of fields.
type FieldCountError struct {
	Value string // what the list describes
	Count int
	Want  int
}

// Error names the value, and the actual and expected number of fields.
func (e *FieldCountError) Error() string {
	return fmt.Sprintf("%s: %d fields, want %d", e.Value, e.Count, e.Want)
}
