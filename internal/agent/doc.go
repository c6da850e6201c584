// Package agent implements a controller node's side of the protocol with the agents, which run tasks on the machines:
// it answers their heartbeats, renews their leases and sends them commands. Commands are sent in the response to a
// heartbeat, or directly, in an HTTP request to the agent. Each heartbeat, and each response to a direct command, has
// a report of the machine's tasks.
//
// The package owns the last report of each agent, the start commands that may still be carried out, and the requests
// to stop tasks. It does not decide where a task runs and does not write records. The scheduler does both, based on
// MachineStatus and TaskObservation.
//
// # Safety invariants
//
//   - 1: an agent is only commanded to start tasks that the records bind to its machine.
//   - 4, 20: a TaskObservation proves that a task has left its machine only if the underlying report is newer than
//     the start: it has the same session and the newest sequence number, and, to prove absence, the owner's current
//     fencing token.
//   - 5, 23: a lease is renewed only if that cannot break the deadline of a cancellation that this node has not
//     seen yet. leaseKeeper has the rules.
//   - 6, 21: a direct start command without a response stays pending until the agent reports a higher fencing
//     token or a new session. pendingStarts keeps track of it.
//   - 24: after a process was suspended, it renews no lease until its cluster state is confirmed. Reports of an
//     earlier session change nothing.
//   - 28: a machine that is reachable in only one direction is distinguished from a machine that is not reachable
//     at all; see below.
//   - 31: an agent is told to forget an attempt only by a message with a higher fencing token than any direct
//     start that was sent to it before, so that no copy of such a start is accepted any more. issuedToken keeps track
//     of it.
//
// # One-way failures
//
// Directions are named from the machine's point of view:
//
//   - inbound lost: the machine's heartbeats arrive here, but responses and direct commands do not reach it. Its
//     leases expire although it seems to be alive.
//   - outbound lost: the machine answers direct commands, but its heartbeats reach no node. Its lease is not
//     renewed.
//
// linkState tracks both directions.
package agent
