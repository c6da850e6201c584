package preemption

import "sableusher/internal/binpack"

// Search is a search for machines on which preemption frees enough capacity for a task.
type Search struct {
	Request *binpack.Request
	Rank    int // rank of the waiting job's priority; 0 is the highest
	Zones   *binpack.ZoneConstraint
	Limit   int // maximum number of machines to return
}

// Candidates returns the machines on which a task does not fit now but would fit if all preemptible tasks of the same
// or a lower priority were stopped. It leaves out machines that are reserved or that the job may not use, keeps the
// order of machines, and returns at most Limit of them.
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

// freesEnough reports whether preemption on a machine frees the capacity that the task lacks. The cheapest checks come
// first because they rule out most machines.
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
