// Package kvstore is the client of the consensus-backed key-value store.
//
// It consists of a client whose request and write rates stay within this node's
// share of the store's limits (Client), a committer that groups compare-and-swap
// transactions into larger ones (Committer), and a watch cache of the keys under
// a prefix, with a read barrier (WatchCache).
//
// The package never interprets a value, and never treats a missing response as
// an outcome. ErrOutcomeUnknown means that a transaction may have been applied or
// may be applied later; ErrConditionFailed and ErrUnavailable prove that it was
// not applied, and after ErrRejected it counts as not applied. The package
// implements the store's part of safety invariants 2, 22 and 27 (conditions, late
// transactions, unknown outcomes), 3 (the revision of the watch cache never
// decreases) and 7 (the read barrier).
package kvstore
