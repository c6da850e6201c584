// Package scheduler decides which waiting task starts on which machine, carries out
// what became of bound tasks, and changes the jobs' records accordingly.
//
// A round takes in what changed, ends what has ended, and gives room to what waits; its
// changes are transactions guarded by the records they rest on and by the ownership
// of the parts concerned (safety invariants 2, 3 and 8). It binds before anything
// is launched (1), and releases a task only by proof that it has left its machine
// (4). It never speaks to workers or the cloud: package fleet orders what it sees
// bound, package pool returns what is given up.
//
// What is decided stands in packages of their own, which act on nothing: order (of what
// waits), fit (room on machines), preempt (who makes room for whom), settle (what becomes of
// a bound task), silence (which machines are given up). Files here by duty: engine (rounds
// and changes on their way), place and gang (who gets room), room (the machines as fit is
// told of them), preempt and settle (carrying out), changes (records and their guards),
// value (learner), silent (machines given up), downstream (jobs that fall with others),
// moves (old records split).
package scheduler
