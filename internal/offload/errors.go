package offload

import (
	"errors"
	"fmt"
)

// ErrNotLeader reports that this node does not lead its cell, or that the cell's nodes can't all read records about
// cells yet. Only a leader exchanges jobs.
var ErrNotLeader = errors.New("not the leader")

// UnknownCellError reports a message from a cell that the operators' settings do not name.
type UnknownCellError struct {
	Cell string
}

func (e *UnknownCellError) Error() string {
	return fmt.Sprintf("cell %q is not named here", e.Cell)
}

// WrongCellError reports that a response came from a cell other than the one that was asked.
type WrongCellError struct {
	Responding string
}

func (e *WrongCellError) Error() string {
	return fmt.Sprintf("response came from cell %q", e.Responding)
}

// EarlierEpochError reports that records remain of jobs that were accepted under earlier epochs of this cell. The
// cell does not answer the sender until all are deleted.
type EarlierEpochError struct {
	Remaining int // number of such jobs
}

func (e *EarlierEpochError) Error() string {
	return fmt.Sprintf("%d offloaded jobs of an earlier epoch are not deleted yet", e.Remaining)
}
