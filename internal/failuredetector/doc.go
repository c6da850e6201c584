// Package failuredetector decides which machines that are not heard from are given up. A machine that died has
// to be replaced soon; one that is only cut off from this node runs its tasks on, and deleting it loses them. So
// silence is judged by what the suspected machines have in common: where a whole zone falls silent at once, the
// zone is cut off, and its machines are left alone until their leases have expired.
//
// The package owns what the peers answered about suspected machines, the pace of deletions and which machines
// stood in a zone when it was cut off. Package zonehealth makes the zones' states of the counts it is given.
//
// It is a pure state machine: it has no clock, no network and no records. What it gives up leaves a machine by
// the cloud's deletion and nothing else (safety invariant 4), so a wrong assessment costs time or work and never
// breaks a rule. A machine that holds a task whose cancellation is overdue is given up whatever else speaks for
// waiting (invariants 5 and 28).
package failuredetector
