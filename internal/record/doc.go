// Package record defines the durable records of a cell: their types, their keys in the key-value store, the layout of
// a job's tasks across several records, and their encoding.
//
// The package has no clock, no I/O and no state, and does not decide when a record is written. It implements safety
// invariant 11: every record has a bounded size, and records written by older versions remain readable. Struct tags,
// key prefixes and the numeric values of enumerations are stored data and never change.
//
// Fields whose names end in Ms are Unix times in milliseconds.
package record
