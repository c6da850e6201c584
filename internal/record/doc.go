// Package record defines the durable records of a cell: their types, the keys under which the key-value
// store holds them, how a job's tasks are laid out over several records, and how all of it is encoded.
//
// The package is pure: it has no clock, no I/O and no state, and never decides when a record is written.
// It carries safety invariant 11: every record has a bounded size, and records written by older versions
// stay readable. Struct tags, key prefixes and the numbers of enumerations are stored data and never change.
//
// Times whose names end in Ms are milliseconds of Unix time.
package record
