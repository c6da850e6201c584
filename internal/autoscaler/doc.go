// Package autoscaler keeps the number of rented machines in line with demand.
//
// Every controller returns to the cloud the machines of its own shards that are being deleted. The
// leader alone decides on the size: it rents machines for work that did not fit and for headroom
// (scale out), drains those that stood idle (scale in), and reconciles the records with the cloud's
// list. Sizing is pure arithmetic on the scheduler's unmet demand; the driver around it makes the
// calls and the changes to records.
//
// It carries safety invariant 9: the name of a rental is durable before the cloud is asked and is
// never used again, and a machine that nobody knows is adopted. What it marks as being deleted has
// left only once the cloud has confirmed the deletion (invariant 4). Whatever it waits for ends by
// itself (invariant 25): a rental without an answer is asked for again under the same name, a
// refusal has a deadline, and machines that the cloud no longer lists are deleted. It never decides
// whether a task has ended.
package autoscaler
