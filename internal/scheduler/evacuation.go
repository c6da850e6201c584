package scheduler

import (
	"time"

	"sableusher/internal/clusterstate"
	"sableusher/internal/evacuation"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// evacuateMachine stops what gains by it on a machine that is about to be lost: tasks with checkpoints save one,
// services start again elsewhere at once. Of the others some may still end in time; a gang of several tasks must be
// stopped as a whole.
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

// stopGraceSeconds is how long a task is given to save its checkpoint when it is stopped.
func stopGraceSeconds(spec *wire.JobSpec) float64 {
	return spec.CheckpointSaveSeconds + tuning.StopMargin.Seconds()
}

// hasStoppingTask reports whether a task on a machine has been asked to stop.
func (c *cycle) hasStoppingTask(machine *clusterstate.Machine) bool {
	for _, binding := range machine.Bindings {
		if c.agents.StopRequested(binding) {
			return true
		}
	}
	return false
}

// outboundLostMachine is a machine that answers commands while its heartbeats reach no node.
type outboundLostMachine struct {
	*clusterstate.Machine
	leaseExpiry time.Time
}

// evacuateOutboundLost evacuates the machines whose heartbeats reach no node. Nothing renews their leases, and what
// runs on them ends with those: nothing more is started there, and what can save a checkpoint or start elsewhere leaves
// ahead of the expiry, spread over what is left of the lease, as replicas that all end at once find less capacity.
// Where most of this node's machines seem to be lost so, it is this node that can't be reached, and its shards go to
// one that can.
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

// evacuationKinds are the kinds of jobs as evacuation plans know them.
var evacuationKinds = map[wire.JobKind]evacuation.WorkloadKind{
	wire.KindService: evacuation.Service,
	wire.KindGang:    evacuation.Gang,
	wire.KindArray:   evacuation.Array,
}

// evacuationTasks returns the tasks on a machine, for the plan of its evacuation.
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
