// Package offload exchanges jobs with other cells: it offers jobs that wait here to cells in which they are
// expected to start sooner, runs the jobs that others offer, and reports to each cell what became of its own.
//
// It owns the exchange that the state machines of package federation decide about, and is a duty of the leader:
// once a second the leader sends each other cell a Message and applies the answer. It never starts or stops a
// task and never answers a user. Every change is a compare-and-swap on the leader's shard record, the record of
// the other cell and the job's own record, so that a deposed leader changes nothing (safety invariants 11, 12
// and 17), and nothing is sent before it is durable. A transaction without an answer counts as neither applied
// nor refused: the next exchange decides by the records alone (invariants 22 and 27). Where the operators name
// no other cells, nothing of this runs.
package offload
