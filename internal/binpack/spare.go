package binpack

// SpareCapacity is capacity that no waiting task needs.
type SpareCapacity struct {
	// Machines is the spare capacity in machines: the sum of their free fractions.
	Machines float64
	// UnusedMachines is the number of machines that no task uses or waits for.
	UnusedMachines int
	// MachinesByZone is Machines by zone.
	MachinesByZone map[string]float64
}

// Spare is what a cycle leaves over of the ready and pending machines.
type Spare struct {
	OnDemand SpareCapacity
	Spot     SpareCapacity
	// IdleMachines are the names of the machines that no task uses or waits for.
	IdleMachines []string
}

// Spare returns what is left over once all waiting tasks have been allocated.
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

func (s *Spare) add(info *MachineInfo) {
	capacity := &s.OnDemand
	if info.Machine.Spot {
		capacity = &s.Spot
	}
	free := FreeFraction(info.Free, info.Capacity)
	capacity.Machines += free
	capacity.MachinesByZone[info.Machine.Zone] += free
	if info.Free == info.Capacity && info.ReservedFor == "" && len(info.Machine.Bindings) == 0 {
		capacity.UnusedMachines++
		s.IdleMachines = append(s.IdleMachines, info.Machine.Name)
	}
}
