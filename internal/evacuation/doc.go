// Package evacuation plans in which order lost machines are given up.
//
// A machine is given up whole, and only then can its tasks start elsewhere. Deletions are paced and
// capacity may be short, so the order decides who notices the loss. A plan is a list of Steps that
// can be printed: the tests, the log and the driver read the same value.
//
// The package is pure and keeps no state: a plan is made anew from what is known each time it is
// needed, so that it follows every change. It deletes nothing itself and never says that a task has
// ended (safety invariants 4 and 15): a task leaves its machine by the cloud's deletion, whatever
// the order.
//
// The order:
//
//	services  the machine with a replica of the service that has the fewest left, counting what
//	          the steps before restore: one replica of each service before the second of any
//	gangs     gang by gang, as one can start again only once all its machines are given up: the
//	          higher priority first, then the one on fewer machines, then the one with more tasks
//	arrays    by priority, then by the number of tasks on the machine
//	nothing   machines without tasks, last
package evacuation
