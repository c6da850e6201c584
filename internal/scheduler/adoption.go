package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// adoptMachines records the machines whose agents have sent heartbeats and whose records are missing or out of date.
func (c *cycle) adoptMachines() {
	heartbeats := c.agents.TakeOutdatedRecords()
	for _, name := range c.smallestFirst(heartbeats) {
		heartbeat := heartbeats[name]
		c.adoptMachine(name, &heartbeat)
	}
}

// smallestFirst returns the names of machines in ascending order of their cores. When a cluster starts, many more
// machines appear at once than the key-value store can record in a second, and services are placed first. If only large
// machines were recorded by then, services would occupy these for as long as they run, and larger tasks would lack
// them.
func (c *cycle) smallestFirst(heartbeats map[string]wire.Heartbeat) []string {
	cores := func(name string) float64 { return c.cluster.Catalog.Types[heartbeats[name].MachineType].CPUs }
	return slices.SortedFunc(maps.Keys(heartbeats), func(a, b string) int {
		return cmp.Or(cmp.Compare(cores(a), cores(b)), cmp.Compare(a, b))
	})
}

// adoptMachine records a machine as its heartbeat describes it. It ignores machines that are being deleted or were
// deleted recently: a heartbeat delayed by a partition may arrive long after the deletion, and a record created from
// it would count as capacity that doesn't exist.
func (c *cycle) adoptMachine(name string, heartbeat *wire.Heartbeat) {
	shard := record.ShardOf(name, c.cluster.ShardCount)
	if !c.shards.owns(shard) || c.changes.inFlight(record.MachineKey(name)) {
		return
	}
	machine := c.cluster.Machines[name]
	if machine != nil && machine.Deleting || machine == nil && c.deletedMachines.hasTombstone(name) {
		return
	}
	update := machineUpdate{
		kind: changeOfMachineUp, name: name, shard: shard, machine: record.Machine{CreatedAtMs: c.now.UnixMilli()},
	}
	if machine != nil {
		update = newMachineUpdate(changeOfMachineUp, machine)
	} else {
		c.log.Info("adopting a machine", "machine", name, "machine_type", heartbeat.MachineType, "zone", heartbeat.Zone)
	}
	session := recordedSession(heartbeat.Session)
	newSession := machine != nil && update.machine.Session != session
	status := c.agents.MachineStatus(name, c.shards.fencingTokens[shard])
	update.machine.Up = isUp(status, &update.machine)
	if machine != nil && machine.Up && !update.machine.Up {
		c.logMarkedDown(machine, oneWayReason(status))
	}
	update.machine.Session = session
	update.machine.Type, update.machine.Zone = heartbeat.MachineType, heartbeat.Zone
	update.machine.Spot, update.machine.Address = heartbeat.Spot, heartbeat.Address
	c.writeMachine(update).Priority = adoptionPriority(machine, newSession)
}

// recordedSession returns an agent's session as it is stored in machine records, where 0 stands for the first
// session.
func recordedSession(session uint64) uint64 {
	if session == 1 {
		return 0
	}
	return session
}

// isUp reports whether a machine is to be recorded as up. recorded is its record so far. A machine that is reachable
// in only one direction is not recorded as up, even when a new session of it is recorded.
func isUp(status agent.MachineStatus, recorded *record.Machine) bool {
	switch {
	case status.OutboundLost:
		return false
	case status.InboundConfirmed:
		return true
	default:
		return !status.InboundLost && (recorded.Up || recorded.Address == "")
	}
}

// oneWayReason returns the direction in which a machine is unreachable, for the log.
func oneWayReason(status agent.MachineStatus) string {
	if status.OutboundLost {
		return reasonOutboundLost
	}
	return reasonInboundLost
}

// adoptionPriority returns the priority of recording a machine. machine is nil if it has no record yet.
//
// An update of an existing record without a new session, which marks the machine as up or down, has background
// priority: other nodes use it only for planning, and the owner relies on the heartbeats that it receives. A new
// session is urgent: until it is recorded, other nodes bind gangs and services to the old session and this node ends
// those bindings at once, again and again. When the leases of a whole zone have expired, these changes can use up the
// whole request budget, so that the new sessions are never recorded.
func adoptionPriority(machine *clusterstate.Machine, newSession bool) kvstore.Priority {
	switch {
	case newSession:
		return kvstore.PriorityUrgent
	case machine != nil:
		return kvstore.PriorityBackground
	default:
		return kvstore.PriorityNormal
	}
}
