// Package autoscaler keeps the number of rented machines in line with demand.
//
// Every controller node deletes, in the cloud, those machines of its own shards that are marked for deletion. Only
// the leader changes the number of machines: it rents machines for work that did not fit and for
// headroom (scale out), drains machines that have been idle (scale in), and reconciles the machine
// records with the cloud's list. The planning code computes the changes from the scheduler's unmet
// demand without side effects; the rest of the package calls the cloud and commits the records.
//
// The package ensures three safety invariants:
//   - Invariant 9: the name of a rental is durable before the cloud is called and is never reused,
//     and a listed machine that has no record is adopted.
//   - Invariant 4: a machine that is marked as being deleted counts as gone only once the cloud has
//     confirmed the deletion.
//   - Invariant 25: no wait is unbounded. A rental request without a response is retried under the
//     same name, a refusal expires, and machines that the cloud no longer lists are deleted.
//
// The package never decides whether a task has ended.
package autoscaler
