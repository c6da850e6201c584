package regress

import (
	"errors"
	"fmt"
)

// ErrNoJournalEntry is a bench that ended well and left no entry in the journal.
var ErrNoJournalEntry = errors.New("the bench left no entry in the journal")

// NoSiteFilesError is a folder without the operators' site files.
type NoSiteFilesError struct{ KitDir string }

// Error names the folder and what to do.
func (e *NoSiteFilesError) Error() string {
	return fmt.Sprintf("no site files under %s: name the folder that holds kit/ with --given", e.KitDir)
}

// NoScoreError is a day that gave no score on a seed.
type NoScoreError struct {
	Site, Day string
	Seed      uint64
}

// Error names the day and its seed.
func (e *NoScoreError) Error() string {
	return fmt.Sprintf("%s %s on seed %d gave no figure", e.Site, e.Day, e.Seed)
}

// FieldCountError is a list in the journal that has not as many fields as it should.
type FieldCountError struct {
	Value string
	Count int
	Want  int
}

// Error names the value and both numbers.
func (e *FieldCountError) Error() string {
	return fmt.Sprintf("%s: %d fields, not %d", e.Value, e.Count, e.Want)
}
