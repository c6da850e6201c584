package binpack

import (
	"cmp"
	"slices"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Allocate takes capacity for a request's remaining tasks on the candidates that the filter, if
// any, accepts, and returns the machine of each task that was placed. It reduces
// request.Remaining and counts the tasks in the constraint. Preferred are in this order machines
// whose capacity was freed for the job, those where a task displaces no larger common one, spot
// machines, those that hold the job's image, and those in use, so that others stay whole. Tasks
// without GPUs go beside GPU tasks.
func (inv *Inventory) Allocate(
	request *Request, candidates []*MachineInfo, constraint *ZoneConstraint, filter func(*MachineInfo) bool,
) []*MachineInfo {
	a := allocation{inv: inv, request: request}
	for _, info := range candidates {
		if a.accepts(info, constraint, filter) {
			t := a.tierOf(info)
			a.tiers[t] = append(a.tiers[t], info)
		}
	}
	return a.fillTiers(constraint)
}

// tier is a combination of drawbacks of a machine, the weightiest in the highest bit. Machines of
// lower tiers are filled first.
type tier int

// The drawbacks of any machine.
const tierNotFreedForJob tier = 1 << 5

// The drawbacks of a machine with GPUs for a task without them. Being spot is one: the machine is
// there anyway, so its price saves nothing, and if it is reclaimed the task's run time is lost.
const (
	tierTakesGPUShare tier = 1 << 3
	tierGPUsUnused    tier = 1 << 2
	tierSpot          tier = 1 << 1
	tierFetchesBeside tier = 1 << 0
)

// The drawbacks of other machines.
const (
	tierFetchDelaysStart tier = 1 << 4
	tierDisplacesCommon  tier = 1 << 3
	tierOnDemand         tier = 1 << 2
	tierFetchesImage     tier = 1 << 1
	tierUnused           tier = 1 << 0
)

const tierCount = 1 << 6

// when returns the drawback if a condition holds, and no drawback otherwise.
func (t tier) when(condition bool) tier {
	if condition {
		return t
	}
	return 0
}

// allocation is one run of Allocate. The constraint is handed along rather than kept in it: kept
// beside the machines, each caller's would be allocated on the heap.
type allocation struct {
	inv     *Inventory
	request *Request
	tiers   [tierCount][]*MachineInfo
}

func (a *allocation) accepts(
	info *MachineInfo, constraint *ZoneConstraint, filter func(*MachineInfo) bool,
) bool {
	return a.request.mayUse(info) &&
		(filter == nil || filter(info)) &&
		a.request.fits(info) &&
		constraint.Allows(info.Machine.Zone)
}

func (a *allocation) tierOf(info *MachineInfo) tier {
	inv, need := a.inv, a.request.Need
	fetches := info.readiness != Ready || !inv.HasImage(a.request.Spec.Image, info)
	t := tierNotFreedForJob.when(info.ReservedFor == "")
	if isBesideGPUs := need.GPUs == 0 && info.Capacity.GPUs > 0; isBesideGPUs {
		return t |
			tierTakesGPUShare.when(!inv.leavesGPUShare(need, info)) |
			tierGPUsUnused.when(info.Free.GPUs == info.Capacity.GPUs) |
			tierSpot.when(info.Machine.Spot) |
			tierFetchesBeside.when(fetches)
	}
	return t |
		tierFetchDelaysStart.when(fetches && inv.fetchDelaysStart(a.request, info)) |
		tierDisplacesCommon.when(inv.displacesCommon(need, info)) |
		tierOnDemand.when(!info.Machine.Spot) |
		tierFetchesImage.when(fetches) |
		tierUnused.when(info.Free == info.Capacity)
}

// fillTiers places the remaining tasks and returns the machine of each.
func (a *allocation) fillTiers(constraint *ZoneConstraint) []*MachineInfo {
	var picks []*MachineInfo
	for t := range tier(tierCount) {
		if a.prefersSmallMachines() && len(a.tiers[t]) > 1 {
			a.inv.sortForReplicas(a.tiers[t])
		}
		for _, info := range a.tiers[t] {
			for range a.fill(info, t, constraint) {
				picks = append(picks, info)
			}
			if a.request.Remaining == 0 {
				return picks
			}
		}
	}
	return picks
}

// fill places as many tasks on a machine as fit and returns their number. A machine that has become
// one where a further task would displace a common one is put off to the tier of those.
func (a *allocation) fill(info *MachineInfo, t tier, constraint *ZoneConstraint) (placed int) {
	zone := info.Machine.Zone
	for a.request.Remaining > 0 && a.request.Need.FitsIn(info.Free) && constraint.Allows(zone) {
		if t&tierDisplacesCommon == 0 && a.inv.displacesCommon(a.request.Need, info) {
			later := t | tierDisplacesCommon
			a.tiers[later] = append(a.tiers[later], info)
			break
		}
		a.inv.adjustFree(info, a.request.Need, -1)
		constraint.addTasks(a.request.Spec, zone, 1)
		a.request.Remaining--
		placed++
	}
	return placed
}

// prefersSmallMachines reports whether the machines within a tier are sorted for replicas.
func (a *allocation) prefersSmallMachines() bool {
	return a.inv.types.differ && a.request.Spec.Kind == wire.KindService && a.request.Need.GPUs == 0
}

// sortForReplicas sorts machines for replicas, which stay for long: while no common need is known
// the smallest machine is the least loss; otherwise, and among machines of one size, the one that
// fetches images fastest is best, as the replica's users wait for its image.
func (inv *Inventory) sortForReplicas(machines []*MachineInfo) {
	slices.SortStableFunc(machines, func(x, y *MachineInfo) int {
		if c := cmp.Compare(x.Capacity.CPUs, y.Capacity.CPUs); c != 0 && inv.CommonNeed.CPUs == 0 {
			return c
		}
		return cmp.Compare(inv.types.fetchRate[y.Machine.Type], inv.types.fetchRate[x.Machine.Type])
	})
}

// fetchDelaysStart reports whether a replica would miss its time to start by waiting for its image
// on a machine, though the fastest machine type would meet it: what the replica takes of a better
// machine is little beside that.
func (inv *Inventory) fetchDelaysStart(request *Request, info *MachineInfo) bool {
	rate, maxRate := inv.types.fetchRate[info.Machine.Type], inv.types.maxFetchRate
	return request.StartWithinS > 0 && rate < maxRate &&
		request.Spec.ImageSizeGB > request.StartWithinS*rate &&
		request.Spec.ImageSizeGB <= request.StartWithinS*maxRate
}

// displacesCommon reports whether a small task would take the place of a common one: one core of a
// machine that just one of those fits on costs as much as the whole machine. Small machines, and
// what larger ones have left over, are there for small tasks. It is false on machines with GPUs,
// where leavesGPUShare decides.
func (inv *Inventory) displacesCommon(need record.Resources, info *MachineInfo) bool {
	if inv.CommonNeed.CPUs == 0 || need.GPUs > 0 || info.Capacity.GPUs > 0 || need.CPUs >= inv.CommonNeed.CPUs {
		return false
	}
	return TasksThatFit(inv.CommonNeed, info.Free) > TasksThatFit(inv.CommonNeed, info.Free.Minus(need))
}

// leavesGPUShare reports whether a task without GPUs leaves a machine the other resources that
// tasks on its free GPUs will need: a gang that takes whole machines still finds this one whole.
func (inv *Inventory) leavesGPUShare(need record.Resources, info *MachineInfo) bool {
	reserved := record.Resources{
		CPUs:     inv.NeedPerGPU.CPUs * info.Free.GPUs,
		MemoryGB: inv.NeedPerGPU.MemoryGB * info.Free.GPUs,
	}
	return need.FitsIn(info.Free.Minus(reserved))
}
