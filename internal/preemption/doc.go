// Package preemption decides which running tasks are stopped to free capacity for one that waits.
//
// It owns the rules of who may preempt whom, the search for machines on which preemption frees enough capacity, and the
// choice of the victims that lose the least work. It only decides: it holds no state, stops no task and writes no
// record. Which shard is looked at, what a task would lose, and the stopping itself are its caller's. All nodes find
// the same shard by what all of them know; the owner of the shard finds the machine and the victims.
//
// A preempted task leaves its machine as any other does, by its exit report (safety invariant 4). No two jobs may
// preempt each other, or they would take turns for ever.
package preemption
