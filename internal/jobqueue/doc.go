// Package jobqueue orders the waiting jobs by scheduling precedence.
//
// Jobs are compared by priority first, which nothing else overrides; then by whether they lie
// within their team's guarantee, by fair share, by whether an objective can still be met, by size
// while capacity is short, and by closeness to the deadline. Among jobs of equal precedence the
// caller may choose by a learned value; otherwise the earliest deadline and then the earliest
// arrival come first.
//
// The package owns the queue's order and the choice of the objectives that can be met together. It
// never reads a clock, a record or the network: what follows from the passing of time reaches it as
// a new Key. An order decides only when a job's tasks are placed, so none of the safety invariants
// rests on it. A change of one job costs the logarithm of the number of waiting jobs.
package jobqueue
