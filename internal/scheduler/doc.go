// Package scheduler decides which pending task starts on which machine, processes the outcome of bound tasks, and
// updates the records of jobs and machines accordingly.
//
// It works in cycles. A cycle reads what has changed since the last one, reconciles bound tasks with what agents
// report, refreshes the inventory of free capacity, orders the queue, places the tasks that fit, preempts running
// tasks for those that don't, and hands its decisions over to be committed. A cycle writes nothing while it decides.
// Its changes are committed concurrently afterwards, and the bindings in them count as running until the outcome of
// their change is known.
//
// The package owns the scheduling state of this node's shards: changes in flight, reservations, backoffs, confirmed
// deletions of machines, the order of the queue and the state of the learner. It never communicates with agents or
// with the cloud: package agent sends the commands for the bindings that it finds in the cluster state, and package
// autoscaler deletes at the cloud the machines that this package marks as deleting. The policies are in packages of
// their own that have no side effects: jobqueue (order of the queue), binpack (capacity), preemption (choice of
// victims), reconcile (next state of bound tasks), failuredetector (machines to delete), evacuation (order in which
// lost machines are deleted), fairshare, quota.
//
// Each change is a compare-and-swap transaction with conditions on the records that the decision was based on and on
// the ownership of the shards concerned (safety invariants 2, 3 and 8). A task is bound durably before it is started
// (invariant 1), and is released only on proof that it has left its machine (invariant 4). If the outcome of a change
// stays unknown, its shards are fenced before any resource that it uses counts as free (invariants 22 and 27).
//
// Entry points for reading: engine.go has the engine, its loop and the steps of a cycle in order; cycle.go has the
// state of a cycle and the placement of jobs; commit.go commits the changes.
package scheduler
