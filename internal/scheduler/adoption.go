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

// adoptMachines records the machines whose agents have sent heartbeats and whose records are missing or behind.
func (c *cycle) adoptMachines() {
	heartbeats := c.agents.TakeAdoptions()
	for _, name := range c.smallestFirst(heartbeats) {
		heartbeat := heartbeats[name]
		c.adoptMachine(name, &heartbeat)
	}
}

// smallestFirst returns the names of machines, those with the fewest cores first. What the key-value store takes in a
// second is little beside a cluster that comes up at once, and services, which are placed first then, should find
// small machines before they take the place of larger tasks for as long as they run.
func (c *cycle) smallestFirst(heartbeats map[string]wire.Heartbeat) []string {
	cores := func(name string) float64 { return c.cluster.Catalog.Types[heartbeats[name].MachineType].CPUs }
	return slices.SortedFunc(maps.Keys(heartbeats), func(a, b string) int {
		return cmp.Or(cmp.Compare(cores(a), cores(b)), cmp.Compare(a, b))
	})
}

// adoptMachine records a machine as its heartbeat describes it. It leaves alone what is being deleted and what was
// deleted lately: a heartbeat that a partition held back may come long after the deletion, and a record made of it
// would be capacity that is not there.
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
		update = updateOf(changeOfMachineUp, machine)
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

// recordedSession is an agent's session as machines' records hold it: the first one is left out.
func recordedSession(session uint64) uint64 {
	if session == 1 {
		return 0
	}
	return session
}

// isUp reports whether a machine is to be recorded as up, given its record so far. A new session of a machine that can
// be reached in one direction only is recorded, but not that it is up.
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

// oneWayReason says in which direction a machine can't be reached, for the log.
func oneWayReason(status agent.MachineStatus) string {
	if status.OutboundLost {
		return reasonOutboundLost
	}
	return reasonInboundLost
}

// adoptionPriority is the priority of recording a machine; machine is nil if it has no record yet. That a machine is
// up can wait: other nodes only plan with it, its owner uses it at once. A new session can't: other nodes bind gangs
// and services to the one on record, which this node ends at once, and both over and over. After a zone's leases had
// expired that used up the whole budget, so that the records were never mended.
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
