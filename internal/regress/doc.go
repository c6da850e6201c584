// Package regress detects regressions: it has the bench simulate days of the operators' sites with the current sources
// and compares the scores with the latest earlier ones in the journal. A day is one simulated scenario of a site. The
// bench writes the journal; this package only reads it and stores nothing itself.
package regress
