package offload

import (
	"errors"
	"fmt"
)

// ErrNotLeader reports that another node of this cell is the leader, which alone exchanges jobs.
var ErrNotLeader = errors.New("not the leader")

// UnknownCellError reports a message of a cell that the operators' list does not name.
type UnknownCellError struct {
	Cell string
}

func (e *UnknownCellError) Error() string { return fmt.Sprintf("cell %q is not named here", e.Cell) }

// WrongCellError reports that an answer came from another cell than the one asked.
type WrongCellError struct {
	Answering string
}

func (e *WrongCellError) Error() string { return fmt.Sprintf("%q answers", e.Answering) }

// EarlierEpochError reports that jobs accepted under earlier epochs of this cell are still recorded; nothing is
// answered until all are deleted.
type EarlierEpochError struct {
	Remaining int
}

func (e *EarlierEpochError) Error() string {
	return fmt.Sprintf("%d offloaded jobs of an earlier epoch are not deleted yet", e.Remaining)
}
