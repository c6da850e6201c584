// Package scheduler decides which waiting task starts on which machine, carries out what has become of bound tasks, and
// changes the records of jobs and machines accordingly.
//
// It works in cycles. A cycle takes in what has changed, reconciles bound tasks with what agents report, brings the
// inventory of free capacity up to date, orders the queue, places what can be placed, preempts for what can't, and
// commits its decisions. A cycle writes nothing while it decides; its changes are committed concurrently after it, and
// their bindings count as running until their outcome is known.
//
// The package owns the scheduling of this node's shards: changes in flight, reservations, backoffs, confirmed deletions
// of machines, the order of the queue and the bookkeeping of the learner. It never speaks to agents or to the cloud:
// package agent commands what it sees bound, package autoscaler returns the machines that are given up. The rules stand
// in packages of their own, which act on nothing: jobqueue (order), binpack (capacity), preemption (victims), reconcile
// (fate of bound tasks), failuredetector (which machines are given up), evacuation (in which order), fairshare, quota.
//
// Its changes are compare-and-swap transactions on the records that they rest on and on the ownership of the shards
// concerned (safety invariants 2, 3 and 8). A task is bound durably before it is started (1), and is released only by
// proof that it has left its machine (4). A change whose outcome stays unknown is fenced before anything of it counts
// as free (22, 27).
//
// Where to begin: engine.go holds the engine, its loop and the steps of a cycle in their order; cycle.go what a cycle
// knows, and its placement of jobs; commit.go what becomes of its changes.
package scheduler
