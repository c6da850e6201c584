package place

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/config"
	"sableusher/internal/evacuate"
	"sableusher/internal/silence"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
	"sableusher/internal/zone"
)

var zoneStateGauge = promauto.NewGaugeVec(prometheus.GaugeOpts{Name: "sableusher_zone_state",
	Help: "1 for the state of each zone as this node sees it, once it has changed."}, []string{"zone", "state"})

// Peers asks the other nodes which workers they have heard from.
type Peers interface {
	Ask(ctx context.Context, machines []string) map[string]string
	// Images asks which machines of theirs are believed to hold which images.
	Images(ctx context.Context) map[string]map[string]bool
}

// deleteFailedMachines deletes machines that are silent, stuck or failing.
func (r *round) deleteFailedMachines() {
	var machines []silence.Machine
	var outboundLost []outboundLostMachine
	reachableZones := r.countReachableZones()
	for _, name := range slices.Sorted(maps.Keys(r.cluster.Machines)) {
		machine := r.cluster.Machines[name]
		token, owned := r.tokens[machine.Shard]
		if !owned || machine.Deleting || r.deletedMachines[name] || r.keysInFlight[world.MachineKey(name)] {
			continue
		}
		status := r.agents.MachineStatus(name, token)
		machines = append(machines, silence.Machine{Name: name, Zone: machine.Zone, Shard: machine.Shard, Up: machine.Up, Session: status.Session, LastHeard: status.LastHeard, OwnedSince: r.shardOwnedSince[machine.Shard],
			CommandUnanswered: status.CommandUnanswered, CancellationOverdue: r.cancellationOverdue(machine), BoundTasks: len(machine.Bindings), ServiceMovable: r.serviceCanMove(machine, reachableZones), ControllerInZone: r.controllerInZone(machine.Zone)})
		if status.OutboundLost {
			outboundLost = append(outboundLost, outboundLostMachine{machine, status.LeaseExpiry})
		}
		if machine.Up && status.InboundLost {
			r.recordMachineDown(machine, "hears nothing")
		}
		empty := len(machine.Bindings) == 0 && r.moveM[name] == (world.Resources{})
		switch {
		case !machine.Up && status.LastHeard.IsZero():
			if r.bootTimedOut(machine) && !r.failureDetector.ZoneUnstable(machine.Zone) {
				r.deleteMachine(silence.Deletion{Machine: name, Reason: "never came up"})
			}
		case !machine.Up && empty && !status.OneWaySince.IsZero() && r.now.Sub(status.OneWaySince) > tuning.OneWayLife && !r.failureDetector.ZoneUnstable(machine.Zone):
			r.deleteMachine(silence.Deletion{Machine: name, Reason: "reached in one direction only"})
		case empty && status.FailedJobs >= tuning.MachineErrors:
			r.deleteMachine(silence.Deletion{Machine: name, Reason: "failing"})
		}
		if status.UnresolvedStart && r.hasStoppingTask(machine) && r.now.Sub(r.lastFenced[machine.Shard]) > tuning.FenceEvery {
			// A start in doubt could still run a task that must not: raise the token.
			r.lastFenced[machine.Shard] = r.now
			go r.membership.Fence(r.ctx, machine.Shard, true)
		}
	}
	r.evacuateOutboundLost(outboundLost, len(machines))
	judgement := r.failureDetector.Assess(r.now, machines, func(machine *silence.Machine) []evacuate.Task { return r.evacuationTasks(machine.Name) })
	for _, change := range judgement.ZoneChanges {
		r.log.Info("zone changes", "zone", change.Zone, "state", change.To, "before", change.From, "after", change.TimeInFormerState.Round(time.Second), "waits for", change.WaitingFor)
		for _, status := range zone.States {
			zoneStateGauge.WithLabelValues(change.Zone, status.String()).Set(map[bool]float64{true: 1}[status == change.To])
		}
	}
	for name, summary := range judgement.ZoneReturns {
		r.log.Info("zone is back", "zone", name, "worked on", summary.Continued, "restarted", summary.Restarted, "gone", summary.Deleted, "new", summary.Added)
	}
	for _, name := range judgement.ProbeMachines {
		r.agents.RequestDispatch(name)
	}
	for shard, node := range judgement.ShardTransfers {
		go r.membership.TransferShard(r.ctx, shard, node)
	}
	if len(judgement.AskPeersAbout) > 0 {
		engine := r.Engine
		go func() {
			heard := engine.peers.Ask(engine.ctx, judgement.AskPeersAbout)
			engine.mu.Lock()
			defer engine.mu.Unlock()
			engine.failureDetector.RecordPeerAnswers(time.Now(), judgement.AskPeersAbout, heard)
			engine.wake()
		}()
	}
	for _, victim := range judgement.Deletions {
		r.deleteMachine(victim)
	}
}

// recordMachineDown records that a machine which reports but hears nothing, or hears but reaches no node, is not up
// until that is over. Its owner knows; gangs and services are placed by other nodes too, to which it looked
// like the emptiest machine there is, and what was bound to it waited until its lease had run out, over and over.
func (r *round) recordMachineDown(machine *world.Machine, reason string) {
	r.log.Info("machine "+reason, "machine", machine.Name, "tasks", len(machine.Bindings))
	machineRecord := machine.MachineRecord
	machineRecord.Up = false
	r.updateMachineRecord("machine "+reason+" "+machine.Name, machine.Name, machine.Shard, machineRecord, machine.ModRevision).HighPriority = true
	r.machinesToRefresh[machine.Name] = struct{}{}
}

// outboundLostMachine is a mute machine, and when its lease ends.
type outboundLostMachine struct {
	*world.Machine
	leaseExpiry time.Time
}

// evacuateOutboundLost deals with machines that answer commands while their reports reach no node. Nothing renews their
// leases, and what runs on them ends with those: nothing more is started there, and what can save or
// start elsewhere leaves ahead of it, spread over what is left of the lease, as replicas that all end
// at once find less room. Where most machines of this node seem to be mute it is this node that can't be
// reached, and its parts go to one that can.
func (r *round) evacuateOutboundLost(machines []outboundLostMachine, machineCount int) {
	if 2*len(machines) > machineCount {
		return
	}
	leadTime := time.Duration(tuning.MuteLeaves * float64(r.settings.Lease()))
	for _, machine := range machines {
		if machine.Up {
			r.recordMachineDown(machine.Machine, "reaches no node")
		}
		fraction := float64(world.ShardOf(machine.Name, tuning.MuteSteps)) / tuning.MuteSteps
		if delay := time.Duration(fraction * float64(leadTime-tuning.LeaseMargin)); r.now.After(machine.leaseExpiry.Add(delay - leadTime)) {
			r.evacuateMachine(machine.Machine)
		}
	}
}

// evacuationKinds are the kinds of jobs as plans of evacuation know them.
var evacuationKinds = map[string]evacuate.WorkloadKind{wire.KindService: evacuate.Service, wire.KindGang: evacuate.Gang, wire.KindArray: evacuate.Array}

// evacuationTasks gives what is on a machine, for the plan of its evacuation.
func (r *round) evacuationTasks(name string) []evacuate.Task {
	var tasks []evacuate.Task
	for _, binding := range r.cluster.Machines[name].Bindings {
		tasks = append(tasks, evacuate.Task{JobID: binding.Ref.Job, Kind: evacuationKinds[binding.Job.Spec.Kind], PriorityRank: r.rank(binding.Job), PlacedReplicas: binding.Job.BoundCount})
	}
	return tasks
}

// bootTimedOut tells whether a machine should have come up long ago. A new owner has heard
// of none of its machines yet, and the record of one that has long been up may not say so.
func (r *round) bootTimedOut(machine *world.Machine) bool {
	machineType := r.cluster.Types[machine.Type]
	bootLimit := max(time.Duration(tuning.BootStuck*machineType.BootSeconds*float64(time.Second)), tuning.BootStuckMin)
	reportLimit := tuning.FindNode + time.Duration(tuning.DeadAfter*float64(r.settings.Report()))
	return machineType.Name != "" && r.now.Sub(time.UnixMilli(machine.CreatedAtMs)) > bootLimit && r.now.Sub(r.shardOwnedSince[machine.Shard]) > reportLimit
}

// deleteMachine marks a machine to be deleted at the cloud.
func (r *round) deleteMachine(victim silence.Deletion) {
	machine := r.cluster.Machines[victim.Machine]
	r.log.Info("deleting a machine", "machine", victim.Machine, "why", victim.Reason, "tasks", len(machine.Bindings))
	machineRecord := machine.MachineRecord
	machineRecord.Deleting = true
	transaction := r.updateMachineRecord("delete machine "+victim.Machine, victim.Machine, machine.Shard, machineRecord, machine.ModRevision)
	// What it held waits for this change as for its own: behind the ends of arrays' tasks
	// replicas once waited for seconds more.
	for _, binding := range machine.Bindings {
		transaction.Urgent = transaction.Urgent || binding.Job.Spec.Kind == wire.KindService
		transaction.HighPriority = transaction.HighPriority || r.rank(binding.Job) <= wire.PriorityRank(wire.PriorityHigh)
	}
}

// cancellationOverdue tells whether a machine holds a task whose cancellation was asked for so long
// ago that only the machine's deletion ends it: a worker that hangs does not end its
// tasks with its lease. Where cancellations are told at once it must go in time,
// where they are told when they are certain, before the user gives up asking.
func (r *round) cancellationOverdue(machine *world.Machine) bool {
	for _, binding := range machine.Bindings {
		limit := r.settings.Cancel()
		if !binding.Job.CancelAfterRelease {
			limit = time.Duration(tuning.CancelShare * float64(limit))
		}
		if binding.Job.Cancelled() && r.now.Sub(time.UnixMilli(binding.Job.CancelledAtMs)) > limit {
			return true
		}
	}
	return false
}

// controllerInZone tells whether a controller stands in a zone and would renew leases there.
func (r *round) controllerInZone(zone string) bool {
	if r.cluster.SchemaVersion < tuning.LevelCertain {
		return false
	}
	return r.settings.Zone == zone || slices.ContainsFunc(r.settings.Siblings, func(s config.Sibling) bool { return s.Zone == zone })
}

// countReachableZones counts the zones that are not cut off.
func (r *round) countReachableZones() int {
	reachable := map[string]bool{}
	for _, machineType := range r.cluster.Types {
		for _, zone := range machineType.Zones {
			if !r.failureDetector.ZoneUnavailable(zone) {
				reachable[zone] = true
			}
		}
	}
	return len(reachable)
}

// serviceCanMove tells whether a service on a machine in a zone that is cut off could start
// in another one of so many open zones.
func (r *round) serviceCanMove(machine *world.Machine, reachableZones int) bool {
	if !r.failureDetector.ZoneUnavailable(machine.Zone) {
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
