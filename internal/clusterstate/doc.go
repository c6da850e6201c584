// Package clusterstate is a node's view of the durable records: jobs, machines, shards, sessions, quotas,
// rentals and other cells, with the indexes that scheduling decisions need.
//
// A State follows the key-value store through a watch and never writes to it. What it shows may be old: only
// a record's mod revision, used as a condition of a transaction, proves that the record has not changed since
// (safety invariants 2 and 11). Only Put, Delete and PutFinalRecord change a State.
//
// Methods that say so expect the caller to hold the State's lock, at least for reading.
package clusterstate
