// Package failuredetector decides which machines count as dead, and are deleted, because this node receives no
// heartbeats from them. A machine that has failed has to be replaced soon. A machine that is only partitioned from
// this node keeps running its tasks, and deleting it loses them. The detector therefore considers what the silent
// machines have in common: if the heartbeats of a whole zone stop at the same time, it treats the zone as partitioned
// and keeps its machines until their leases have expired. Only machines whose services can start elsewhere are deleted
// earlier, one by one; empty machines, and machines in a zone with a controller, are kept longer.
//
// The package owns the peers' responses about suspected machines, the pace of deletions, and the list of machines that
// were in a zone when it was partitioned. Package zonehealth derives the states of the zones from the heartbeat counts
// that this package passes to it.
//
// The package is a pure state machine, without a clock, network access or records. Tasks leave a machine only when
// the cloud has deleted it (safety invariant 4), so a wrong assessment costs time or work but violates no invariant.
// A machine with a task whose cancellation is overdue is deleted even if there are reasons to wait (invariants 5 and
// 28).
package failuredetector
