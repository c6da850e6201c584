// Package kvstore is the client of the consensus-backed key-value store.
//
// It owns everything between the store's HTTP interface and the rest of the
// program: requests paced within this node's share of the store's budget
// (Client), compare-and-swap transactions in group commits (Committer), and a
// watch cache of the keys under a prefix with a read barrier (WatchCache).
//
// It never interprets a value, and it never takes the lack of an answer for an
// outcome. ErrOutcomeUnknown means that a transaction may have been applied or
// may be applied later; only ErrConditionFailed and ErrUnavailable prove that
// it wasn't. It carries the store's part of safety invariants 2, 22 and 27
// (conditions, late transactions, unknown outcomes), 3 (the watch cache never
// runs backwards) and 7 (the read barrier).
package kvstore
