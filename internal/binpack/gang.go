package binpack

import (
	"cmp"
	"slices"
)

// AllocateGang places all remaining tasks of a gang, in one zone if the job requires that, and
// returns the machine of each task. If they do not all fit, it returns nil and allocates nothing. A
// nil filter accepts every candidate. The constraint is not changed.
func (inv *Inventory) AllocateGang(
	request *Request, candidates []*MachineInfo, constraint ZoneConstraint, filter func(*MachineInfo) bool,
) []*MachineInfo {
	anyZone := []string{""}
	zones := anyZone
	if request.Spec.SameZone && constraint.PinnedZone == "" {
		zones = inv.zonesForGang(request, candidates, filter)
	}
	for _, zone := range zones {
		attempt := constraint.Clone()
		if zone != "" {
			attempt.PinnedZone = zone
		}
		picks := inv.Allocate(request, candidates, &attempt, filter)
		if request.Remaining == 0 {
			return picks
		}
		inv.Release(request, picks)
	}
	return nil
}

// zonesForGang returns the zones whose candidates have capacity for all remaining tasks, sorted by how
// many of these tasks fit on machines that hold the image, largest number first.
func (inv *Inventory) zonesForGang(
	request *Request, candidates []*MachineInfo, filter func(*MachineInfo) bool,
) []string {
	var zones []string
	tasksByZone, tasksWithImage := map[string]int{}, map[string]int{}
	for _, info := range candidates {
		if !request.mayUse(info) || filter != nil && !filter(info) {
			continue
		}
		zone := info.Machine.Zone
		if tasksByZone[zone] == 0 {
			zones = append(zones, zone)
		}
		tasks := TasksThatFit(request.Need, info.Free)
		tasksByZone[zone] += tasks
		if inv.HasImage(request.Spec.Image, info) {
			tasksWithImage[zone] += tasks
		}
	}
	zones = slices.DeleteFunc(zones, func(zone string) bool { return tasksByZone[zone] < request.Remaining })
	usableWithImage := func(zone string) int { return min(tasksWithImage[zone], request.Remaining) }
	slices.SortFunc(zones, func(x, y string) int {
		return cmp.Or(cmp.Compare(usableWithImage(y), usableWithImage(x)), cmp.Compare(x, y))
	})
	return zones
}

// ZoneWithMostCapacity returns the zone with capacity for the most tasks of a gang, counting the given ready
// machines and the pending ones. It returns the empty string if there are no such machines.
func (inv *Inventory) ZoneWithMostCapacity(request *Request, ready []*MachineInfo) string {
	tasksByZone := map[string]int{}
	for _, info := range ready {
		if request.mayUse(info) {
			tasksByZone[info.Machine.Zone] += TasksThatFit(request.Need, info.Free)
		}
	}
	for _, bin := range inv.pendingBins {
		if Eligible(request.Spec, bin.sample.Machine) {
			tasksByZone[bin.sample.Machine.Zone] += len(bin.machines) * TasksThatFit(request.Need, bin.free)
		}
	}
	best := ""
	for zone, tasks := range tasksByZone {
		if best == "" || tasks > tasksByZone[best] || tasks == tasksByZone[best] && zone < best {
			best = zone
		}
	}
	return best
}
