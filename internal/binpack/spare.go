package binpack

// SpareCapacity is capacity that no pending task needs.
type SpareCapacity struct {
	// Machines is the sum of the machines' free fractions; see FreeFraction.
	Machines float64
	// IdleMachineCount is the number of machines without tasks, allocations and reservations.
	IdleMachineCount int
	// MachinesByZone is Machines broken down by zone.
	MachinesByZone map[string]float64
}

// Spare is the capacity of the ready and pending machines that a cycle has not allocated.
type Spare struct {
	OnDemand SpareCapacity
	Spot     SpareCapacity
	// IdleMachines are the names of the machines that IdleMachineCount counts, of both kinds.
	IdleMachines []string
}

// Spare returns the capacity that is not allocated. Callers call it after allocating all pending
// tasks.
func (inv *Inventory) Spare() Spare {
	spare := Spare{
		OnDemand: SpareCapacity{MachinesByZone: map[string]float64{}},
		Spot:     SpareCapacity{MachinesByZone: map[string]float64{}},
	}
	for _, machines := range [][]*MachineInfo{inv.ready, inv.pending} {
		for _, info := range machines {
			spare.add(info)
		}
	}
	return spare
}

// add adds the free capacity of a machine.
func (s *Spare) add(info *MachineInfo) {
	capacity := &s.OnDemand
	if info.Machine.Spot {
		capacity = &s.Spot
	}
	free := FreeFraction(info.Free, info.Capacity)
	capacity.Machines += free
	capacity.MachinesByZone[info.Machine.Zone] += free
	if info.Free == info.Capacity && info.ReservedFor == "" && len(info.Machine.Bindings) == 0 {
		capacity.IdleMachineCount++
		s.IdleMachines = append(s.IdleMachines, info.Machine.Name)
	}
}
