package clusterstate

import "sableusher/internal/record"

// Cell is the record of another cell, together with the outcomes of the jobs that it offloaded to this one.
type Cell struct {
	record.Cell
	ModRevision      uint64                     // of the cell's record; 0 if only outcomes are stored
	TransferOutcomes map[uint64]TransferOutcome // by transfer number
}

// TransferOutcome is the stored outcome of a job of another cell that has ended here.
type TransferOutcome struct {
	record.TransferOutcome
	ModRevision uint64
}

// cellEntry returns the entry of another cell and creates it if it does not exist.
func (s *State) cellEntry(name string) *Cell {
	cell := s.Cells[name]
	if cell == nil {
		cell = &Cell{TransferOutcomes: map[uint64]TransferOutcome{}}
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

func (s *State) putTransferOutcome(change recordChange, outcome record.TransferOutcome) {
	if cell, transfer, ok := record.ParseTransferOutcomeKey(change.key); ok {
		stored := TransferOutcome{TransferOutcome: outcome, ModRevision: change.modRevision}
		s.cellEntry(cell).TransferOutcomes[transfer] = stored
	}
}

func (s *State) deleteTransferOutcome(change recordChange) {
	if cell, transfer, ok := record.ParseTransferOutcomeKey(change.key); ok {
		delete(s.cellEntry(cell).TransferOutcomes, transfer)
	}
}
