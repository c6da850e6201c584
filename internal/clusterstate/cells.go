package clusterstate

import "sableusher/internal/record"

// Cell is what is kept of another cell, with the outcomes of the guest jobs it sent.
type Cell struct {
	record.Cell
	ModRevision   uint64                  // 0: there are only outcomes
	GuestOutcomes map[uint64]GuestOutcome // by the number of the transfer
}

// GuestOutcome is how a guest job ended.
type GuestOutcome struct {
	record.GuestOutcome
	ModRevision uint64
}

// cellEntry returns the entry of another cell, made if there is none.
func (s *State) cellEntry(name string) *Cell {
	cell := s.Cells[name]
	if cell == nil {
		cell = &Cell{GuestOutcomes: map[uint64]GuestOutcome{}}
		s.Cells[name] = cell
	}
	return cell
}

func (s *State) putCell(change recordChange, stored record.Cell) {
	cell := s.cellEntry(change.name)
	cell.Cell, cell.ModRevision = stored, change.modRevision
}

func (s *State) deleteCell(change recordChange) {
	cell := s.cellEntry(change.name)
	cell.Cell, cell.ModRevision = record.Cell{}, 0
}

func (s *State) putGuestOutcome(change recordChange, outcome record.GuestOutcome) {
	if cell, transfer, ok := record.ParseGuestOutcomeKey(change.key); ok {
		stored := GuestOutcome{GuestOutcome: outcome, ModRevision: change.modRevision}
		s.cellEntry(cell).GuestOutcomes[transfer] = stored
	}
}

func (s *State) deleteGuestOutcome(change recordChange) {
	if cell, transfer, ok := record.ParseGuestOutcomeKey(change.key); ok {
		delete(s.cellEntry(cell).GuestOutcomes, transfer)
	}
}
