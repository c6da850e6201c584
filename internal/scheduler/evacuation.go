package scheduler

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/evacuation"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// evacuateMachine requests the stop of those tasks that benefit from it on a machine that is about to be lost: tasks
// with checkpoints save one, and services start elsewhere at once. Other tasks keep running because some of them may
// still finish in time. If a gang of several tasks has checkpoints, the whole gang is stopped.
func (c *cycle) evacuateMachine(machine *clusterstate.Machine) {
	for _, binding := range machine.Bindings {
		spec := &binding.Job.Spec
		savesCheckpoints := spec.CheckpointIntervalSeconds > 0
		switch {
		case c.agents.StopRequested(binding):
		case spec.Kind == wire.KindGang && spec.TaskCount > 1:
			if savesCheckpoints {
				c.requestGangStop(binding, machine)
			}
		case savesCheckpoints:
			c.agents.RequestStop(binding, machine.Name, stopGraceSeconds(spec))
		case spec.Kind == wire.KindService:
			c.agents.RequestStop(binding, machine.Name, 0)
		}
	}
}

// stopGraceSeconds returns the time in seconds that a task has to save its checkpoint when it is stopped.
func stopGraceSeconds(spec *wire.JobSpec) float64 {
	return spec.CheckpointSaveSeconds + tuning.StopMargin.Seconds()
}

// hasStoppingTask reports whether the stop of a task on a machine has been requested.
func (c *cycle) hasStoppingTask(machine *clusterstate.Machine) bool {
	for _, binding := range machine.Bindings {
		if c.agents.StopRequested(binding) {
			return true
		}
	}
	return false
}

// outboundLostMachine is a machine that answers commands but whose heartbeats reach no node.
type outboundLostMachine struct {
	*clusterstate.Machine
	leaseExpiry time.Time
}

// evacuateOutboundLost marks the machines whose heartbeats reach no node as down, so that nothing is started there
// any more, and evacuates them. Nothing renews their leases, and their tasks end when the lease expires. Tasks that
// can save a checkpoint or start elsewhere are therefore stopped before that. The machines are evacuated at different
// times over the last part of the lease, because replicas that all end at once find less free capacity.
//
// It does nothing if these are more than half of this node's machines. Then it is probably this node that heartbeats
// can't reach, and its shards are transferred to a node that they can reach.
func (c *cycle) evacuateOutboundLost(machines []outboundLostMachine, machineCount int) {
	if 2*len(machines) > machineCount {
		return
	}
	leadTime := time.Duration(tuning.OutboundLostEvacuationLeaseShare * float64(c.settings.LeaseDuration()))
	for _, machine := range machines {
		if machine.Up {
			c.markMachineDown(machine.Machine, reasonOutboundLost)
		}
		step := float64(record.ShardOf(machine.Name,
			tuning.OutboundLostEvacuationSteps)) / tuning.OutboundLostEvacuationSteps
		delay := time.Duration(step * float64(leadTime-tuning.LeaseMargin))
		if c.now.After(machine.leaseExpiry.Add(delay - leadTime)) {
			c.evacuateMachine(machine.Machine)
		}
	}
}

// evacuationKinds maps the kinds of jobs to those of package evacuation.
var evacuationKinds = map[wire.JobKind]evacuation.WorkloadKind{
	wire.KindService: evacuation.Service,
	wire.KindGang:    evacuation.Gang,
	wire.KindArray:   evacuation.Array,
}

// evacuationTasks returns the tasks on a machine as input of an evacuation plan.
func (c *cycle) evacuationTasks(machine string) []evacuation.Task {
	var tasks []evacuation.Task
	for _, binding := range c.cluster.Machines[machine].Bindings {
		tasks = append(tasks, evacuation.Task{
			JobID:          binding.Ref.JobID,
			Kind:           evacuationKinds[binding.Job.Spec.Kind],
			PriorityRank:   c.effectiveRank(binding.Job),
			PlacedReplicas: binding.Job.BoundCount,
		})
	}
	return tasks
}
