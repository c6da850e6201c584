package scheduler

import (
	"sableusher/internal/clusterstate"
	"sableusher/internal/failuredetector"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// machineUpdate is a change of a machine's record.
type machineUpdate struct {
	kind        changeKind
	name        string
	shard       int
	modRevision uint64         // modification revision of the record that is replaced; 0 if there is none
	machine     record.Machine // the new record
}

// newMachineUpdate returns an update that starts from a machine's present record.
func newMachineUpdate(kind changeKind, machine *clusterstate.Machine) machineUpdate {
	return machineUpdate{
		kind: kind, name: machine.Name, shard: machine.Shard, modRevision: machine.ModRevision,
		machine: machine.Machine,
	}
}

// writeMachine adds the change of a machine's record to the cycle's changes. It returns the transaction, of which the
// caller may set the priority.
func (c *cycle) writeMachine(update machineUpdate) *kvstore.Transaction {
	key := record.MachineKey(update.name)
	change := &recordChange{
		kind: update.kind, subject: update.name, keys: []string{key}, shards: []int{update.shard},
		safeIfAppliedLate: true,
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

// Reasons for which a running machine is recorded as down, for the log.
const (
	reasonInboundLost  = "inbound lost"
	reasonOutboundLost = "outbound lost"
)

// markMachineDown records a machine that is reachable in only one direction as down, until both directions work
// again. The machine's owner knows its status without the record, but other nodes place gangs and services too. To
// them the machine would look like the emptiest one, and whatever they bind to it would wait until its lease expires,
// again and again.
func (c *cycle) markMachineDown(machine *clusterstate.Machine, reason string) {
	c.logMarkedDown(machine, reason)
	update := newMachineUpdate(changeOfMachineDown, machine)
	update.machine.Up = false
	c.writeMachine(update).Priority = kvstore.PriorityHigh
	c.inventoryCache.toRefresh.add(machine.Name)
}

func (c *cycle) logMarkedDown(machine *clusterstate.Machine, reason string) {
	c.log.Info("machine marked as down", "machine", machine.Name, "reason", reason, "count", len(machine.Bindings))
}

// deleteMachine marks a machine as to be deleted at the cloud. The change is urgent if a service of any priority runs
// on the machine, and has high priority if a task of a high-priority job does, because these tasks wait for it: behind
// the changes that end arrays' tasks, replicas of services would wait for seconds more.
func (c *cycle) deleteMachine(deletion failuredetector.Deletion) {
	machine := c.cluster.Machines[deletion.Machine]
	c.log.Info("deleting a machine", "machine", deletion.Machine, "reason", deletion.Reason,
		"count", len(machine.Bindings))
	update := newMachineUpdate(changeOfMachineDeletion, machine)
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

// deleteMachineRecord adds the deletion of a machine's record to the cycle's changes. It has background priority: the
// record already marks the machine as being deleted, so no node uses it.
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
