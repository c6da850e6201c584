package autoscaler

import (
	"maps"
	"math"
	"slices"
	"time"

	"sableusher/internal/binpack"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// plannedMachine is a machine to be rented, with the capacity that the planned tasks leave free on it.
type plannedMachine struct {
	machineKind
	free record.Resources
	// required is set for work of high priority, for work that has waited longer than
	// tuning.ScaleOutOverrideAfter, and for the minimum number of machines. The learner can't leave these out.
	required bool
}

// machineRequest states the requirements for a machine to be rented.
type machineRequest struct {
	spec     *wire.JobSpec
	zone     string // empty for any zone
	allowed  func(machineKind) bool
	required bool
}

// accepts reports whether the request allows a kind of machine. It doesn't compare the task with the
// machine's size.
func (r *machineRequest) accepts(kind machineKind) bool {
	return (r.zone == "" || kind.zone == r.zone) &&
		(r.spec.AllowSpot || !kind.spot) &&
		(len(r.spec.MachineTypes) == 0 || slices.Contains(r.spec.MachineTypes, kind.machineType)) &&
		r.allowed(kind)
}

// scaleOutPlan packs the tasks that did not fit into machines to be rented.
type scaleOutPlan struct {
	autoscaler     *Autoscaler
	now            time.Time
	machinesInZone map[string]int // existing and planned machines by zone
	machines       []plannedMachine
}

// planScaleOut returns the machines to be rented, in order of need: first for the work that did not fit,
// then for the minimum number of machines, the headroom and the zone reserve.
func (a *Autoscaler) planScaleOut(demand scheduler.UnmetDemand) []plannedMachine {
	a.state.RLock()
	defer a.state.RUnlock()
	plan := &scaleOutPlan{autoscaler: a, now: time.Now(), machinesInZone: map[string]int{}}
	present := 0
	for _, machine := range a.state.Machines {
		if !machine.Deleting {
			plan.machinesInZone[machine.Zone]++
			present++
		}
	}
	for _, group := range demand.Groups {
		plan.addGroup(group)
	}
	plan.addHeadroom(demand, present)
	return plan.machines
}

// addMachine adds a machine of the cheapest kind that a request accepts. It returns nil if no kind can be
// rented. The pointer is valid until the next call.
func (p *scaleOutPlan) addMachine(request machineRequest) *plannedMachine {
	kind, ok := p.autoscaler.cheapestKind(kindQuery{
		spec:           request.spec,
		zone:           request.zone,
		machinesInZone: p.machinesInZone,
		now:            p.now,
		allowed:        request.allowed,
	})
	if !ok {
		return nil
	}
	machineType := p.autoscaler.state.Catalog.Types[kind.machineType]
	p.machines = append(p.machines, plannedMachine{
		machineKind: kind,
		free:        record.Capacity(&machineType),
		required:    request.required,
	})
	p.machinesInZone[kind.zone]++
	return &p.machines[len(p.machines)-1]
}

// addGroup plans machines for the tasks of a group that did not fit. The tasks of a spread job are planned in
// zones that may take them beside the job's other tasks.
func (p *scaleOutPlan) addGroup(group scheduler.UnplacedGroup) {
	spec := group.Spec
	target := rentalTarget{zone: spec.Zone, tasks: group.Count}
	if spec.Zone == "" && spec.SameZone {
		target = p.autoscaler.chooseSingleZone(group, p.machinesInZone, p.now)
	}
	isUrgent := group.Rank <= wire.PriorityHigh.Rank()
	hasWaitedLong := p.now.Sub(group.ReadySince) > tuning.ScaleOutOverrideAfter
	packing := groupPacking{
		plan: p,
		need: record.TaskResources(spec),
		request: machineRequest{
			spec:     spec,
			zone:     target.zone,
			required: isUrgent || hasWaitedLong,
			allowed:  anyKind,
		},
	}
	if group.SpreadZones != nil {
		zones := group.SpreadZones.Clone()
		packing.spread = &zones
		packing.request.allowed = func(kind machineKind) bool { return zones.Allows(kind.zone) }
	}
	for range target.tasks {
		if !packing.placeTask() {
			return
		}
	}
}

// groupPacking packs the tasks of one group into planned machines.
type groupPacking struct {
	plan    *scaleOutPlan
	request machineRequest
	need    record.Resources
	// spread is the zones that may still take tasks. It is nil if the job is not spread.
	spread *binpack.ZoneConstraint
	next   int // index of the first planned machine to try; the group's identical tasks fit on none before it
}

// placeTask places a task on a planned machine, or plans a further machine for it. It returns false if no
// suitable machine can be rented.
func (g *groupPacking) placeTask() bool {
	machine := g.findPlanned()
	if machine == nil {
		machine = g.plan.addMachine(g.request)
	}
	if machine == nil {
		return false
	}
	machine.free = machine.free.Minus(g.need)
	if g.spread != nil {
		g.spread.TasksByZone[machine.zone]++
	}
	if g.request.spec.SameZone {
		g.request.zone = machine.zone
	}
	return true
}

// findPlanned returns the first planned machine that a task fits on, or nil if there is none.
func (g *groupPacking) findPlanned() *plannedMachine {
	for ; g.next < len(g.plan.machines); g.next++ {
		machine := &g.plan.machines[g.next]
		if g.need.FitsIn(machine.free) && g.request.accepts(machine.machineKind) {
			return machine
		}
	}
	return nil
}

// headroomRounding is the shortfall of headroom, in machines, that is accepted without renting another
// machine.
const headroomRounding = 0.5

// addHeadroom plans the machines that are missing for the minimum number of machines, the headroom and
// the zone reserve. present is the number of existing machines that are not being deleted.
func (p *scaleOutPlan) addHeadroom(demand scheduler.UnmetDemand, present int) {
	a := p.autoscaler
	target := a.headroomTarget(p.now)
	belowMinimum := a.operator.MinMachines - present - len(p.machines)
	spare := demand.SpareOnDemand
	count := max(
		belowMinimum,
		int(math.Ceil(target.onDemand-spare.Machines-headroomRounding)),
		int(math.Ceil(target.idleMachines-float64(spare.IdleMachineCount)-headroomRounding)),
	)
	for i := range count {
		request := machineRequest{spec: &wire.JobSpec{}, allowed: anyKind, required: i < belowMinimum}
		if p.addMachine(request) == nil {
			break
		}
	}
	reserve := a.zoneReserve()
	for _, zone := range slices.Sorted(maps.Keys(reserve)) {
		missing := int(math.Ceil(reserve[zone] - spare.MachinesByZone[zone]))
		p.addMachines(missing, machineRequest{spec: &wire.JobSpec{}, zone: zone, allowed: anyKind})
	}
	missingSpot := int(math.Ceil(target.spot - demand.SpareSpot.Machines - headroomRounding))
	p.addMachines(missingSpot, machineRequest{spec: &wire.JobSpec{AllowSpot: true}, allowed: anyKind})
}

// addMachines adds up to count machines. It stops when no kind that the request accepts can be rented.
func (p *scaleOutPlan) addMachines(count int, request machineRequest) {
	for range count {
		if p.addMachine(request) == nil {
			return
		}
	}
}
