// Package clusterstate is a node's view of the durable records: jobs, machines, parts,
// sessions, grants and rentals, with the indexes that decisions need.
//
// It owns the form of the records, and how old and new forms are read. It follows
// the state service and never writes: what it shows may be old, and only a record's
// stamp, used as a guard, proves that nothing has changed since (safety invariants 2
// and 11). Its lock guards everything in it; Put and Drop alone change it.
package clusterstate
