package binpack

import (
	"cmp"
	"slices"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Allocate places as many of a request's remaining tasks as fit on the candidates and returns the
// machine of each placed task. A nil filter accepts every candidate. Allocate subtracts the placed
// tasks from request.Remaining and from the machines' free capacity, and adds them to the constraint.
//
// Machines are preferred in this order: those reserved for the job, those where fetching the image does
// not make a replica miss its start time objective, those where a task displaces no larger common task,
// spot machines, those that hold the job's image, and those already in use, so that empty machines stay
// empty. A task without GPUs prefers a machine where GPUs are in use, as
// long as enough cores and memory for the free GPUs are left there; see tierTakesGPUShare and the
// constants that follow it.
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

// tier is a bit set of the drawbacks that a machine has for a request. The worst drawback is the
// highest bit, and machines of lower tiers are filled first.
type tier int

// tierNotReserved is the drawback of any machine that is not reserved for the job.
const tierNotReserved tier = 1 << 5

// Drawbacks of a machine with GPUs for a task without GPUs. Being a spot machine is a drawback here:
// the machine is kept for its GPUs anyway, so its lower price saves nothing, and the task's run time
// is lost if the machine is reclaimed.
const (
	tierTakesGPUShare          tier = 1 << 3
	tierGPUsUnused             tier = 1 << 2
	tierSpot                   tier = 1 << 1
	tierGPUMachineFetchesImage tier = 1 << 0
)

// Drawbacks of a machine in all other cases.
const (
	tierFetchDelaysStart    tier = 1 << 4
	tierDisplacesCommonTask tier = 1 << 3
	tierOnDemand            tier = 1 << 2
	tierFetchesImage        tier = 1 << 1
	tierUnused              tier = 1 << 0
)

// tierCount is the number of combinations of drawbacks.
const tierCount = 1 << 6

// when returns t if the condition holds, and 0 (no drawback) otherwise.
func (t tier) when(condition bool) tier {
	if condition {
		return t
	}
	return 0
}

// allocation is the state of one call of Allocate. The constraint is passed as a parameter: as a
// field it would escape, and every caller's constraint would be allocated on the heap.
type allocation struct {
	inv     *Inventory
	request *Request
	tiers   [tierCount][]*MachineInfo
}

// accepts reports whether the request may place a task on a machine.
func (a *allocation) accepts(
	info *MachineInfo, constraint *ZoneConstraint, filter func(*MachineInfo) bool,
) bool {
	return a.request.mayUse(info) &&
		(filter == nil || filter(info)) &&
		a.request.fits(info) &&
		constraint.Allows(info.Machine.Zone)
}

// tierOf returns the drawbacks of a machine for the request.
func (a *allocation) tierOf(info *MachineInfo) tier {
	inv, need := a.inv, a.request.Need
	fetches := info.readiness != Ready || !inv.HasImage(a.request.Spec.Image, info)
	t := tierNotReserved.when(info.ReservedFor == "")
	if isGPUMachineForCPUTask := need.GPUs == 0 && info.Capacity.GPUs > 0; isGPUMachineForCPUTask {
		return t |
			tierTakesGPUShare.when(!inv.leavesGPUShare(need, info)) |
			tierGPUsUnused.when(info.Free.GPUs == info.Capacity.GPUs) |
			tierSpot.when(info.Machine.Spot) |
			tierGPUMachineFetchesImage.when(fetches)
	}
	return t |
		tierFetchDelaysStart.when(fetches && inv.fetchDelaysStart(a.request, info)) |
		tierDisplacesCommonTask.when(inv.displacesCommonTask(need, info)) |
		tierOnDemand.when(!info.Machine.Spot) |
		tierFetchesImage.when(fetches) |
		tierUnused.when(info.Free == info.Capacity)
}

// fillTiers places the remaining tasks tier by tier and returns the machine of each placed task.
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

// fill places as many tasks on a machine as fit and returns their number. Once a further task would
// displace a common one, fill moves the machine to the tier with that drawback, which is filled later.
func (a *allocation) fill(info *MachineInfo, t tier, constraint *ZoneConstraint) (placed int) {
	zone := info.Machine.Zone
	for a.request.Remaining > 0 && a.request.Need.FitsIn(info.Free) && constraint.Allows(zone) {
		if t&tierDisplacesCommonTask == 0 && a.inv.displacesCommonTask(a.request.Need, info) {
			later := t | tierDisplacesCommonTask
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

// prefersSmallMachines reports whether the machines within a tier are sorted by sortForReplicas: the
// machine types differ and the request is for replicas without GPUs.
func (a *allocation) prefersSmallMachines() bool {
	return a.inv.types.differ && a.request.Spec.Kind == wire.KindService && a.request.Need.GPUs == 0
}

// sortForReplicas sorts machines by how well they suit replicas. Replicas occupy a machine for a
// long time, so while CommonTaskNeed is unknown the smallest machine comes first. Otherwise, and among
// machines of equal size, the machine that fetches images fastest comes first, as users wait for the
// replica until its image is there.
func (inv *Inventory) sortForReplicas(machines []*MachineInfo) {
	slices.SortStableFunc(machines, func(x, y *MachineInfo) int {
		if c := cmp.Compare(x.Capacity.CPUs, y.Capacity.CPUs); c != 0 && inv.CommonTaskNeed.CPUs == 0 {
			return c
		}
		return cmp.Compare(inv.types.fetchRate[y.Machine.Type], inv.types.fetchRate[x.Machine.Type])
	})
}

// fetchDelaysStart reports whether a replica would miss its start time objective because this
// machine fetches the image too slowly, while the fastest machine type would meet it. Meeting the
// objective matters more than the capacity that the replica takes from a larger machine.
func (inv *Inventory) fetchDelaysStart(request *Request, info *MachineInfo) bool {
	rate, maxRate := inv.types.fetchRate[info.Machine.Type], inv.types.maxFetchRate
	return request.StartWithinS > 0 && rate < maxRate &&
		request.Spec.ImageSizeGB > request.StartWithinS*rate &&
		request.Spec.ImageSizeGB <= request.StartWithinS*maxRate
}

// displacesCommonTask reports whether placing a small task reduces the number of common tasks, those
// with CommonTaskNeed, that fit on the machine. On a machine that fits just one common task, a single
// core in use costs as much as the whole machine; small tasks should use small machines and the
// capacity that common tasks leave over. It is always false on machines with GPUs, where
// leavesGPUShare decides.
func (inv *Inventory) displacesCommonTask(need record.Resources, info *MachineInfo) bool {
	if inv.CommonTaskNeed.CPUs == 0 || need.GPUs > 0 || info.Capacity.GPUs > 0 || need.CPUs >= inv.CommonTaskNeed.CPUs {
		return false
	}
	return TasksThatFit(inv.CommonTaskNeed, info.Free) > TasksThatFit(inv.CommonTaskNeed, info.Free.Minus(need))
}

// leavesGPUShare reports whether, after placing a task without GPUs, a machine keeps the cores and
// memory that tasks on its free GPUs will need. A gang that uses whole machines can then still use
// this one.
func (inv *Inventory) leavesGPUShare(need record.Resources, info *MachineInfo) bool {
	reserved := record.Resources{
		CPUs:     inv.NeedPerGPU.CPUs * info.Free.GPUs,
		MemoryGB: inv.NeedPerGPU.MemoryGB * info.Free.GPUs,
	}
	return need.FitsIn(info.Free.Minus(reserved))
}
