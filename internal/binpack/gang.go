package binpack

import (
	"cmp"
	"slices"
)

// AllocateGang takes capacity for all remaining tasks of a gang, in one zone if the job asks for
// it, and returns the machine of each task. It returns nil, and has taken nothing, if they do not
// all fit. The constraint is not changed.
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

// zonesForGang returns the zones whose candidates fit all remaining tasks, those first where most
// of the tasks fit on machines that hold the image.
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
	useful := func(zone string) int { return min(tasksWithImage[zone], request.Remaining) }
	slices.SortFunc(zones, func(x, y string) int {
		return cmp.Or(cmp.Compare(useful(y), useful(x)), cmp.Compare(x, y))
	})
	return zones
}

// RoomiestZone returns the zone that fits most tasks of a gang on the given ready machines and on
// pending ones; empty if there is no machine.
func (inv *Inventory) RoomiestZone(request *Request, ready []*MachineInfo) string {
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
