package binpack

import (
	"cmp"
	"maps"
	"slices"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// Request is what a job asks room for.
type Request struct {
	Spec      *wire.JobSpec
	Need      record.Resources // of each task
	Remaining int              // tasks that have no place yet in this round
	// StartWithinS is the time in seconds in which a replica should start; 0: nobody says.
	StartWithinS float64
}

// ZoneConstraint is where the tasks of one record of a job stand, and what the rules
// leave open.
type ZoneConstraint struct {
	TasksByZone    map[string]int // tasks by zone
	PinnedZone     string         // the one zone that is open, if any is
	MaxPerZone     int            // most tasks in one zone
	PlacementKnown bool           // false while it isn't known where a task stands: none is open
}

// Allows tells whether a further task may stand in a zone.
func (c *ZoneConstraint) Allows(zone string) bool {
	return c.PlacementKnown && (c.PinnedZone == "" || c.PinnedZone == zone) && c.TasksByZone[zone] < c.MaxPerZone
}

// Clone gives zones that count on by themselves.
func (c *ZoneConstraint) Clone() ZoneConstraint {
	clone := *c
	clone.TasksByZone = maps.Clone(c.TasksByZone)
	return clone
}

func (c *ZoneConstraint) addTasks(spec *wire.JobSpec, zone string, count int) {
	c.TasksByZone[zone] += count
	if spec.SameZone {
		c.PinnedZone = zone
	}
}

// availableTo tells whether a machine is kept for no other job.
func availableTo(request *Request, info *MachineInfo) bool {
	return info.ReservedFor == "" || info.ReservedFor == request.Spec.ID
}

// displacesCommonBit marks the tiers of machines on which a small task would take the place of a common one.
const displacesCommonBit = 8

// Allocate takes room for a job's tasks on machines, the preferred ones first:
// room that was freed for it, machines on which it takes the place of no larger common task, spot
// machines, those that hold its image, and those in use, so that others stay whole. Tasks without
// GPUs go beside GPU work.
func (inv *Inventory) Allocate(request *Request, candidates []*MachineInfo, constraint *ZoneConstraint, filter func(*MachineInfo) bool) []*MachineInfo {
	spec := request.Spec
	var tiers [64][]*MachineInfo
	for _, info := range candidates {
		if !availableTo(request, info) || filter != nil && !filter(info) || !request.Need.FitsIn(info.Free) || !Eligible(spec, info.Machine) || !constraint.Allows(info.Machine.Zone) {
			continue
		}
		t := 0
		if info.ReservedFor == "" {
			t |= 32
		}
		fetches := info.readiness != Ready || !inv.HasImage(spec.Image, info)
		if besides := request.Need.GPUs == 0 && info.Capacity.GPUs > 0; besides {
			// A machine is there anyway, so the cheap kind saves nothing; one that is
			// taken back takes the task's run time with it.
			t |= bitIf(!inv.leavesGPUShare(request.Need, info), 8) | bitIf(info.Free.GPUs == info.Capacity.GPUs, 4) | bitIf(info.Machine.Spot, 2) | bitIf(fetches, 1)
		} else {
			t |= bitIf(fetches && inv.fetchDelaysStart(request, info), 16) | bitIf(inv.displacesCommon(request.Need, info), displacesCommonBit) | bitIf(!info.Machine.Spot, 4) | bitIf(fetches, 2) | bitIf(info.Free == info.Capacity, 1)
		}
		tiers[t] = append(tiers[t], info)
	}
	var picks []*MachineInfo
	for i := range tiers {
		tier := tiers[i]
		if inv.typesDiffer && spec.Kind == wire.KindService && request.Need.GPUs == 0 && len(tier) > 1 {
			// A replica stays for long: as long as nothing tells what is common, the smallest machine is
			// the least loss. And its user waits for its image as well.
			slices.SortStableFunc(tier, func(x, y *MachineInfo) int {
				if c := cmp.Compare(x.Capacity.CPUs, y.Capacity.CPUs); c != 0 && inv.CommonNeed.CPUs == 0 {
					return c
				}
				return cmp.Compare(inv.fetchRateByType[y.Machine.Type], inv.fetchRateByType[x.Machine.Type])
			})
		}
		for _, info := range tier {
			for request.Remaining > 0 && request.Need.FitsIn(info.Free) && constraint.Allows(info.Machine.Zone) {
				if i&displacesCommonBit == 0 && inv.displacesCommon(request.Need, info) {
					tiers[i|displacesCommonBit] = append(tiers[i|displacesCommonBit], info) // what it had left over is used
					break
				}
				inv.Consume(info, request.Need, 1)
				constraint.addTasks(spec, info.Machine.Zone, 1)
				picks = append(picks, info)
				request.Remaining--
			}
			if request.Remaining == 0 {
				return picks
			}
		}
	}
	return picks
}

func bitIf(set bool, b int) int {
	if set {
		return b
	}
	return 0
}

// fetchDelaysStart tells whether a replica would wait for its image on a machine beyond the time in which it should
// start, though other types fetch faster: what it takes of a better machine is little beside that.
func (inv *Inventory) fetchDelaysStart(request *Request, info *MachineInfo) bool {
	rate := inv.fetchRateByType[info.Machine.Type]
	return request.StartWithinS > 0 && rate < inv.maxFetchRate && request.Spec.ImageSizeGB > request.StartWithinS*rate && request.Spec.ImageSizeGB <= request.StartWithinS*inv.maxFetchRate
}

// displacesCommon tells whether a small task takes the place of a common one: one core of a machine with
// room for just one of those is as dear as all of it. Small machines, and what larger ones have
// left over, are there for small tasks. On machines with GPUs, beside tells instead.
func (inv *Inventory) displacesCommon(need record.Resources, info *MachineInfo) bool {
	if inv.CommonNeed.CPUs == 0 || need.GPUs > 0 || info.Capacity.GPUs > 0 || need.CPUs >= inv.CommonNeed.CPUs {
		return false
	}
	return TasksThatFit(inv.CommonNeed, info.Free) > TasksThatFit(inv.CommonNeed, info.Free.AddTimes(need, -1))
}

// leavesGPUShare tells whether a task without GPUs leaves a machine what its free GPUs
// need: whatever stands there now could stand beside it, and a gang that takes
// whole machines still finds this one whole.
func (inv *Inventory) leavesGPUShare(need record.Resources, info *MachineInfo) bool {
	keep := record.Resources{CPUs: inv.NeedPerGPU.CPUs * info.Free.GPUs, MemoryGB: inv.NeedPerGPU.MemoryGB * info.Free.GPUs}
	return need.FitsIn(info.Free.AddTimes(keep, -1))
}

// Release gives back room that was taken for a job.
func (inv *Inventory) Release(request *Request, picks []*MachineInfo) {
	for _, info := range picks {
		inv.Consume(info, request.Need, -1)
	}
	request.Remaining += len(picks)
}

// AllocateGang takes room for all of a gang's tasks, in one zone if it must; nil
// and no room taken if there is none.
func (inv *Inventory) AllocateGang(request *Request, candidates []*MachineInfo, constraint ZoneConstraint, filter func(*MachineInfo) bool) []*MachineInfo {
	zones := []string{""}
	if request.Spec.SameZone && constraint.PinnedZone == "" {
		capacity, images := map[string]int{}, map[string]int{}
		zones = nil
		for _, info := range candidates {
			if !availableTo(request, info) || filter != nil && !filter(info) {
				continue
			}
			if capacity[info.Machine.Zone] == 0 {
				zones = append(zones, info.Machine.Zone)
			}
			c := TasksThatFit(request.Need, info.Free)
			capacity[info.Machine.Zone] += c
			if inv.HasImage(request.Spec.Image, info) {
				images[info.Machine.Zone] += c
			}
		}
		zones = slices.DeleteFunc(zones, func(zone string) bool { return capacity[zone] < request.Remaining })
		slices.SortFunc(zones, func(x, y string) int {
			return cmp.Or(-cmp.Compare(min(images[x], request.Remaining), min(images[y], request.Remaining)), cmp.Compare(x, y))
		})
	}
	for _, zone := range zones {
		try := constraint.Clone()
		if zone != "" {
			try.PinnedZone = zone
		}
		picks := inv.Allocate(request, candidates, &try, filter)
		if request.Remaining == 0 {
			return picks
		}
		inv.Release(request, picks)
	}
	return nil
}

// RoomiestZone is the zone with the most room for tasks of a gang, on machines that are up
// and those coming up; empty if there is none.
func (inv *Inventory) RoomiestZone(request *Request, ready []*MachineInfo) string {
	capacity := map[string]int{}
	best := ""
	for _, info := range ready {
		if availableTo(request, info) {
			capacity[info.Machine.Zone] += TasksThatFit(request.Need, info.Free)
		}
	}
	for _, b := range inv.pendingBins {
		if Eligible(request.Spec, b.sample.Machine) {
			capacity[b.sample.Machine.Zone] += len(b.machines) * TasksThatFit(request.Need, b.free)
		}
	}
	for zone, c := range capacity {
		if best == "" || c > capacity[best] || c == capacity[best] && zone < best {
			best = zone
		}
	}
	return best
}
