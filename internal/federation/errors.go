package federation

import "fmt"

// EpochMismatchError reports that an operator asked to forget a cell under an epoch that is not the highest one
// received from it.
type EpochMismatchError struct {
	Cell     string
	Known    uint64 // the highest epoch received from the cell
	Received uint64 // the epoch that the operator named
}

func (e *EpochMismatchError) Error() string {
	return fmt.Sprintf("cell %s: its epoch is %d, not %d: name the epoch that was logged when the cell became lost",
		e.Cell, e.Known, e.Received)
}

// NotLostError reports that an operator asked to forget a cell that is not lost and may still be reachable.
type NotLostError struct {
	Cell     string
	Standing Standing
}

func (e *NotLostError) Error() string {
	return fmt.Sprintf("cell %s: it is %s; only a cell that is lost can be forgotten", e.Cell, e.Standing)
}
