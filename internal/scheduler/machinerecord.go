package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/failuredetector"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// machineUpdate is a machine's record as it shall be.
type machineUpdate struct {
	kind        changeKind
	name        string
	shard       int
	modRevision uint64 // of the record that it replaces; 0: there is none
	machine     record.Machine
}

// updateOf is an update that leaves a machine's record as it is.
func updateOf(kind changeKind, machine *clusterstate.Machine) machineUpdate {
	return machineUpdate{
		kind: kind, name: machine.Name, shard: machine.Shard, modRevision: machine.ModRevision,
		machine: machine.Machine,
	}
}

// writeMachine adds the change of a machine's record. The caller may set the priority of the transaction returned.
func (c *cycle) writeMachine(update machineUpdate) *kvstore.Transaction {
	key := record.MachineKey(update.name)
	change := &recordChange{
		kind: update.kind, subject: update.name, keys: []string{key}, shards: []int{update.shard},
		harmlessWhenLate: true,
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{
				c.ownershipCondition(update.shard),
				{Key: key, ModRevision: update.modRevision},
			},
			Ops: []wire.Op{kvstore.PutOp(key, update.machine)},
		},
	}
	c.outgoing = append(c.outgoing, change)
	return &change.transaction
}

// Reasons for which a machine that is there is recorded as down, for the log.
const (
	reasonInboundLost  = "inbound lost"
	reasonOutboundLost = "outbound lost"
)

// markMachineDown records that a machine which can be reached in one direction only is not up, until that is over. Its
// owner knows it anyway; but gangs and services are placed by other nodes too, to which it would look like the emptiest
// machine there is, and what they bind to it would wait until its lease expires, over and over.
func (c *cycle) markMachineDown(machine *clusterstate.Machine, reason string) {
	c.logMarkedDown(machine, reason)
	update := updateOf(changeOfMachineDown, machine)
	update.machine.Up = false
	c.writeMachine(update).Priority = kvstore.PriorityHigh
	c.inventoryCache.toRefresh.add(machine.Name)
}

func (c *cycle) logMarkedDown(machine *clusterstate.Machine, reason string) {
	c.log.Info("machine marked as down", "machine", machine.Name, "reason", reason, "count", len(machine.Bindings))
}

// deleteMachine marks a machine to be deleted at the cloud. What runs on it waits for this change as for one of its
// own: behind the ends of arrays' tasks, replicas would wait for seconds more.
func (c *cycle) deleteMachine(deletion failuredetector.Deletion) {
	machine := c.cluster.Machines[deletion.Machine]
	c.log.Info("deleting a machine", "machine", deletion.Machine, "reason", deletion.Reason,
		"count", len(machine.Bindings))
	update := updateOf(changeOfMachineDeletion, machine)
	update.machine.Deleting = true
	transaction := c.writeMachine(update)
	for _, binding := range machine.Bindings {
		if binding.Job.Spec.Kind == wire.KindService {
			transaction.Priority = kvstore.PriorityUrgent
		} else if isHighPriority(c.effectiveRank(binding.Job)) {
			transaction.Priority = max(transaction.Priority, kvstore.PriorityHigh)
		}
	}
}

// deleteMachineRecord adds the deletion of a machine's record. It can wait: the record says that the machine is being
// deleted, so nobody counts on it.
func (c *cycle) deleteMachineRecord(machine *clusterstate.Machine) {
	key := record.MachineKey(machine.Name)
	c.outgoing = append(c.outgoing, &recordChange{
		kind: changeOfDeletedRecord, subject: machine.Name, keys: []string{key}, shards: []int{machine.Shard},
		transaction: kvstore.Transaction{
			Conditions: []wire.Condition{
				c.ownershipCondition(machine.Shard),
				{Key: key, ModRevision: machine.ModRevision},
			},
			Ops:      []wire.Op{kvstore.DeleteOp(key)},
			Priority: kvstore.PriorityBackground,
		},
	})
}
