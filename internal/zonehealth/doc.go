// Package zonehealth tracks the health of each zone as one controller node observes it, by the share of
// the zone's machines whose heartbeats arrive and by how long heartbeats have been missing.
//
// The package is a pure state machine: its input is heartbeat counts and the time, its output is the
// state of each zone. It stores no records and uses no clock and no network. A state is the estimate
// of one node and only a hint (safety invariant 15). It decides where work is placed, and the
// order and pace of deletions. It never proves that a task has ended; that takes the proofs of
// invariant 4. Every state other than serving ends after a bounded time or names the event that it
// waits for (invariant 25; Tracker.WaitingFor).
//
// The names below are the values of the metric label and appear in the log and in the operators'
// documentation. They call a suspected zone doubted and a partitioned zone cut. Heartbeats are
// counted over one heartbeat interval:
//
//	state      entered from       when
//	serving    (initial state)
//	           doubted            heartbeats arrived from at least half of the machines
//	           returning          heartbeats arrived from at least half of the machines and the
//	                              probation has ended
//	doubted    serving            heartbeats arrived from at least a quarter of the machines, but
//	                              from fewer than half
//	cut        serving, doubted,  heartbeats arrived from fewer than a quarter of the machines:
//	           returning          the links to the zone or the zone itself failed
//	lost       cut                the zone has been cut for the duration of an agent's lease, or,
//	                              where a controller in the zone renews the leases, for
//	                              tuning.PartitionedZoneControllerGrace
//	returning  cut, lost          heartbeats arrive again from at least a quarter of the machines,
//	                              or a lost zone has no machines left
//
// A zone with fewer than tuning.PartitionMinMachines expected machines never becomes doubted or cut.
//
// Each further return of a flapping zone doubles its probation, up to a bound. One return is
// forgiven (no longer counted) for each tuning.ProbationForgiveAfter that the zone then serves
// without interruption.
package zonehealth
