// Package agent keeps a controller node's side of the protocol with the agents, the workers that run tasks on
// machines: it answers their heartbeats, renews their leases and sends them commands.
//
// The package owns what the agents last reported, which start commands may still be carried out, and which
// stops are requested. It never decides where a task runs and never writes a record: the scheduler reads
// MachineStatus and TaskObservation and does both.
//
// # Safety invariants
//
//   - 1: an agent is only told to start what the records bind to it.
//   - 4, 20: a TaskObservation proves that a task has left its machine only if the report it rests on is newer
//     than the start: same session, newest sequence, and the present fencing token for an absence.
//   - 5, 23: a lease is renewed only where a cancellation that this node has not seen yet stays a promise with
//     a clock; leaseKeeper says when.
//   - 6, 21: a direct start command without an answer stays pending until the agent shows a higher fencing
//     token or a new session; pendingStarts keeps it.
//   - 24: a process that stood still renews nothing until its cluster state is confirmed, and the reports of an
//     earlier session change nothing.
//   - 28: a machine that is reachable in one direction only is told apart from one that is silent; see below.
//
// # One-way failures
//
// Directions are named from the machine's side, and by the same words everywhere:
//
//   - inbound lost: the machine's heartbeats arrive here, but answers and direct commands do not reach it. Its
//     leases lapse while it looks alive.
//   - outbound lost: the machine answers direct commands, but its heartbeats reach no node. Nothing renews its
//     lease.
//
// linkState follows both.
package agent
