package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/evacuation"
	"sableusher/internal/failuredetector"
	"sableusher/internal/kvstore"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/zonehealth"
)

var zoneStateGauge = promauto.NewGaugeVec(prometheus.GaugeOpts{Name: "sableusher_zone_state",
	Help: "1 for the state of each zone as this node sees it, once it has changed."}, []string{"zone", "state"})

// Peers asks the other nodes which workers they have heard from.
type Peers interface {
	QueryRecentlyHeard(ctx context.Context, machines []string) map[string]string
	// QueryImages asks which machines of theirs are believed to hold which images.
	QueryImages(ctx context.Context) map[string]map[string]bool
}

// deleteFailedMachines deletes machines that are silent, stuck or failing.
func (c *cycle) deleteFailedMachines() {
	engine := c.Engine
	var machines []failuredetector.Machine
	var outboundLost []outboundLostMachine
	reachableZones := c.countReachableZones()
	for _, name := range slices.Sorted(maps.Keys(c.cluster.Machines)) {
		machine := c.cluster.Machines[name]
		token, owned := c.shards.fencingTokens[machine.Shard]
		if !owned || machine.Deleting || c.deletedMachines.isConfirmed(name) || c.changes.inFlight(record.MachineKey(name)) {
			continue
		}
		status := c.agents.MachineStatus(name, token)
		machines = append(machines, failuredetector.Machine{Name: name, Zone: machine.Zone, Shard: machine.Shard, Up: machine.Up, Session: status.Session, LastHeard: status.LastHeard, OwnedSince: c.shardTenure.since(machine.Shard),
			CommandUnanswered: status.CommandUnanswered, CancellationOverdue: c.cancellationOverdue(machine), BoundTasks: len(machine.Bindings), ServiceMovable: c.serviceCanMove(machine, reachableZones), ControllerInZone: c.controllerInZone(machine.Zone)})
		if status.OutboundLost {
			outboundLost = append(outboundLost, outboundLostMachine{machine, status.LeaseExpiry})
		}
		if machine.Up && status.InboundLost {
			c.recordMachineDown(machine, "hears nothing")
		}
		empty := len(machine.Bindings) == 0 && c.inFlight.byMachine[name] == (record.Resources{})
		switch {
		case !machine.Up && status.LastHeard.IsZero():
			if c.bootTimedOut(machine) && !c.failureDetector.ZoneUnstable(machine.Zone) {
				c.deleteMachine(failuredetector.Deletion{Machine: name, Reason: "never came up"})
			}
		case !machine.Up && empty && !status.OneWaySince.IsZero() && c.now.Sub(status.OneWaySince) > tuning.OneWayLife && !c.failureDetector.ZoneUnstable(machine.Zone):
			c.deleteMachine(failuredetector.Deletion{Machine: name, Reason: "reached in one direction only"})
		case empty && status.FailedJobs >= tuning.MachineErrors:
			c.deleteMachine(failuredetector.Deletion{Machine: name, Reason: "failing"})
		}
		if status.UnresolvedStart && c.hasStoppingTask(machine) && c.fences.allow(machine.Shard, c.now) {
			// A start in doubt could still run a task that must not: raise the token.
			c.inBackground(func(ctx context.Context) { engine.membership.FenceAndRaiseToken(ctx, machine.Shard) })
		}
	}
	c.evacuateOutboundLost(outboundLost, len(machines))
	judgement := c.failureDetector.Assess(c.now, machines, func(machine *failuredetector.Machine) []evacuation.Task { return c.evacuationTasks(machine.Name) })
	for _, change := range judgement.ZoneChanges {
		c.log.Info("zone changes", "zone", change.Zone, "state", change.To, "before", change.From, "after", change.TimeInFormerState.Round(time.Second), "waits for", change.WaitingFor)
		for _, status := range zonehealth.States {
			zoneStateGauge.WithLabelValues(change.Zone, status.String()).Set(map[bool]float64{true: 1}[status == change.To])
		}
	}
	for name, summary := range judgement.ZoneReturns {
		c.log.Info("zone is back", "zone", name, "worked on", summary.Continued, "restarted", summary.Restarted, "gone", summary.Deleted, "new", summary.Added)
	}
	for _, name := range judgement.ProbeMachines {
		c.agents.RequestDispatch(name)
	}
	for shard, node := range judgement.ShardTransfers {
		c.inBackground(func(ctx context.Context) { engine.membership.TransferShard(ctx, shard, node) })
	}
	if len(judgement.AskPeersAbout) > 0 {
		c.inBackground(func(ctx context.Context) { engine.askPeers(ctx, judgement.AskPeersAbout) })
	}
	for _, victim := range judgement.Deletions {
		c.deleteMachine(victim)
	}
}

// askPeers asks the other nodes which of some machines they have heard from, and has their answers weighed in the next
// cycle.
func (e *Engine) askPeers(ctx context.Context, machines []string) {
	heard := e.peers.QueryRecentlyHeard(ctx, machines)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failureDetector.RecordPeerAnswers(time.Now(), machines, heard)
	e.wake()
}

// recordMachineDown records that a machine which reports but hears nothing, or hears but reaches no node, is not up
// until that is over. Its owner knows; gangs and services are placed by other nodes too, to which it looked
// like the emptiest machine there is, and what was bound to it waited until its lease had run out, over and over.
func (c *cycle) recordMachineDown(machine *clusterstate.Machine, reason string) {
	c.log.Info("machine "+reason, "machine", machine.Name, "tasks", len(machine.Bindings))
	machineRecord := machine.Machine
	machineRecord.Up = false
	c.updateMachineRecord("machine "+reason+" "+machine.Name, machine.Name, machine.Shard, machineRecord, machine.ModRevision).Priority = kvstore.PriorityHigh
	c.inventoryCache.toRefresh.add(machine.Name)
}

// outboundLostMachine is a mute machine, and when its lease ends.
type outboundLostMachine struct {
	*clusterstate.Machine
	leaseExpiry time.Time
}

// evacuateOutboundLost deals with machines that answer commands while their reports reach no node. Nothing renews their
// leases, and what runs on them ends with those: nothing more is started there, and what can save or
// start elsewhere leaves ahead of it, spread over what is left of the lease, as replicas that all end
// at once find less room. Where most machines of this node seem to be mute it is this node that can't be
// reached, and its parts go to one that can.
func (c *cycle) evacuateOutboundLost(machines []outboundLostMachine, machineCount int) {
	if 2*len(machines) > machineCount {
		return
	}
	leadTime := time.Duration(tuning.MuteLeaves * float64(c.settings.Lease()))
	for _, machine := range machines {
		if machine.Up {
			c.recordMachineDown(machine.Machine, "reaches no node")
		}
		fraction := float64(record.ShardOf(machine.Name, tuning.MuteSteps)) / tuning.MuteSteps
		if delay := time.Duration(fraction * float64(leadTime-tuning.LeaseMargin)); c.now.After(machine.leaseExpiry.Add(delay - leadTime)) {
			c.evacuateMachine(machine.Machine)
		}
	}
}

// evacuationKinds are the kinds of jobs as plans of evacuation know them.
var evacuationKinds = map[wire.JobKind]evacuation.WorkloadKind{wire.KindService: evacuation.Service, wire.KindGang: evacuation.Gang, wire.KindArray: evacuation.Array}

// evacuationTasks gives what is on a machine, for the plan of its evacuation.
func (c *cycle) evacuationTasks(name string) []evacuation.Task {
	var tasks []evacuation.Task
	for _, binding := range c.cluster.Machines[name].Bindings {
		tasks = append(tasks, evacuation.Task{JobID: binding.Ref.JobID, Kind: evacuationKinds[binding.Job.Spec.Kind], PriorityRank: c.effectiveRank(binding.Job), PlacedReplicas: binding.Job.BoundCount})
	}
	return tasks
}

// bootTimedOut tells whether a machine should have come up long ago. A new owner has heard
// of none of its machines yet, and the record of one that has long been up may not say so.
func (c *cycle) bootTimedOut(machine *clusterstate.Machine) bool {
	machineType := c.cluster.Catalog.Types[machine.Type]
	bootLimit := max(time.Duration(tuning.BootStuck*machineType.BootSeconds*float64(time.Second)), tuning.BootStuckMin)
	reportLimit := tuning.FindNode + time.Duration(tuning.DeadAfter*float64(c.settings.Report()))
	return machineType.Name != "" && c.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > bootLimit && c.now.Sub(c.shardTenure.since(machine.Shard)) > reportLimit
}

// deleteMachine marks a machine to be deleted at the cloud.
func (c *cycle) deleteMachine(victim failuredetector.Deletion) {
	machine := c.cluster.Machines[victim.Machine]
	c.log.Info("deleting a machine", "machine", victim.Machine, "why", victim.Reason, "tasks", len(machine.Bindings))
	machineRecord := machine.Machine
	machineRecord.Deleting = true
	transaction := c.updateMachineRecord("delete machine "+victim.Machine, victim.Machine, machine.Shard, machineRecord, machine.ModRevision)
	// What it held waits for this change as for its own: behind the ends of arrays' tasks
	// replicas once waited for seconds more.
	for _, binding := range machine.Bindings {
		if c.effectiveRank(binding.Job) <= wire.PriorityHigh.Rank() {
			transaction.Priority = max(transaction.Priority, kvstore.PriorityHigh)
		}
		if binding.Job.Spec.Kind == wire.KindService {
			transaction.Priority = kvstore.PriorityUrgent
		}
	}
}

// cancellationOverdue tells whether a machine holds a task whose cancellation was asked for so long
// ago that only the machine's deletion ends it: a worker that hangs does not end its
// tasks with its lease. Where cancellations are told at once it must go in time,
// where they are told when they are certain, before the user gives up asking.
func (c *cycle) cancellationOverdue(machine *clusterstate.Machine) bool {
	for _, binding := range machine.Bindings {
		limit := c.settings.Cancel()
		if !binding.Job.CancelAfterRelease {
			limit = time.Duration(tuning.CancelShare * float64(limit))
		}
		if binding.Job.Cancelled() && c.now.Sub(time.UnixMilli(binding.Job.CancelledAtMs)) > limit {
			return true
		}
	}
	return false
}

// controllerInZone tells whether a controller stands in a zone and would renew leases there.
func (c *cycle) controllerInZone(zone string) bool {
	if c.cluster.SchemaVersion < tuning.LevelCertain {
		return false
	}
	return c.settings.Zone == zone || slices.ContainsFunc(c.settings.Siblings, func(s config.Sibling) bool { return s.Zone == zone })
}

// countReachableZones counts the zones that are not cut off.
func (c *cycle) countReachableZones() int {
	reachable := map[string]bool{}
	for _, machineType := range c.cluster.Catalog.Types {
		for _, zone := range machineType.Zones {
			if !c.failureDetector.ZoneUnavailable(zone) {
				reachable[zone] = true
			}
		}
	}
	return len(reachable)
}

// serviceCanMove tells whether a service on a machine in a zone that is cut off could start
// in another one of so many open zones.
func (c *cycle) serviceCanMove(machine *clusterstate.Machine, reachableZones int) bool {
	if !c.failureDetector.ZoneUnavailable(machine.Zone) {
		return false
	}
	for _, binding := range machine.Bindings {
		spec := &binding.Job.Spec
		// Spread over two zones, half of the tasks may stand in the one that is left,
		// and as a rule do.
		if spec.Kind == wire.KindService && spec.Zone == "" && (reachableZones > 1 || reachableZones == 1 && (!spec.Spread || spec.TaskCount == 1)) {
			return true
		}
	}
	return false
}

// PartitionedZones gives the zones that are cut off from this node.
func (e *Engine) PartitionedZones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failureDetector.UnavailableZones()
}
