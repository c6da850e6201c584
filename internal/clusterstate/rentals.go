package clusterstate

import "sableusher/internal/record"

// Rental is the record of an open rental request, with its mod revision.
type Rental struct {
	record.Rental
	ModRevision uint64
}

// ListedInRental reports whether an open rental lists the machine. The machine's own record must not be deleted before
// the rental is, or the machine would again be treated as one that is not up yet. The caller must hold the lock.
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

// removeRental removes a rental from the indexes, and its machines that have no record of their own.
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
