package zonehealth

import "sableusher/internal/tuning"

// HeartbeatCount counts the machines of a zone by their heartbeats. It covers the machines that
// this controller answers for and that have had the time to send one.
type HeartbeatCount struct {
	// Expected is the number of machines that should send heartbeats.
	Expected int
	// Received is the number of those whose heartbeat arrived within one heartbeat interval.
	Received int
	// ControllerInZone is set if a controller runs in the zone, which renews leases there while the
	// zone is cut off.
	ControllerInZone bool
}

// hasRecovered reports whether heartbeats arrive again from a zone that was cut off or lost.
func (c HeartbeatCount) hasRecovered() bool {
	return c.Received > 0 && float64(c.Received) >= tuning.PartitionHeardShare*float64(c.Expected)
}

// isBelow reports whether heartbeats arrived from less than a share of the machines. It is false
// for fewer than tuning.PartitionMinMachines, of which a few late heartbeats would look like a loss.
func (c HeartbeatCount) isBelow(share float64) bool {
	return c.Expected >= tuning.PartitionMinMachines && float64(c.Received) < share*float64(c.Expected)
}
