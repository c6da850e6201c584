// Package zonehealth follows the health of each zone as one controller sees it: whether heartbeats
// arrive from its machines, for how long they did not, and how the zone comes back.
//
// The package is one pure state machine: counted heartbeats and the time go in, states come out. It
// owns no record and uses no clock and no network. A state is one controller's opinion and a hint
// (safety invariant 15): it decides where work goes, in which order and at which pace, and never
// whether a task has ended, which takes the proofs of invariant 4. Every state but serving ends by
// itself or names what it waits for (invariant 25; Tracker.WaitingFor).
//
// The states' names are those of the metric label, the log and the operators' pages:
//
//	state      from        when
//	serving    (first)     until something is wrong
//	doubted    serving     heartbeats came from fewer than half of the machines within one
//	                       heartbeat interval, but from more than a quarter
//	cut        any         heartbeats came from fewer than a quarter: the links are down, or the
//	                       zone is
//	lost       cut         the leases of its agents must have expired, or, where a controller in
//	                       the zone renews them, for as long as is worth waiting for
//	returning  cut, lost   heartbeats arrive again: until its probation is over
//	serving    doubted     heartbeats came from at least half
//	           returning   heartbeats came from at least half and the probation is over
//
// A zone that returns again and again is on probation for longer each time, up to a bound; it is
// forgiven one return for each tuning.ZoneProbationForgiveAfter that it then serves without a break.
package zonehealth
