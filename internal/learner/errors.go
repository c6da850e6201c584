package learner

import (
	"errors"
	"fmt"
)

// Errors of refits and checkpoints.
var (
	// ErrSingular is returned if the regression's matrix has no Cholesky factorization.
	ErrSingular = errors.New("regression matrix is singular")
	// ErrFitNotFinite is returned if a fitted weight is infinite or NaN.
	ErrFitNotFinite = errors.New("fitted weight is not finite")
	// ErrWeightNotFinite is returned for a checkpoint with a weight that is infinite or NaN.
	ErrWeightNotFinite = errors.New("checkpoint has a weight that is not finite")
	// ErrPieceMismatch is returned for a checkpoint whose pieces were not written together.
	ErrPieceMismatch = errors.New("checkpoint pieces were not written together")
)

// CheckpointFormError is returned for a checkpoint whose version or number of weights differs from this
// learner's, or whose reward count is negative.
type CheckpointFormError struct {
	Version, Weights         int // version and number of weights of the checkpoint
	WantVersion, WantWeights int // version and number of weights of this learner
}

// Error returns the versions and numbers of weights of the checkpoint and of this learner. If only
// the reward count is invalid, the text does not name the fault: it shows equal versions and equal numbers.
func (e *CheckpointFormError) Error() string {
	return fmt.Sprintf("checkpoint has version %d and %d weights, want version %d and %d weights",
		e.Version, e.Weights, e.WantVersion, e.WantWeights)
}
