package zonehealth

import "sableusher/internal/tuning"

// HeartbeatCount counts the machines of a zone by their heartbeats. It covers the machines that
// this node is responsible for and that have been up long enough to send one.
type HeartbeatCount struct {
	// Expected is the number of machines that should send heartbeats.
	Expected int
	// Received is the number of those machines whose heartbeat arrived within the last heartbeat
	// interval.
	Received int
	// ControllerInZone is set if a controller runs in the zone. It renews the leases of the zone's
	// agents while the zone is partitioned.
	ControllerInZone bool
}

// hasRecovered reports whether heartbeats arrive from enough machines for a zone that is partitioned or
// lost to return.
func (c HeartbeatCount) hasRecovered() bool {
	return c.Received > 0 && float64(c.Received) >= tuning.PartitionReportingShare*float64(c.Expected)
}

// isBelow reports whether heartbeats arrived from less than the given share of the machines. It
// returns false if fewer than tuning.PartitionMinMachines are expected, since in so small a zone a
// few late heartbeats would look like an outage.
func (c HeartbeatCount) isBelow(share float64) bool {
	return c.Expected >= tuning.PartitionMinMachines && float64(c.Received) < share*float64(c.Expected)
}
