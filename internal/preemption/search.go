package preemption

import "sableusher/internal/binpack"

// Search is a search for machines on which preemption makes room for a task.
type Search struct {
	Request *binpack.Request
	Rank    int // of the waiting job's priority
	Zones   *binpack.ZoneConstraint
	Limit   int // on the number of machines found
}

// Candidates returns those of some machines, in their order, on which a task has no room now and would have room once
// all preemptible tasks of the search's rank or a lower priority have left.
func (s *Search) Candidates(machines []*binpack.MachineInfo) []*binpack.MachineInfo {
	var candidates []*binpack.MachineInfo
	for _, machine := range machines {
		if !s.makesRoom(machine) {
			continue
		}
		if candidates = append(candidates, machine); len(candidates) >= s.Limit {
			break
		}
	}
	return candidates
}

// makesRoom reports whether preemption on a machine makes the room that is missing. What costs least to see is checked
// first: most machines are ruled out by it.
func (s *Search) makesRoom(machine *binpack.MachineInfo) bool {
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
