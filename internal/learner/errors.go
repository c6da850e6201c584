package learner

import (
	"errors"
	"fmt"
)

// Errors of refits and checkpoints.
var (
	// ErrSingular is returned when the regression's matrix can't be factorized.
	ErrSingular = errors.New("singular")
	// ErrFitNotFinite is returned when a fitted weight is infinite or not a number.
	ErrFitNotFinite = errors.New("not finite")
	// ErrWeightNotFinite is returned for a checkpoint with such a weight.
	ErrWeightNotFinite = errors.New("a weight is not finite")
	// ErrPieceMismatch is returned for pieces of a checkpoint that were not written together.
	ErrPieceMismatch = errors.New("pieces of different times")
)

// CheckpointFormError is returned for a checkpoint of another version or width than this learner's.
type CheckpointFormError struct {
	Version, Weights         int // of the checkpoint
	WantVersion, WantWeights int
}

// Error names both forms.
func (e *CheckpointFormError) Error() string {
	return fmt.Sprintf("form %d with %d weights, not form %d with %d",
		e.Version, e.Weights, e.WantVersion, e.WantWeights)
}
