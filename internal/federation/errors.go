package federation

import "fmt"

// EpochMismatchError reports that an operator asked to forget a cell under another epoch than the one known.
type EpochMismatchError struct {
	Cell     string
	Known    uint64 // the highest epoch received of the cell
	Received uint64 // the epoch that the operator named
}

func (e *EpochMismatchError) Error() string {
	return fmt.Sprintf("cell %s: its epoch is %d, not %d: name the epoch that `cell list` shows",
		e.Cell, e.Known, e.Received)
}

// NotLostError reports that an operator asked to forget a cell that may still be heard.
type NotLostError struct {
	Cell     string
	Standing Standing
}

func (e *NotLostError) Error() string {
	return fmt.Sprintf("cell %s: it is %s; only a cell that is lost can be forgotten", e.Cell, e.Standing)
}
