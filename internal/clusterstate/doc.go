// Package clusterstate caches the durable records on a node: jobs, machines, shards, node sessions, quotas,
// rentals and other cells. It also maintains the indexes that scheduling decisions need.
//
// A State is updated by a watch on the key-value store and never writes to the store. Its contents may be stale:
// only a transaction that has a record's mod revision as a condition proves that the record has not changed since
// it was read (safety invariants 2 and 11). Only Put, Delete and PutFinalRecord change a State.
//
// Methods that say so require the caller to hold the State's lock, at least for reading.
package clusterstate
