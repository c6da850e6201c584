// Package offload exchanges jobs with other cells. It offers jobs that wait in this cell to cells where they are
// expected to start sooner, accepts jobs that other cells offer, and reports to each cell the status of its jobs.
//
// The state machines of package federation make the decisions; this package exchanges the messages and writes the
// records. Only the leader of a cell does so: every tuning.CellExchangeInterval it sends a Message to each other
// cell and applies the response. The package never starts or stops a task and never responds to a user.
//
// Every change is a compare-and-swap on the leader's shard record, the record of the other cell and the record of
// the job, so that a deposed leader changes nothing (safety invariants 11, 12 and 17). Nothing is sent before it
// is durable. A transaction without a response is treated as neither applied nor rejected: the next exchange starts
// from the records alone (invariants 22 and 27). If the operators' settings name no other cells, Run exchanges
// nothing.
package offload
