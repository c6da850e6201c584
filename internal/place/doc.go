// Package place decides which waiting task starts on which machine, carries out
// what became of bound tasks, and changes the jobs' records accordingly.
//
// A round takes in what changed, ends what has ended, and gives room to what waits; its
// changes are transactions guarded by the records they rest on and by the ownership
// of the parts concerned (safety invariants 2, 3 and 8). It binds before anything
// is launched (1), and releases a task only by proof that it has left its machine
// (4). It never speaks to workers or the cloud: package fleet orders what it sees
// bound, package pool returns what is given up.
//
// Files by duty: engine (rounds and changes on their way), place (who gets room),
// room (machines and what they have free), value (learner), settle (tasks that ended),
// silent (machines given up), downstream (jobs that fall with others), moves (old records
// split). The order of what waits is package order's, the judgement of silence package
// silence's.
package place
