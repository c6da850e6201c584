package clusterstate

import "sableusher/internal/record"

// Cell is the record of another cell, together with the outcomes of the guest jobs that it sent to this one.
type Cell struct {
	record.Cell
	ModRevision   uint64                  // of the cell's record; 0 if only outcomes are stored
	GuestOutcomes map[uint64]GuestOutcome // by transfer number
}

// GuestOutcome is the stored outcome of a guest job that has ended.
type GuestOutcome struct {
	record.GuestOutcome
	ModRevision uint64
}

// cellEntry returns the entry of another cell and creates it if it does not exist.
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
