package autoscaler

import (
	"iter"
	"maps"
	"slices"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// kindQuery restricts the kinds of machines that cheapestKind chooses from.
type kindQuery struct {
	spec           *wire.JobSpec
	zone           string // empty for any zone
	machinesInZone map[string]int
	now            time.Time
	allowed        func(machineKind) bool
}

// acceptsType reports whether a task of the job fits on an empty machine of a type and the job allows
// that type.
func (q *kindQuery) acceptsType(name string, machineType *wire.MachineType) bool {
	isAllowed := len(q.spec.MachineTypes) == 0 || slices.Contains(q.spec.MachineTypes, name)
	return isAllowed && record.TaskResources(q.spec).FitsIn(record.Capacity(machineType))
}

// cheapestKind returns the cheapest kind of machine for a task; among kinds of the same price, the one
// in the zone with the fewest machines. It skips unavailable zones and kinds whose refusal has not
// expired. It returns false if no kind is left.
func (a *Autoscaler) cheapestKind(query kindQuery) (machineKind, bool) {
	var cheapest machineKind
	lowestPrice, found := 0.0, false
	for _, name := range slices.Sorted(maps.Keys(a.state.Catalog.Types)) {
		machineType := a.state.Catalog.Types[name]
		if !query.acceptsType(name, &machineType) {
			continue
		}
		for kind := range a.kindsToRent(&query, name, machineType.Zones) {
			price := kindPrice(&machineType, kind)
			isEmptier := query.machinesInZone[kind.zone] < query.machinesInZone[cheapest.zone]
			if !found || price < lowestPrice || price == lowestPrice && isEmptier {
				cheapest, lowestPrice, found = kind, price, true
			}
		}
	}
	return cheapest, found
}

// kindsToRent yields the kinds of a machine type that can be rented for a query, in the order of the type's
// zones; within a zone the spot kind comes first.
func (a *Autoscaler) kindsToRent(query *kindQuery, machineType string, zones []string) iter.Seq[machineKind] {
	return func(yield func(machineKind) bool) {
		for _, zone := range zones {
			if query.zone != "" && zone != query.zone || slices.Contains(a.unavailableZones, zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				kind := machineKind{machineType: machineType, zone: zone, spot: spot}
				if spot && !query.spec.AllowSpot || a.rentals.isRefused(kind, query.now) || !query.allowed(kind) {
					continue
				}
				if !yield(kind) {
					return
				}
			}
		}
	}
}

func kindPrice(machineType *wire.MachineType, kind machineKind) float64 {
	if kind.spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}
