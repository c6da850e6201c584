// Package jobqueue orders the waiting jobs by scheduling precedence.
//
// Jobs are compared by priority first, which nothing else overrides; then by whether they are
// within their team's guarantee, by fair share, by whether an objective can still be met, by size
// while capacity is short, and by whether their deadline is near. Among jobs of equal precedence the
// caller may choose by a learned value. Otherwise the job with the earliest deadline comes first,
// and among equal deadlines the one that was ready to start first.
//
// The package owns the order of the queue, and computes which objectives can be met together. It
// reads no clock, no record and nothing from the network: if the passing of time changes a job's
// position, the caller puts the job again with a new Key. The order only affects when a job's tasks
// are placed, so no safety invariant depends on it. Putting or deleting a job takes time logarithmic
// in the number of waiting jobs.
package jobqueue
