package clusterstate

import "sableusher/internal/record"

// Rental is an open rental request.
type Rental struct {
	record.Rental
	ModRevision uint64
}

// ListedInRental reports whether an open rental lists a machine: the machine's own record must stay until the
// rental is deleted, or it would count as coming up again. Callers hold the lock.
func (s *State) ListedInRental(machine string) bool { return s.rentalByMachine[machine] != "" }

func (s *State) putRental(change recordChange, rental record.Rental) {
	if old, ok := s.Rentals[change.name]; ok && len(old.Machines) > 0 {
		s.removeRental(change.name)
	}
	s.Rentals[change.name] = Rental{Rental: rental, ModRevision: change.modRevision}
	for _, name := range rental.Machines {
		s.rentalByMachine[name] = change.name
		if s.Machines[name] == nil {
			s.machineEntry(name).Machine = rental.InitialMachine()
			s.changes.markMachine(name)
		}
	}
}

func (s *State) deleteRental(change recordChange) { s.removeRental(change.name) }

// removeRental takes a rental out of the indexes, with the machines that only it lists.
func (s *State) removeRental(rentalName string) {
	rental := s.Rentals[rentalName]
	delete(s.Rentals, rentalName)
	for _, name := range rental.Machines {
		delete(s.rentalByMachine, name)
		if machine := s.Machines[name]; machine != nil && machine.ModRevision == 0 {
			s.removeMachine(machine)
		}
	}
}
