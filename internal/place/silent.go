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

var zoneState = promauto.NewGaugeVec(prometheus.GaugeOpts{Name: "sableusher_zone_state",
	Help: "1 for the state of each zone as this node sees it, once it has changed."}, []string{"zone", "state"})

// Peers asks the other nodes which workers they have heard from.
type Peers interface {
	Ask(ctx context.Context, machines []string) map[string]string
	// Images asks which machines of theirs are believed to hold which images.
	Images(ctx context.Context) map[string]map[string]bool
}

// machinesDue deletes machines that are silent, stuck or failing.
func (r *round) machinesDue() {
	var list []silence.Machine
	var mute []muted
	open := r.openZones()
	for _, name := range slices.Sorted(maps.Keys(r.world.Machines)) {
		m := r.world.Machines[name]
		token, mine := r.tokens[m.Part]
		if !mine || m.Gone || r.gone[name] || r.busy[world.MachineKey(name)] {
			continue
		}
		s := r.fleet.MachineStatus(name, token)
		list = append(list, silence.Machine{Name: name, Zone: m.Zone, Shard: m.Part, Up: m.Up, Session: s.Session, LastHeard: s.LastHeard, OwnedSince: r.owned[m.Part],
			CommandUnanswered: s.CommandUnanswered, CancellationOverdue: r.late(m), BoundTasks: len(m.Bound), ServiceMovable: r.movable(m, open), ControllerInZone: r.inside(m.Zone)})
		if s.OutboundLost {
			mute = append(mute, muted{m, s.LeaseExpiry})
		}
		if m.Up && s.InboundLost {
			r.oneWay(m, "hears nothing")
		}
		empty := len(m.Bound) == 0 && r.moveM[name] == (world.Amount{})
		switch {
		case !m.Up && s.LastHeard.IsZero():
			if r.neverUp(m) && !r.silence.ZoneUnstable(m.Zone) {
				r.giveUp(silence.Deletion{Machine: name, Reason: "never came up"})
			}
		case !m.Up && empty && !s.OneWaySince.IsZero() && r.now.Sub(s.OneWaySince) > tuning.OneWayLife && !r.silence.ZoneUnstable(m.Zone):
			r.giveUp(silence.Deletion{Machine: name, Reason: "reached in one direction only"})
		case empty && s.FailedJobs >= tuning.MachineErrors:
			r.giveUp(silence.Deletion{Machine: name, Reason: "failing"})
		}
		if s.UnresolvedStart && r.unwanted(m) && r.now.Sub(r.fenced[m.Part]) > tuning.FenceEvery {
			// A start in doubt could still run a task that must not: raise the token.
			r.fenced[m.Part] = r.now
			go r.member.Fence(r.ctx, m.Part, true)
		}
	}
	r.leaveMute(mute, len(list))
	j := r.silence.Assess(r.now, list, func(m *silence.Machine) []evacuate.Task { return r.holds(m.Name) })
	for _, c := range j.ZoneChanges {
		r.log.Info("zone changes", "zone", c.Zone, "state", c.To, "before", c.From, "after", c.After.Round(time.Second), "waits for", c.Waits)
		for _, s := range zone.States {
			zoneState.WithLabelValues(c.Zone, s.String()).Set(map[bool]float64{true: 1}[s == c.To])
		}
	}
	for name, b := range j.ZoneReturns {
		r.log.Info("zone is back", "zone", name, "worked on", b.Worked, "restarted", b.Restarted, "gone", b.Gone, "new", b.New)
	}
	for _, name := range j.ProbeMachines {
		r.fleet.RequestDispatch(name)
	}
	for p, node := range j.ShardTransfers {
		go r.member.Give(r.ctx, p, node)
	}
	if len(j.AskPeersAbout) > 0 {
		e := r.Engine
		go func() {
			heard := e.peers.Ask(e.ctx, j.AskPeersAbout)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.silence.RecordPeerAnswers(time.Now(), j.AskPeersAbout, heard)
			e.poke()
		}()
	}
	for _, v := range j.Deletions {
		r.giveUp(v)
	}
}

// oneWay records that a machine which reports but hears nothing, or hears but reaches no node, is not up
// until that is over. Its owner knows; gangs and services are placed by other nodes too, to which it looked
// like the emptiest machine there is, and what was bound to it waited until its lease had run out, over and over.
func (r *round) oneWay(m *world.Machine, why string) {
	r.log.Info("machine "+why, "machine", m.Name, "tasks", len(m.Bound))
	rec := m.MachineRecord
	rec.Up = false
	r.writeMachine("machine "+why+" "+m.Name, m.Name, m.Part, rec, m.Stamp).Soon = true
	r.stale[m.Name] = struct{}{}
}

// muted is a mute machine, and when its lease ends.
type muted struct {
	*world.Machine
	lapse time.Time
}

// leaveMute deals with machines that answer commands while their reports reach no node. Nothing renews their
// leases, and what runs on them ends with those: nothing more is started there, and what can save or
// start elsewhere leaves ahead of it, spread over what is left of the lease, as replicas that all end
// at once find less room. Where most machines of this node seem to be mute it is this node that can't be
// reached, and its parts go to one that can.
func (r *round) leaveMute(mute []muted, all int) {
	if 2*len(mute) > all {
		return
	}
	lead := time.Duration(tuning.MuteLeaves * float64(r.set.Lease()))
	for _, m := range mute {
		if m.Up {
			r.oneWay(m.Machine, "reaches no node")
		}
		step := float64(world.PartOf(m.Name, tuning.MuteSteps)) / tuning.MuteSteps
		if wait := time.Duration(step * float64(lead-tuning.LeaseMargin)); r.now.After(m.lapse.Add(wait - lead)) {
			r.evacuate(m.Machine)
		}
	}
}

// kinds are the kinds of jobs as plans of evacuation know them.
var kinds = map[string]evacuate.Kind{wire.KindService: evacuate.Service, wire.KindGang: evacuate.Gang, wire.KindArray: evacuate.Array}

// holds gives what is on a machine, for the plan of its evacuation.
func (r *round) holds(name string) []evacuate.Task {
	var out []evacuate.Task
	for _, b := range r.world.Machines[name].Bound {
		out = append(out, evacuate.Task{Job: b.Ref.Job, Kind: kinds[b.Job.Spec.Kind], Rank: r.rank(b.Job), Has: b.Job.Bound})
	}
	return out
}

// neverUp tells whether a machine should have come up long ago. A new owner has heard
// of none of its machines yet, and the record of one that has long been up may not say so.
func (r *round) neverUp(m *world.Machine) bool {
	typ := r.world.Types[m.Type]
	stuck := max(time.Duration(tuning.BootStuck*typ.BootS*float64(time.Second)), tuning.BootStuckMin)
	found := tuning.FindNode + time.Duration(tuning.DeadAfter*float64(r.set.Report()))
	return typ.Name != "" && r.now.Sub(time.UnixMilli(m.AtMs)) > stuck && r.now.Sub(r.owned[m.Part]) > found
}

// giveUp marks a machine to be deleted at the cloud.
func (r *round) giveUp(v silence.Deletion) {
	m := r.world.Machines[v.Machine]
	r.log.Info("deleting a machine", "machine", v.Machine, "why", v.Reason, "tasks", len(m.Bound))
	rec := m.MachineRecord
	rec.Gone = true
	it := r.writeMachine("delete machine "+v.Machine, v.Machine, m.Part, rec, m.Stamp)
	// What it held waits for this change as for its own: behind the ends of arrays' tasks
	// replicas once waited for seconds more.
	for _, b := range m.Bound {
		it.Urgent = it.Urgent || b.Job.Spec.Kind == wire.KindService
		it.Soon = it.Soon || r.rank(b.Job) <= wire.Rank(wire.PriorityHigh)
	}
}

// late tells whether a machine holds a task whose cancellation was asked for so long
// ago that only the machine's deletion ends it: a worker that hangs does not end its
// tasks with its lease. Where cancellations are told at once it must go in time,
// where they are told when they are certain, before the user gives up asking.
func (r *round) late(m *world.Machine) bool {
	for _, b := range m.Bound {
		limit := r.set.Cancel()
		if !b.Job.Certain {
			limit = time.Duration(tuning.CancelShare * float64(limit))
		}
		if b.Job.Cancelled() && r.now.Sub(time.UnixMilli(b.Job.CancelMs)) > limit {
			return true
		}
	}
	return false
}

// inside tells whether a controller stands in a zone and would renew leases there.
func (r *round) inside(zone string) bool {
	if r.world.Level < tuning.LevelCertain {
		return false
	}
	return r.set.Zone == zone || slices.ContainsFunc(r.set.Siblings, func(s config.Sibling) bool { return s.Zone == zone })
}

// openZones counts the zones that are not cut off.
func (r *round) openZones() int {
	open := map[string]bool{}
	for _, t := range r.world.Types {
		for _, z := range t.Zones {
			if !r.silence.ZoneUnavailable(z) {
				open[z] = true
			}
		}
	}
	return len(open)
}

// movable tells whether a service on a machine in a zone that is cut off could start
// in another one of so many open zones.
func (r *round) movable(m *world.Machine, open int) bool {
	if !r.silence.ZoneUnavailable(m.Zone) {
		return false
	}
	for _, b := range m.Bound {
		s := &b.Job.Spec
		// Spread over two zones, half of the tasks may stand in the one that is left,
		// and as a rule do.
		if s.Kind == wire.KindService && s.Zone == "" && (open > 1 || open == 1 && (!s.Spread || s.Tasks == 1)) {
			return true
		}
	}
	return false
}

// Cuts gives the zones that are cut off from this node.
func (e *Engine) Cuts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silence.UnavailableZones()
}
