package preemption

import "sableusher/internal/binpack"

// Search is a search for machines on which preemption frees enough capacity for a task.
type Search struct {
	Request *binpack.Request
	Rank    int // of the waiting job's priority
	Zones   *binpack.ZoneConstraint
	Limit   int // on the number of machines found
}

// Candidates returns those of some machines, in their order, on which a task does not fit now and would fit once
// all preemptible tasks of the search's rank or a lower priority have left.
func (s *Search) Candidates(machines []*binpack.MachineInfo) []*binpack.MachineInfo {
	var candidates []*binpack.MachineInfo
	for _, machine := range machines {
		if !s.freesEnough(machine) {
			continue
		}
		if candidates = append(candidates, machine); len(candidates) >= s.Limit {
			break
		}
	}
	return candidates
}

// freesEnough reports whether preemption on a machine frees the capacity that is missing. What costs least to see is
// checked first: most machines are ruled out by it.
func (s *Search) freesEnough(machine *binpack.MachineInfo) bool {
	if machine.ReservedFor != "" || s.Request.Need.FitsIn(machine.Free) {
		return false
	}
	free := machine.Free
	preemptible := machine.Machine.PreemptibleByRank
	for rank := s.Rank; rank < len(preemptible); rank++ {
		free = free.Plus(preemptible[rank])
	}
	return s.Request.Need.FitsIn(free) && binpack.Eligible(s.Request.Spec, machine.Machine) &&
		s.Zones.Allows(machine.Machine.Zone)
}
