package autoscaler

import "sableusher/internal/wire"

// zoneReserve returns the capacity to keep free in each zone for the loss of another zone, in machines.
// After the loss of the zone with the most services, the configured share of these services fits in the
// reserves of the other zones together. While a zone is unavailable the reserve is empty, so that its
// capacity can be used. Callers hold the state's lock.
func (a *Autoscaler) zoneReserve() map[string]float64 {
	reserve := map[string]float64{}
	if a.operator.ZoneReserve == 0 || len(a.unavailableZones) > 0 {
		return reserve
	}
	largest := a.maxServiceUsage()
	for _, machineType := range a.state.Catalog.Types {
		for _, zone := range machineType.Zones {
			reserve[zone] = largest * a.operator.ZoneReserve
		}
	}
	for zone := range reserve {
		reserve[zone] /= float64(max(len(reserve)-1, 1))
	}
	return reserve
}

// maxServiceUsage returns the capacity, in machines, that services take in the zone where they take the
// most. It counts only services that may run in any zone. Callers hold the state's lock.
func (a *Autoscaler) maxServiceUsage() float64 {
	byZone, largest := map[string]float64{}, 0.0
	for _, machine := range a.state.Machines {
		for _, binding := range machine.Bindings {
			spec := &binding.Job.Spec
			if spec.Kind != wire.KindService || spec.Zone != "" {
				continue
			}
			byZone[machine.Zone] += a.machineEquivalents(spec) / float64(spec.TaskCount)
			largest = max(largest, byZone[machine.Zone])
		}
	}
	return largest
}
