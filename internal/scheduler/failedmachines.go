package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"sableusher/internal/agent"
	"sableusher/internal/clusterstate"
	"sableusher/internal/evacuation"
	"sableusher/internal/failuredetector"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

// machineInspection collects what a cycle finds out about the machines of this node's shards.
type machineInspection struct {
	availableZones int // number of zones that are neither partitioned from this node nor lost
	machines       []failuredetector.Machine
	outboundLost   []outboundLostMachine
}

// deleteFailedMachines deletes the failed machines of this node's shards, and applies what the failure detector
// concludes about machines without recent heartbeats.
func (c *cycle) deleteFailedMachines() {
	inspection := &machineInspection{availableZones: c.countAvailableZones()}
	for _, name := range slices.Sorted(maps.Keys(c.cluster.Machines)) {
		machine := c.cluster.Machines[name]
		if !c.shards.owns(machine.Shard) || machine.Deleting || c.deletedMachines.isConfirmed(name) ||
			c.changes.inFlight(record.MachineKey(name)) {
			continue
		}
		c.inspectMachine(machine, inspection)
	}
	c.evacuateOutboundLost(inspection.outboundLost, len(inspection.machines))
	assessment := c.failureDetector.Assess(c.now, inspection.machines,
		func(machine *failuredetector.Machine) []evacuation.Task { return c.evacuationTasks(machine.Name) })
	c.applyAssessment(&assessment)
}

// inspectMachine adds a machine to an inspection. It also takes the actions that depend on the state of this machine
// alone: marking it as down, deleting it, or fencing its shard.
func (c *cycle) inspectMachine(machine *clusterstate.Machine, inspection *machineInspection) {
	status := c.agents.MachineStatus(machine.Name, c.shards.fencingTokens[machine.Shard])
	inspection.machines = append(inspection.machines, failuredetector.Machine{
		Name:                machine.Name,
		Zone:                machine.Zone,
		Shard:               machine.Shard,
		Up:                  machine.Up,
		Session:             status.Session,
		LastReportAt:        status.LastReportAt,
		OwnedSince:          c.shardTenure.since(machine.Shard),
		CommandUnanswered:   status.CommandUnanswered,
		BoundTasks:          len(machine.Bindings),
		CancellationOverdue: c.cancellationOverdue(machine),
		ServiceMovable:      c.serviceCanMove(machine, inspection.availableZones),
		ControllerInZone:    c.controllerInZone(machine.Zone),
	})
	if status.OutboundLost {
		lost := outboundLostMachine{Machine: machine, leaseExpiry: status.LeaseExpiry}
		inspection.outboundLost = append(inspection.outboundLost, lost)
	}
	if machine.Up && status.InboundLost {
		c.markMachineDown(machine, reasonInboundLost)
	}
	if reason := c.deletionReason(machine, &status); reason != "" {
		c.deleteMachine(failuredetector.Deletion{Machine: machine.Name, Reason: reason})
	}
	needsFence := status.UnresolvedStart && c.hasStoppingTask(machine) || status.ForgetsHeld
	if needsFence && c.fences.allow(machine.Shard, c.now) {
		c.fenceStarts(machine.Shard)
	}
}

// deletionReason returns why a machine is to be deleted because of its own state, or "" if it is not.
func (c *cycle) deletionReason(machine *clusterstate.Machine, status *agent.MachineStatus) string {
	empty := len(machine.Bindings) == 0 && c.inFlight.byMachine[machine.Name] == (record.Resources{})
	oneWayTooLong := !status.DirectionLostSince.IsZero() &&
		c.now.Sub(status.DirectionLostSince) > tuning.OneWayMachineMaxAge
	switch {
	case !machine.Up && status.LastReportAt.IsZero():
		if c.bootTimedOut(machine) && !c.failureDetector.ZoneUnstable(machine.Zone) {
			return "never came up"
		}
	case !machine.Up && empty && oneWayTooLong && !c.failureDetector.ZoneUnstable(machine.Zone):
		return "reachable in one direction only"
	case empty && status.FailedJobs >= tuning.MachineMaxFailedJobs:
		return "tasks keep failing"
	}
	return ""
}

// bootTimedOut reports whether a machine that has never come up is past its boot limit. After a change of the shard's
// owner it reports false until the machine has had time to send a heartbeat to the new owner, because the record of a
// running machine may not yet say that it is up.
func (c *cycle) bootTimedOut(machine *clusterstate.Machine) bool {
	if c.cluster.Catalog.Types[machine.Type].Name == "" {
		return false
	}
	bootLimit := max(c.bootTimes(machine, tuning.BootTimeoutFactor), tuning.MinBootTimeout)
	deadAfter := time.Duration(tuning.DeadAfterIntervals * float64(c.settings.HeartbeatInterval()))
	heartbeatLimit := tuning.AgentFailoverTime + deadAfter
	return c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > bootLimit &&
		c.now.Sub(c.shardTenure.since(machine.Shard)) > heartbeatLimit
}

// cancellationOverdue reports whether a machine has to be deleted to end a task of a cancelled job that still runs on
// it: an agent that hangs doesn't end its tasks when its lease expires. The time since the cancellation is compared
// with a limit. If the user may have been told at once that the job is cancelled, the limit is
// tuning.CancelDeletionShare of the cancel deadline, so that the task ends within the deadline. If the cancellation is
// confirmed only once all tasks are released, the limit is the deadline itself, so that the confirmation arrives before
// the user stops waiting for it.
func (c *cycle) cancellationOverdue(machine *clusterstate.Machine) bool {
	for _, binding := range machine.Bindings {
		job, limit := binding.Job, c.settings.CancelDeadline()
		if job.Cancelled() && !job.CancelAfterRelease {
			limit = time.Duration(tuning.CancelDeletionShare * float64(limit))
		}
		if job.Stopping() && c.now.Sub(job.StoppingSince()) > limit {
			return true
		}
	}
	return false
}

// fenceStarts raises a shard's fencing token, because a start command without a response, or a copy of one that was
// answered, could still start a task that must not run.
func (c *cycle) fenceStarts(shard int) {
	members := c.membership
	c.runInBackground(func(ctx context.Context) { members.FenceAndRaiseToken(ctx, shard) })
}

// applyAssessment applies the conclusions of the failure detector.
func (c *cycle) applyAssessment(assessment *failuredetector.Assessment) {
	c.reportZones(assessment)
	for _, name := range assessment.ProbeMachines {
		c.agents.RequestDispatch(name)
	}
	members, engine := c.membership, c.Engine
	for shard, node := range assessment.ShardTransfers {
		c.runInBackground(func(ctx context.Context) { members.TransferShard(ctx, shard, node) })
	}
	if names := assessment.QueryPeersAbout; len(names) > 0 {
		c.runInBackground(func(ctx context.Context) { engine.queryPeers(ctx, names) })
	}
	for _, deletion := range assessment.Deletions {
		c.deleteMachine(deletion)
	}
}

// queryPeers asks the other nodes which of the machines have recently sent heartbeats to them, and records their
// responses for the next cycle.
func (e *Engine) queryPeers(ctx context.Context, machines []string) {
	peerByMachine := e.peers.QueryRecentReports(ctx, machines)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failureDetector.RecordPeerResponses(time.Now(), machines, peerByMachine)
	e.wake()
}
