// Package preemption decides which running tasks are stopped to free capacity for a pending task.
//
// It owns the rules about which job may preempt which, the search for machines on which preemption frees enough
// capacity, and the choice of the victims that lose the least work. It only decides: it holds no state, stops no task
// and writes no record. The caller chooses the shard to search, estimates the work that a task would lose, and stops
// the victims. All nodes choose the same shard, based on state that all of them share; the owner of that shard chooses
// the machine and the victims.
//
// The capacity of a preempted task is freed by its exit report, as for any other task (safety invariant 4). No two jobs
// may preempt each other; otherwise each would stop the other in turn, without end.
package preemption
